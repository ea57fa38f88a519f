package session

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

// The leader and one server are cut off from the other controllers, but not from
// each other, nor from the gateways. The next leader takes the server's slices
// after its wait; by then the server must serve them no more, although the old
// leader still reaches it.
func TestOldLeaderKeepsOneServer(t *testing.T) {
	play(t, func(s *system) {
		for _, class := range loadClasses {
			s.allow(3500*time.Millisecond, class.name)
		}
		s.allowUnknown("reserve")
		leader, _ := s.leader()
		v := s.victim("reserve")
		key := s.keyOwnedBy(v, "reserve")
		old := s.assignmentOf("reserve", key)
		s.note("the leader and a reserve server are cut off from the other controllers only")
		for _, other := range s.controllers {
			if other != leader {
				s.network.Separate(memnet.Place(leader.host), memnet.Place(other.host))
				s.network.Separate(memnet.Place(v.host), memnet.Place(other.host))
			}
		}
		s.within(3*time.Second, "another leads, others own the server's slices", func() bool {
			now, _ := s.leader()
			return now != nil && now != leader && s.holdsNothing(v.name)() && s.allOwned()
		})
		s.pass(time.Second)
		reason := s.askDirectly(v, old, key)
		s.require(reason != "", "the old owner ran a request")
		s.note("  a request of the old table at the old owner is refused: %s", reason)
		s.network.Rejoin(memnet.Place(leader.host))
		s.network.Rejoin(memnet.Place(v.host))
		s.note("they are in reach again")
		s.whole(1, 1)
	})
}

// assignmentOf returns the assignment that holds a key.
func (s *system) assignmentOf(service, key string) cellstate.Assignment {
	_, status := s.leader()
	for _, a := range status.State.Assignments {
		if string(a.Slice.Service) == teamName+"/"+service && a.Slice.Range.Contains(keyspace.HashKey(key)) {
			return a
		}
	}
	s.require(false, "no slice holds %s", key)
	return cellstate.Assignment{}
}

// askDirectly sends a server what a gateway with an old table would send, and
// returns why it was refused; empty if it ran.
func (s *system) askDirectly(v *server, routed cellstate.Assignment, key string) wire.Reason {
	ctx, cancel := context.WithTimeout(s.t.Context(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.backend.Address+"/reserve/"+key, nil)
	s.noError(err)
	request.Header.Set(peerauth.Header, token)
	request.Header.Set(wire.HeaderCell, cellName)
	request.Header.Set(wire.HeaderService, string(routed.Slice.Service))
	request.Header.Set(wire.HeaderSlice, routed.Slice.String())
	request.Header.Set(wire.HeaderFence, routed.Fence.String())
	request.Header.Set(wire.HeaderBundle, strconv.FormatUint(uint64(routed.Bundle), 10))
	request.Header.Set(wire.HeaderRequestID, "directly")
	request.Header.Set(wire.HeaderKey, key)
	response, err := s.callers.client.Do(request)
	s.noError(err)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return ""
	}
	return wire.Reason(response.Header.Get(wire.HeaderReason))
}
