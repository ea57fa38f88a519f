package router

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// stale is an age at which a relay's word is not relied on.
const staleAge = peerlink.SilenceLimit + 50*time.Millisecond

func TestStaleRelayIsNotTrusted(t *testing.T) {
	r := newTestRouter(t)
	r.handleUpdate(peerlink.Update{Relayed: true, AgeMillis: 900})
	assert.Assert(t, r.updates.live())
	r.handleUpdate(peerlink.Update{Relayed: true, AgeMillis: staleAge.Milliseconds()})
	assert.Assert(t, !r.updates.live())
}

func TestLeaderlessRelayIsAbandoned(t *testing.T) {
	for name, test := range map[string]struct {
		update peerlink.Update
		orphan time.Duration
		// read says that this process has read all from the service itself, and ahead for
		// how long it does so while the relay does not.
		read  bool
		ahead time.Duration
		stays bool
	}{
		"has a leader":                      {update: peerlink.Update{Relayed: true}, orphan: time.Hour, stays: true},
		"lost it just now":                  {update: peerlink.Update{Leaderless: true}, stays: true},
		"reads the service itself":          {update: peerlink.Update{Leaderless: true}, orphan: 3 * time.Second, stays: true},
		"for too long":                      {update: peerlink.Update{Leaderless: true}, orphan: leaderlessTimeout},
		"nobody reaches the service":        {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, orphan: time.Second, stays: true},
		"both will reach it soon":           {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, read: true, stays: true},
		"only this one reaches the service": {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, read: true, ahead: aheadTimeout},
		"neither reaches it any more":       {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, ahead: aheadTimeout, stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			f := &followSession{r: r}
			if test.orphan > 0 {
				f.leaderlessSince = time.Now().Add(-test.orphan)
			}
			if test.ahead > 0 {
				f.aheadSince = time.Now().Add(-test.ahead)
			}
			if test.read {
				r.noteStoreSynced(r.entries, time.Now())
				r.noteStoreSynced(r.config, time.Now())
			}
			assert.Equal(t, f.keepsRelay(test.update), test.stays)
		})
	}
}

// Found on trouble-3 of malaika-charge-grown: a relay was sent to itself for ever, and
// believed all the while that it was told of changes.
func TestRedirectsAreBounded(t *testing.T) {
	for name, own := range map[string]bool{"to itself": true, "in a circle": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			address := listener.Addr().String()
			var asked atomic.Int32
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					asked.Add(1)
					_, _ = fmt.Fprintf(conn, `{"r":true,"v":%q}`+"\n", address)
					_ = conn.Close()
				}
			}()
			r := newTestRouter(t)
			if own {
				r.settings.PeerListen = address
			}
			f := &followSession{r: r, leader: election.Leader{Address: address}, address: address, stop: func() {}}
			assert.ErrorContains(t, f.run(t.Context()), "instead")
			assert.Assert(t, asked.Load() <= maxRedirects+1, "%d", asked.Load())
		})
	}
}

// While a relay was sent to itself for ever nothing ended its belief that it was told of
// changes: the belief has to lapse by itself.
func TestUpdateSourceExpires(t *testing.T) {
	start := time.Now()
	for name, test := range map[string]struct {
		heard  []time.Duration
		ended  bool
		at     time.Duration
		stands bool
	}{
		"nothing was heard":   {at: 0},
		"a moment ago":        {heard: []time.Duration{0}, at: peerlink.SilenceLimit - 1, stands: true},
		"silent for too long": {heard: []time.Duration{0}, at: peerlink.SilenceLimit},
		"heard again":         {heard: []time.Duration{0, time.Second}, at: 2 * time.Second, stands: true},
		"the link broke":      {heard: []time.Duration{0}, ended: true, at: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var word updateSource
			for _, after := range test.heard {
				word.received(start.Add(after), 0, true)
			}
			if test.ended {
				word.invalidate()
			}
			assert.Equal(t, word.liveAt(start.Add(test.at)), test.stands)
		})
	}
}
