package router

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// servePeer starts a process that answers leadership queries, and returns its address.
func servePeer(t *testing.T) (*peerlink.Hub, string) {
	t.Helper()
	hub := peerlink.NewHub(t.Name(), nil, func() peerlink.ReadState { return peerlink.ReadState{} })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go hub.Serve(listener)
	return hub, listener.Addr().String()
}

func TestLeaderIsFoundThroughPeers(t *testing.T) {
	leads, leader := servePeer(t)
	leads.Open(3)
	follows, follower := servePeer(t)
	follows.SetFollowedLeader(leader)
	stale, astray := servePeer(t)
	stale.SetFollowedLeader(follower) // the follower led earlier
	_, alone := servePeer(t)
	for name, test := range map[string]struct {
		known    []string
		excluded string
		want     string
	}{
		"no process is known":                    {},
		"the leader is known":                    {known: []string{alone, leader}, want: leader},
		"a follower of the leader is known":      {known: []string{alone, follower}, want: leader},
		"a follower of a follower is known":      {known: []string{alone, astray}},
		"a process without a leader is known":    {known: []string{alone}},
		"no process answers":                     {known: []string{"127.0.0.1:1"}},
		"the leader is excluded":                 {known: []string{leader, follower}, excluded: leader},
		"only a follower of a follower is known": {known: []string{astray}, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.peers.Add(test.known...)
			found, ok := r.queryPeersForLeader(t.Context(), test.excluded)
			assert.Equal(t, ok, test.want != "")
			assert.Equal(t, found.Address, test.want)
		})
	}
	t.Run("awaited while the store does not answer", func(t *testing.T) {
		r := newTestRouter(t)
		r.peers.Add(follower)
		r.config.failedAt.Store(clock.Nanos(clock.Now()))
		bounded, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r.awaitOtherLeader(bounded, election.Leader{Address: "127.0.0.1:1"})
		assert.NilError(t, bounded.Err())
	})
}
