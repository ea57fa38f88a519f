package peerlink

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPeersKeepNewestAddresses(t *testing.T) {
	var peers Peers
	for index := range maxPeers + 5 {
		peers.Add(fmt.Sprint("p", index), "")
	}
	peers.Add("p5", "p20")
	some := peers.Sample(maxPeers+5, "p20")
	assert.Equal(t, len(some), maxPeers-1)
	assert.Assert(t, slices.Contains(some, "p5") && !slices.Contains(some, "p20") && !slices.Contains(some, "p4"))
	assert.Equal(t, len(peers.Sample(2, "")), 2)
	assert.Equal(t, len(new(Peers).Sample(2, "")), 0)
}

func TestPeerAddressesAreSentPeriodically(t *testing.T) {
	hub := NewHub("p", nil, func() ReadState { return ReadState{} })
	l := &link{hello: Hello{Address: "one"}}
	hub.links[l] = struct{}{}
	now := time.Now()
	assert.Equal(t, len(hub.peerAddressesFor(l, now)), 0, "there is no other process")
	for index := range 9 {
		hub.links[&link{hello: Hello{Address: fmt.Sprint("p", index)}}] = struct{}{}
	}
	addresses := hub.peerAddressesFor(l, now)
	assert.Equal(t, len(addresses), sentPeers)
	assert.Assert(t, !slices.Contains(addresses, "one"))
	assert.Equal(t, len(hub.peerAddressesFor(l, now.Add(sentPeersInterval-time.Millisecond))), 0)
	assert.Equal(t, len(hub.peerAddressesFor(l, now.Add(sentPeersInterval))), sentPeers)
}

func TestLongAddressesAreNotKept(t *testing.T) {
	var peers Peers
	peers.Add(strings.Repeat("a", maxAddressBytes+1), "p1")
	assert.DeepEqual(t, peers.Sample(maxPeers, ""), []string{"p1"})
}
