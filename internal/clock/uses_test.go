package clock_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// timeCriticalPackages are the packages that keep times beyond the current call: those of leases,
// holds, delegations, budgets and the state received from other processes. They must not read the
// monotonic clock, which stops while the machine is suspended.
var timeCriticalPackages = []string{
	"bodies", "coord", "departure", "election", "facts", "forward", "grantlog", "keeper", "keytable", "owner", "peerlink", "proxy", "quarantine", "quota", "reachability", "router", "standby", "upstream", "workerlimit", "workers",
}

// The runtime's deadlines of connections and contexts use the monotonic clock.
var (
	monotonic       = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)
	connDeadline    = regexp.MustCompile(`Set(Read|Write)?Deadline\(time\.Now\(\)`)
	contextDeadline = regexp.MustCompile(`context\.WithDeadline\(`)
)

func TestTimeCriticalPackagesCountSuspension(t *testing.T) {
	for _, name := range timeCriticalPackages {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, name)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			content, err := os.ReadFile(file)
			assert.NilError(t, err)
			for number, line := range strings.Split(string(content), "\n") {
				reads := monotonic.MatchString(line) && !connDeadline.MatchString(line)
				assert.Assert(t, !reads, "%s:%d: use clock.Now, Since or Until: %s", file, number+1, line)
				assert.Assert(t, !contextDeadline.MatchString(line), "%s:%d: use context.WithTimeout and clock.Until: %s", file, number+1, line)
			}
		}
	}
}
