// Package tracetest plays scripts of events through a pure package and compares
// what came of them with recorded outcomes, in the manner of etcd's raft. It is
// for tests only.
//
// A script is testdata/NAME.trace, its outcome testdata/NAME.golden. Run the
// test with -update to record outcomes anew, and read what changed.
package tracetest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// extension is the end of a script's file name.
const extension = ".trace"

// Play runs each script of the package under test as a subtest of its name.
// The function play gets the script's text and returns all that happened. It is
// a failure if there is no script at all.
func RunScripts(t *testing.T, play func(t *testing.T, script string) string) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*" + extension)
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0, "no scripts in testdata")
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), extension)
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(path)
			assert.NilError(t, err)
			golden.Assert(t, play(t, string(script)), name+".golden")
		})
	}
}
