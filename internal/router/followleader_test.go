package router

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// staleAge is an age at which a relay's updates are not trusted.
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
		update        peerlink.Update
		leaderlessFor time.Duration
		// read is whether this process has itself read everything from the service; ahead is for
		// how long it has done so while the relay has not.
		read  bool
		ahead time.Duration
		stays bool
	}{
		"has a leader":                      {update: peerlink.Update{Relayed: true}, leaderlessFor: time.Hour, stays: true},
		"just lost its leader":              {update: peerlink.Update{Leaderless: true}, stays: true},
		"reads the service itself":          {update: peerlink.Update{Leaderless: true}, leaderlessFor: 3 * time.Second, stays: true},
		"leaderless for too long":           {update: peerlink.Update{Leaderless: true}, leaderlessFor: leaderlessTimeout},
		"no process reaches the service":    {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, leaderlessFor: time.Second, stays: true},
		"both will reach it soon":           {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, read: true, stays: true},
		"only this one reaches the service": {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, read: true, ahead: aheadTimeout},
		"neither reaches the service":       {update: peerlink.Update{Leaderless: true, AgeMillis: staleAge.Milliseconds()}, ahead: aheadTimeout, stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			f := &followSession{r: r}
			if test.leaderlessFor > 0 {
				f.leaderlessSince = time.Now().Add(-test.leaderlessFor)
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

// Guards against endless redirects: on trouble-3 of malaika-charge-grown, a relay was redirected to
// itself without end, while it kept trusting the updates it had received.
func TestRedirectsAreBounded(t *testing.T) {
	for name, own := range map[string]bool{"to itself": true, "in a circle": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			address := listener.Addr().String()
			var connections atomic.Int32
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
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
			assert.Assert(t, connections.Load() <= maxRedirects+1, "%d", connections.Load())
		})
	}
}

// Guards against a fault: a process that found a new leader in the store before that accepted followers took
// it for lost, and was linked seconds later. It refused tenants' requests until then.
func TestLeaderThatDoesNotAcceptFollowersYetIsAskedAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	leading := newTestRouter(t)
	go leading.hub.Serve(listener)
	time.AfterFunc(300*time.Millisecond, func() { leading.hub.Open(1) })
	r := newTestRouter(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	time.AfterFunc(time.Second, stop)
	address := listener.Addr().String()
	f := &followSession{r: r, leader: election.Leader{Address: address}, address: address, began: clock.Now(), stop: stop}
	_ = f.run(ctx)
	assert.Assert(t, f.linked)
}

// Guards against trust that never expires: while a relay was redirected to itself without end,
// nothing invalidated its trust in earlier updates. Trust must also expire with time.
func TestUpdateSourceExpires(t *testing.T) {
	start := time.Now()
	for name, test := range map[string]struct {
		updates     []time.Duration
		invalidated bool
		at          time.Duration
		live        bool
	}{
		"no update":           {at: 0},
		"recent update":       {updates: []time.Duration{0}, at: peerlink.SilenceLimit - 1, live: true},
		"silent for too long": {updates: []time.Duration{0}, at: peerlink.SilenceLimit},
		"updated again":       {updates: []time.Duration{0, time.Second}, at: 2 * time.Second, live: true},
		"the link failed":     {updates: []time.Duration{0}, invalidated: true, at: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var source updateSource
			for _, after := range test.updates {
				source.received(start.Add(after), 0, true)
			}
			if test.invalidated {
				source.invalidate()
			}
			assert.Equal(t, source.liveAt(start.Add(test.at)), test.live)
		})
	}
}
