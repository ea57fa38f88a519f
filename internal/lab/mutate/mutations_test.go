package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A change of the source must not silently remove the code that a mutation replaces.
func TestEachMutationMatchesOnce(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "..", filepath.FromSlash(m.file)))
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(text), m.old), 1, "%s in %s", m.old, m.file)
			assert.Assert(t, m.old != m.new)
		})
	}
}
