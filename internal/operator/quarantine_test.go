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
	shown := &console{}
	assert.Equal(t, ListSuspects(t.Context(), shown.output(), store, prefix), ExitOK)
	assert.Equal(t, strings.Count(shown.result.String(), "\n"), 1, "nothing is stored: the head only")

	book, now := quarantine.NewTracker(), time.Unix(1_000_000, 0)
	held := quarantine.Attempt{Request: quarantine.Fingerprint{1}, ID: "id-3", Route: "tables", Caller: netip.MustParseAddr("10.0.0.7")}
	for index, worker := range []workers.ID{"w1", "w2", "w3"} {
		book.RecordCrash(now, held, quarantine.Crash{Worker: worker, At: now.Add(time.Duration(3*index) * time.Second)})
	}
	book.RecordCrash(now, quarantine.Attempt{Request: quarantine.Fingerprint{2}}, quarantine.Crash{Worker: "w1", At: now})
	_, err := store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{
		{Key: quarantine.StoreKey(prefix), Value: quarantine.NewSnapshot(now.Add(6*time.Second), book.Records()).Encode()},
	}})
	assert.NilError(t, err)

	shown = &console{}
	assert.Equal(t, ListSuspects(t.Context(), shown.output(), store, prefix), ExitOK)
	for _, part := range []string{held.Request.String(), "quarantined", "suspected", "tables", "10.0.0.7", "id-3", "w1 w2 w3", "1970-01-12T13:46:46Z"} {
		assert.Assert(t, strings.Contains(shown.result.String(), part), "%s in\n%s", part, shown.result.String())
	}

	lifted := &console{}
	assert.Equal(t, LiftQuarantine(t.Context(), lifted.output(), store, prefix, held.Request.String()), ExitOK)
	assert.Equal(t, LiftQuarantine(t.Context(), lifted.output(), store, prefix, held.Request.String()), ExitRefused)
	assert.Equal(t, LiftQuarantine(t.Context(), lifted.output(), store, prefix, "nonsense"), ExitInvalid)
	snapshot, _, err := readSuspects(t.Context(), store, prefix)
	assert.NilError(t, err)
	assert.Assert(t, snapshot.Records[0].LiftedMillis != 0)
	rest := &console{}
	assert.Equal(t, ListSuspects(t.Context(), rest.output(), store, prefix), ExitOK)
	assert.Assert(t, !strings.Contains(rest.result.String(), held.Request.String()), rest.result.String())
	assert.Equal(t, strings.Count(rest.result.String(), "suspected"), 1, "the other stays suspected")
}
