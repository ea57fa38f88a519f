package explain

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readSession(t *testing.T) []Line {
	t.Helper()
	file, err := os.Open("testdata/session.log")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	lines, skipped, err := Read(file)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1, "one line of the file is not a log line")
	return lines
}

func TestTraceRequest(t *testing.T) {
	var written bytes.Buffer
	assert.NilError(t, Write(&written, TraceRequest(readSession(t), "f1c46b03ca431df2")))
	golden.Assert(t, written.String(), "course.golden")
}

func TestStateAt(t *testing.T) {
	at, err := time.Parse(time.RFC3339, "2026-07-02T04:30:20Z")
	assert.NilError(t, err)
	var written bytes.Buffer
	assert.NilError(t, Write(&written, StateAt(readSession(t), at)))
	golden.Assert(t, written.String(), "around.golden")
}

func TestTraceOfUnknownRequestIsEmpty(t *testing.T) {
	assert.Equal(t, len(TraceRequest(readSession(t), "none")), 0)
}

// Each attempt of a request that crashes workers has a new id: the trace includes the other
// attempts.
func TestTraceIncludesOtherAttemptsOfTheRequest(t *testing.T) {
	const log = `{"time":"2026-07-02T04:30:01Z","node":"r1","kind":"request-suspected","id":"one","fingerprint":"aa","worker":"w1"}
{"time":"2026-07-02T04:30:02Z","node":"r2","kind":"request-suspected","id":"other","fingerprint":"bb","worker":"w1"}
{"time":"2026-07-02T04:30:04Z","node":"r2","kind":"request-suspected","id":"two","fingerprint":"aa","worker":"w2"}
{"time":"2026-07-02T04:30:09Z","node":"r3","kind":"request","id":"three","fingerprint":"aa","reason":"request-quarantined"}
`
	lines, _, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	trace := TraceRequest(lines, "three")
	assert.Equal(t, len(trace), 3)
	assert.Equal(t, trace[0].ID, "one")
	assert.Equal(t, trace[1].ID, "two")
}

// The trace of a request with a revoked API key includes the configuration that revoked the key,
// as logged by the router that refused the request.
func TestTraceIncludesConfigThatRevokedTheKey(t *testing.T) {
	const log = `{"time":"2026-07-02T04:30:01Z","node":"r1","kind":"config","version":7}
{"time":"2026-07-02T04:30:02Z","node":"r1","kind":"config","version":9}
{"time":"2026-07-02T04:30:02Z","node":"r2","kind":"config","version":9}
{"time":"2026-07-02T04:30:04Z","node":"r1","kind":"config","version":12}
{"time":"2026-07-02T04:30:09Z","node":"r1","kind":"request","id":"one","status":401,"reason":"key-taken-away","tenant":"metro","gone_with":9,"config":12}
{"time":"2026-07-02T04:30:09Z","node":"r1","kind":"request","id":"two","status":401,"reason":"key-taken-away","tenant":"metro","gone_with":12,"config":12}
{"time":"2026-07-02T04:30:09Z","node":"r1","kind":"request","id":"three","status":401,"reason":"key-unknown","config":12}
`
	lines, _, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	versions := func(id string) (found []float64) {
		for _, line := range TraceRequest(lines, id) {
			if line.Kind == "config" {
				assert.Equal(t, line.Node, "r1")
				found = append(found, line.Fields["version"].(float64))
			}
		}
		return found
	}
	assert.DeepEqual(t, versions("one"), []float64{9, 12})
	assert.DeepEqual(t, versions("two"), []float64{12})
	assert.DeepEqual(t, versions("three"), []float64{12})
}
