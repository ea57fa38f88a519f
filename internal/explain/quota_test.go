package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The trace of a request that was refused with status 429 includes the leader's last line about
// the tenant's limit before it, and no line about another tenant.
func TestTraceOf429IncludesQuotaLine(t *testing.T) {
	lines, _, err := Read(strings.NewReader(`
{"time":"2026-01-01T00:00:01Z","node":"l","kind":"tenant-over-limit","tenant":"a","over":false}
{"time":"2026-01-01T00:00:02Z","node":"l","kind":"tenant-over-limit","tenant":"a","over":true,"limit":100,"used":99}
{"time":"2026-01-01T00:00:03Z","node":"l","kind":"tenant-over-limit","tenant":"b","over":true}
{"time":"2026-01-01T00:00:04Z","node":"r","kind":"request","id":"i","status":429,"reason":"over-quota","tenant":"a"}
{"time":"2026-01-01T00:00:05Z","node":"l","kind":"tenant-over-limit","tenant":"a","over":false}
`))
	assert.NilError(t, err)
	trace := TraceRequest(lines, "i")
	assert.Equal(t, len(trace), 2)
	assert.Equal(t, trace[0].Fields["used"], 99.0)
	assert.Equal(t, trace[1].ID, "i")
}
