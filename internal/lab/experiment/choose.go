package experiment

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// defaultQueue is the most requests of a service that wait in one gateway.
const defaultQueue = 256

// choice is what a look at the table and the back ends gives a call.
type choice struct {
	found    bool
	server   bundle.ServerName
	entry    wire.TableEntry
	refused  wire.Reason
	waitsFor bundle.ServerName
	why      wire.Reason
}

func (s *service) choose(c *call) choice {
	switch {
	case s.gateway.ring != nil:
		return s.gateway.ring.choose(s, c)
	case c.keyed:
		return s.chooseOwner(c)
	default:
		return s.chooseInPool(c)
	}
}

// chooseOwner finds the owner of the call's key.
func (s *service) chooseOwner(c *call) choice {
	entry, found := s.gateway.table.Lookup(s.name, partitionName, c.key.hash)
	switch {
	case found && entry.Refusal != "":
		return choice{refused: entry.Refusal}
	case !found || entry.Server == "":
		return choice{why: wire.ReasonNoOwner}
	case entry.State != wire.SliceServing:
		return choice{why: wire.ReasonReleasing}
	case !s.pool.Take(s.now(), entry.Server):
		return choice{waitsFor: entry.Server, why: wire.ReasonOverloaded}
	}
	return choice{found: true, server: entry.Server, entry: entry}
}

// chooseInPool picks a back end that holds a grant.
func (s *service) chooseInPool(c *call) choice {
	entries := s.gateway.table.Pool(s.name)
	granted := func(name bundle.ServerName) bool {
		entry, found := table.FindServer(entries, name)
		return found && entry.State == wire.SliceServing && name != c.avoid
	}
	name, found := s.pick(granted)
	if !found {
		return choice{why: s.poolReason()}
	}
	entry, _ := table.FindServer(entries, name)
	return choice{found: true, server: name, entry: entry}
}

// pick takes the best back end, or the next in turn without that mechanism.
func (s *service) pick(granted func(bundle.ServerName) bool) (bundle.ServerName, bool) {
	world := s.gateway.world
	if world.variant.mechanisms.leastInFlight {
		return s.pool.Pick(s.now(), world.choices.Uint64(), granted)
	}
	backends := s.bundle.Backends
	for range backends {
		s.next = (s.next + 1) % len(backends)
		name := world.bundle.ServerName(s.bundle, backends[s.next])
		if granted(name) && s.pool.Take(s.now(), name) {
			return name, true
		}
	}
	return "", false
}

func (s *service) poolReason() wire.Reason {
	if s.pool.Usable() {
		return wire.ReasonOverloaded
	}
	return wire.ReasonNoBackend
}

// mayWait returns why a call must not wait, empty if it may.
func (s *service) mayWait(c *call, made choice) wire.Reason {
	if len(s.waiting) >= defaultQueue {
		return wire.ReasonQueueFull
	}
	if left := c.left(s.now()); left > 0 && s.expectedWait(made) > left {
		return wire.ReasonDeadline
	}
	return ""
}

// expectedWait estimates the time until the call gets a slot.
func (s *service) expectedWait(made choice) time.Duration {
	if made.why != wire.ReasonOverloaded {
		return 0
	}
	position := 1
	for _, other := range s.waiting {
		if other.waitsFor == made.waitsFor {
			position++
		}
	}
	return s.occupancy.Wait(position, s.pool.Capacity(made.waitsFor))
}

// dispatch lets each waiting call look again, the longest waiting first.
func (s *service) dispatch() {
	if len(s.waiting) == 0 {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	kept := slices.DeleteFunc(waiting, func(c *call) bool { return !s.lookAgain(c) })
	s.waiting = append(kept, s.waiting...)
}

// lookAgain reports whether the call goes on waiting.
func (s *service) lookAgain(c *call) bool {
	made := s.choose(c)
	c.waitsFor, c.why = made.waitsFor, made.why
	switch {
	case made.found:
		s.send(c, made)
		return false
	case made.refused != "":
		s.end(c, notRun(made.refused))
		return false
	}
	return true
}
