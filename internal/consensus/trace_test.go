package consensus

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestTraces replays each script in testdata and compares what the nodes did
// with the recorded outcome.
func TestTraces(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.script")
	assert.NilError(t, err)
	assert.Assert(t, len(scripts) > 0)
	for _, path := range scripts {
		name := strings.TrimSuffix(filepath.Base(path), ".script")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(path)
			assert.NilError(t, err)
			golden.Assert(t, replay(t, string(script)), name+".golden")
		})
	}
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
