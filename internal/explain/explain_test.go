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

func read(t *testing.T) []Line {
	t.Helper()
	file, err := os.Open("testdata/session.log")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	lines, passed, err := Read(file)
	assert.NilError(t, err)
	assert.Equal(t, passed, 1, "one line of the file is no log line")
	return lines
}

func TestCourseOfARequest(t *testing.T) {
	var shown bytes.Buffer
	assert.NilError(t, Write(&shown, TraceRequest(read(t), "f1c46b03ca431df2")))
	golden.Assert(t, shown.String(), "course.golden")
}

func TestBeliefsAroundATime(t *testing.T) {
	at, err := time.Parse(time.RFC3339, "2026-07-02T04:30:20Z")
	assert.NilError(t, err)
	var shown bytes.Buffer
	assert.NilError(t, Write(&shown, StateAt(read(t), at)))
	golden.Assert(t, shown.String(), "around.golden")
}

func TestUnknownRequestHasNoCourse(t *testing.T) {
	assert.Equal(t, len(TraceRequest(read(t), "none")), 0)
}

// A request that crashes workers comes under a new id each time: its course shows the others too.
func TestCourseShowsTheSameRequestInOtherAttempts(t *testing.T) {
	const log = `{"time":"2026-07-02T04:30:01Z","node":"r1","kind":"request-suspected","id":"one","fingerprint":"aa","worker":"w1"}
{"time":"2026-07-02T04:30:02Z","node":"r2","kind":"request-suspected","id":"other","fingerprint":"bb","worker":"w1"}
{"time":"2026-07-02T04:30:04Z","node":"r2","kind":"request-suspected","id":"two","fingerprint":"aa","worker":"w2"}
{"time":"2026-07-02T04:30:09Z","node":"r3","kind":"request","id":"three","fingerprint":"aa","reason":"request-quarantined"}
`
	lines, _, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	course := TraceRequest(lines, "three")
	assert.Equal(t, len(course), 3)
	assert.Equal(t, course[0].ID, "one")
	assert.Equal(t, course[1].ID, "two")
}

// A key that was taken away: its course shows which configuration took it, and when the router
// that refused had it.
func TestCourseOfAKeyThatWasTakenAway(t *testing.T) {
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
