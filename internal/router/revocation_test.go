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

// Whether keys may have been revoked without this router knowing is judged by the last complete
// state that came from the store, directly or through updates.
func TestConfigIsOutdatedWithoutUpdates(t *testing.T) {
	const within = 5 * time.Second
	covered := func(r *Router) { r.config.noteCovered(10) }
	for name, test := range map[string]struct {
		receive func(r *Router)
		// left is how long the configuration stays valid after that.
		left time.Duration
	}{
		"no update":                  {receive: func(*Router) {}},
		"the store":                  {receive: func(r *Router) { r.noteStoreSynced(r.config, time.Now()) }, left: within - revocationMargin},
		"the store, of workers only": {receive: func(r *Router) { r.noteStoreSynced(r.entries, time.Now()) }},
		"a leader": {receive: func(r *Router) {
			covered(r)
			r.handleUpdate(peerlink.Update{ReadState: peerlink.ReadState{Config: 10}})
		}, left: within - revocationMargin},
		"a relay with an update of a second ago": {receive: func(r *Router) {
			covered(r)
			r.handleUpdate(peerlink.Update{Relayed: true, AgeMillis: 1000, ReadState: peerlink.ReadState{Config: 10}})
		}, left: within - revocationMargin - time.Second},
		"a relay with an old update": {receive: func(r *Router) {
			covered(r)
			r.handleUpdate(peerlink.Update{Relayed: true, AgeMillis: 1900, ReadState: peerlink.ReadState{Config: 10}})
		}},
		"a leader that does not reach the store": {receive: func(r *Router) {
			covered(r)
			r.handleUpdate(peerlink.Update{StoreUnreachable: true, ReadState: peerlink.ReadState{Config: 10}})
		}},
		"a leader with a newer revision": {receive: func(r *Router) {
			covered(r)
			r.handleUpdate(peerlink.Update{ReadState: peerlink.ReadState{Config: 11}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				base := newTestRouter(t)
				config := base.settings
				config.Revocation, config.RevokeWithin = settings.RevocationStrict, bundle.Duration(within)
				r := New(config, base.adapter, base.log, prometheus.NewRegistry())
				test.receive(r)
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
