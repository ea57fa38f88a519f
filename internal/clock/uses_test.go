package clock_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// promising are the packages in which a time outlives an instant: leases, holds, leaves, beliefs,
// budgets. The steady clock must not be read there, since it stands while a machine is suspended.
var timeCriticalPackages = []string{
	"bodies", "coord", "departure", "election", "facts", "keeper", "keytable", "owner", "peerlink", "proxy", "quarantine", "quota", "router", "standby", "upstream", "workerlimit", "workers",
}

// A deadline of a connection is the runtime's, and counts on the steady clock.
var (
	steady    = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)
	deadline  = regexp.MustCompile(`Set(Read|Write)?Deadline\(time\.Now\(\)`)
	ofRuntime = regexp.MustCompile(`context\.WithDeadline\(`)
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
				reads := steady.MatchString(line) && !deadline.MatchString(line)
				assert.Assert(t, !reads, "%s:%d: use clock.Now, Since or Until: %s", file, number+1, line)
				assert.Assert(t, !ofRuntime.MatchString(line), "%s:%d: use context.WithTimeout and clock.Until: %s", file, number+1, line)
			}
		}
	}
}
