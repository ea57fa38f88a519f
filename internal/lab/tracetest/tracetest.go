// Package tracetest runs scripts of events against a pure package and compares the output with
// golden files, like the data-driven tests of etcd's raft. It is for tests only.
//
// A script is testdata/NAME.trace and its expected output testdata/NAME.golden. Run the test with
// -update to rewrite the golden files, and review the differences.
package tracetest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// extension is the file name extension of scripts.
const extension = ".trace"

// RunScripts runs each script of the package under test as a subtest with the script's name. The
// function run gets the script's text and returns the output. The test fails if there are no
// scripts.
func RunScripts(t *testing.T, run func(t *testing.T, script string) string) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*" + extension)
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0, "no scripts in testdata")
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), extension)
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(path)
			assert.NilError(t, err)
			golden.Assert(t, run(t, string(script)), name+".golden")
		})
	}
}
