package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/settings"
)

// Whether keys may be gone unheard counts from the last word that came from the store and was
// taken whole, by whatever way.
func TestConfigIsOutdatedWithoutUpdates(t *testing.T) {
	const within = 5 * time.Second
	knows := func(r *Router) { r.config.noteCovered(10) }
	for name, test := range map[string]struct {
		hear func(r *Router)
		// left is for how long the configuration is not outdated after that.
		left time.Duration
	}{
		"nothing ever":               {hear: func(*Router) {}},
		"the store":                  {hear: func(r *Router) { r.noteStoreSynced(r.config, time.Now()) }, left: within - revocationMargin},
		"the store, of workers only": {hear: func(r *Router) { r.noteStoreSynced(r.entries, time.Now()) }},
		"a leader": {hear: func(r *Router) {
			knows(r)
			r.handleUpdate(peerlink.Update{ReadState: peerlink.ReadState{Config: 10}})
		}, left: within - revocationMargin},
		"a relay that heard a second ago": {hear: func(r *Router) {
			knows(r)
			r.handleUpdate(peerlink.Update{Relayed: true, AgeMillis: 1000, ReadState: peerlink.ReadState{Config: 10}})
		}, left: within - revocationMargin - time.Second},
		"a relay that heard long ago": {hear: func(r *Router) {
			knows(r)
			r.handleUpdate(peerlink.Update{Relayed: true, AgeMillis: 1900, ReadState: peerlink.ReadState{Config: 10}})
		}},
		"a leader that does not reach the store": {hear: func(r *Router) {
			knows(r)
			r.handleUpdate(peerlink.Update{StoreUnreachable: true, ReadState: peerlink.ReadState{Config: 10}})
		}},
		"a leader that knows more than was told": {hear: func(r *Router) {
			knows(r)
			r.handleUpdate(peerlink.Update{ReadState: peerlink.ReadState{Config: 11}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := newTestRouter(t)
				config := base.settings
				config.Revocation, config.RevokeWithin = settings.RevocationStrict, bundle.Duration(within)
				r := New(config, base.adapter, base.log, prometheus.NewRegistry())
				test.hear(r)
				if test.left > 0 {
					time.Sleep(test.left - time.Millisecond)
					assert.Assert(t, !r.proxy.Outdated())
					time.Sleep(2 * time.Millisecond)
				}
				assert.Assert(t, r.proxy.Outdated())
			})
		})
	}
}

func TestLenientRouterHasNoOutdatedCheck(t *testing.T) {
	assert.Assert(t, newTestRouter(t).proxy.Outdated == nil)
}
