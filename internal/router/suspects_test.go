package router

import (
	"crypto/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/quarantine"
)

// An unchanged list is sent once and not written at all, since it goes to all processes and each
// must unpack it.
func TestSuspectsAreBroadcastOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, store := newCutOffRouter(t)
		r.election = election.New(store, KeyPrefix, "a:1", "process", rand.Text)
		tenure, err := r.election.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		k := &suspectsKeeper{r: r, tenure: tenure}
		assert.Assert(t, k.load(t.Context()))
		sentVersion := func() uint64 {
			for range 10 {
				k.settle(clock.Now())
				k.broadcast()
				k.store(t.Context())
			}
			return r.hub.SuspectsVersion()
		}
		assert.Equal(t, sentVersion(), uint64(1), "nothing is suspected; the first message indicates that the list was read")
		assert.Equal(t, k.revision, coord.Revision(0), "nothing is stored")
		attempt := quarantine.Attempt{Request: quarantine.Fingerprint{1}}
		r.proxy.Suspects.RecordCrash(clock.Now(), attempt, quarantine.Crash{Worker: "w", At: clock.Now()})
		assert.Equal(t, sentVersion(), uint64(2))
		written := k.revision
		assert.Assert(t, written != coord.Revision(0))
		time.Sleep(time.Second)
		assert.Equal(t, sentVersion(), uint64(2))
		assert.Equal(t, k.revision, written)
	})
}
