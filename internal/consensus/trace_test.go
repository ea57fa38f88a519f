package consensus

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/tracetest"
)

// TestTraces replays each script in testdata and compares what the nodes did
// with the recorded outcome.
func TestTraces(t *testing.T) {
	tracetest.Play(t, replay)
}

// replay runs a script, one command a line; "#" starts a comment.
func replay(t *testing.T, script string) string {
	c := newCluster()
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		fmt.Fprintln(&c.out, line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.run(strings.Fields(line)); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		assert.NilError(t, c.violation, line)
	}
	return c.out.String()
}
