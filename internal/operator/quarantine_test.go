package operator

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/workers"
)

func TestQuarantineIsListedAndLifted(t *testing.T) {
	store := memory.New()
	out := &console{}
	assert.Equal(t, ListSuspects(t.Context(), out.output(), store, prefix), ExitOK)
	assert.Equal(t, strings.Count(out.result.String(), "\n"), 1, "nothing is stored: only the header is printed")

	tracker, now := quarantine.NewTracker(), time.Unix(1_000_000, 0)
	quarantined := quarantine.Attempt{Request: quarantine.Fingerprint{1}, ID: "id-3", Route: "tables", Caller: netip.MustParseAddr("10.0.0.7")}
	for index, worker := range []workers.ID{"w1", "w2", "w3"} {
		tracker.RecordCrash(now, quarantined, quarantine.Crash{Worker: worker, At: now.Add(time.Duration(3*index) * time.Second)})
	}
	tracker.RecordCrash(now, quarantine.Attempt{Request: quarantine.Fingerprint{2}}, quarantine.Crash{Worker: "w1", At: now})
	_, err := store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{
		{Key: quarantine.StoreKey(prefix), Value: quarantine.NewSnapshot(now.Add(6*time.Second), tracker.Records()).Encode()},
	}})
	assert.NilError(t, err)

	out = &console{}
	assert.Equal(t, ListSuspects(t.Context(), out.output(), store, prefix), ExitOK)
	for _, part := range []string{quarantined.Request.String(), "quarantined", "suspected", "tables", "10.0.0.7", "id-3", "w1 w2 w3", "1970-01-12T13:46:46Z"} {
		assert.Assert(t, strings.Contains(out.result.String(), part), "%s in\n%s", part, out.result.String())
	}

	lifted := &console{}
	assert.Equal(t, LiftQuarantine(t.Context(), lifted.output(), store, prefix, quarantined.Request.String()), ExitOK)
	assert.Equal(t, LiftQuarantine(t.Context(), lifted.output(), store, prefix, quarantined.Request.String()), ExitRefused)
	assert.Equal(t, LiftQuarantine(t.Context(), lifted.output(), store, prefix, "nonsense"), ExitInvalid)
	snapshot, _, err := readSuspects(t.Context(), store, prefix)
	assert.NilError(t, err)
	assert.Assert(t, snapshot.Records[0].LiftedMillis != 0)
	remaining := &console{}
	assert.Equal(t, ListSuspects(t.Context(), remaining.output(), store, prefix), ExitOK)
	assert.Assert(t, !strings.Contains(remaining.result.String(), quarantined.Request.String()), remaining.result.String())
	assert.Equal(t, strings.Count(remaining.result.String(), "suspected"), 1, "the other request is still suspected")
}
