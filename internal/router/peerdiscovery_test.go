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

// servePeer serves a process that answers questions, and returns its address.
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
	stale.SetFollowedLeader(follower) // it led once
	_, alone := servePeer(t)
	for name, test := range map[string]struct {
		known   []string
		without string
		want    string
	}{
		"nobody is known":             {},
		"the leader is known":         {known: []string{alone, leader}, want: leader},
		"one that follows it":         {known: []string{alone, follower}, want: leader},
		"one that follows another":    {known: []string{alone, astray}},
		"nobody follows any":          {known: []string{alone}},
		"nobody answers":              {known: []string{"127.0.0.1:1"}},
		"the leader that was lost":    {known: []string{leader, follower}, without: leader},
		"this process itself, at one": {known: []string{astray}, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			r.peers.Add(test.known...)
			found, ok := r.askPeersForLeader(t.Context(), test.without)
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
