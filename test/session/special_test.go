package session

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/platform"
)

// A server that was frozen in the midst of a request comes back after its key
// has a new owner: it keeps no effect of the old request.
func TestFrozenServerFinishesAnOldRequest(t *testing.T) {
	play(t, func(s *system) {
		s.allow(4*time.Second, "reserve")
		s.allowUnknown("reserve")
		v := s.victim("reserve")
		key := s.keyOwnedBy(v, "reserve")
		s.note("a reservation begins at its key's owner, which freezes in the midst")
		old := newOperation("reserve", "old", 0)
		old.key = key
		old.work = 500 * time.Millisecond
		result := make(chan attempt, 1)
		s.callers.running.Go(func() { result <- s.callerAttempt(s.callers.client, old, 0) })
		s.pass(100 * time.Millisecond)
		s.network.Freeze(memnet.Place(v.host))
		s.lossOf(v)
		again := newOperation("reserve", "new", 1)
		again.key = key
		s.require(s.callerAttempt(s.callers.client, again, 0).answered(), "the new owner does not answer")
		s.note("  the key's new owner keeps a reservation")
		s.pass(2 * time.Second)
		s.network.Thaw(memnet.Place(v.host))
		s.note("the old owner goes on")
		answer := <-result
		s.require(!answer.answered(), "the old request was answered: %+v", answer)
		s.note("  the caller was told: outcome %s", answer.call.Outcome)
		s.pass(time.Second)
		run := s.runOf(answer.call.Nonce)
		s.require(run.Effect > 0 && !run.Kept, "the old request's run: %+v", run)
		s.note("  the old owner ran on to the point of effect and kept nothing")
	})
}

// A gateway that comes back with an old table is refused by the old owner,
// learns of the new one and answers its callers.
func TestFrozenGatewayReturnsWithAnOldTable(t *testing.T) {
	play(t, func(s *system) {
		for _, class := range loadClasses {
			s.allow(6*time.Second, class.name)
		}
		s.allowUnknown("reserve", "booking")
		p := s.gateways[gatewayHost(1)]
		v := s.victim("lookup")
		key := s.keyOwnedBy(v, "lookup")
		s.note("a gateway freezes; a lookup server drains, so that its keys move")
		s.network.Freeze(memnet.Place(p.host))
		drained := make(chan struct{})
		go func() {
			s.noError(v.owner.Drain(s.t.Context()))
			close(drained)
		}()
		<-drained
		s.note("  its keys have new owners, and it still answers on its address")
		s.pass(3 * time.Second)
		s.network.Thaw(memnet.Place(p.host))
		s.note("the gateway goes on with its old table")
		o := newOperation("lookup", "after the thaw", 0)
		o.key = key
		made := s.callerAttempt(s.callers.client, o, 0)
		s.require(made.answered(), "not answered: %+v", made)
		s.require(made.call.Body.Server != v.name, "answered by the old owner")
		s.note("  the first lookup through it is answered by the new owner")
	})
}

// Two operators propose, approve and roll at the same moment at different
// controllers: at each step one wins, and the other is told which version won.
func TestTwoOperatorsRace(t *testing.T) {
	play(t, func(s *system) {
		first, second := nextBundle(), nextBundle()
		second.Services[1].Limits.Queue = 100
		s.bundles = append(s.bundles, first)
		s.note("amina and karim propose version 2 at the same moment; answers of the platform get lost")
		s.store.LoseNextAnswers(1)
		failures := [2]adminapi.Failure{}
		var both sync.WaitGroup
		both.Go(func() { _, failures[0] = s.propose(s.controllers[controllerHost(1)], "amina", first) })
		both.Go(func() { _, failures[1] = s.propose(s.controllers[controllerHost(2)], "karim", second) })
		both.Wait()
		winner, loser := first, failures[1]
		proposer, approver := "amina", "karim"
		if failures[0].Code != "" {
			winner, loser = second, failures[0]
			proposer, approver = "karim", "amina"
		}
		s.bundles[len(s.bundles)-1] = winner
		s.require(loser.Code == adminapi.FailureConflict && loser.Winner != nil, "failures %+v", failures)
		s.require(string(loser.Winner.ProposedBy) == proposer && loser.Winner.Version == 2, "winner %+v", loser.Winner)
		s.note("  one wins; the other is told that version 2 is the winner's")
		s.step(func(to *controllerProcess) adminapi.Failure { _, f := s.approveBy(to, approver, winner); return f })
		s.step(func(to *controllerProcess) adminapi.Failure { _, f := s.rollVersion(to, 2); return f })
		s.within(4*time.Second, "version 2 is in force", s.settled(1, 2))
		_, failure := s.propose(s.anyController(), "amina", cellBundle(2))
		s.note("an older version is proposed: %s", failure.Code)
	})
}

// leaveBound is the stated time after which a back end that is leaving gets no
// new work, counted from when the platform or the server itself says so.
const leaveBound = 3 * time.Second

// machineLag is how late the machine list is in these sessions.
const machineLag = 2 * time.Second

// A back end that leaves gets no new work after the stated time, whichever way
// the news comes.
func TestLeaving(t *testing.T) {
	ways := []struct {
		name  string
		bound time.Duration
		say   func(s *system, v *server)
	}{
		{"by the bundle", leaveBound, func(s *system, v *server) { s.roll(withLeaving(v)) }},
		{"by the machine list, late", machineLag + leaveBound, func(s *system, v *server) {
			s.store.SetMachineLag(machineLag)
			s.store.SetMachine(platform.Machine{Address: v.host, Zone: string(v.backend.Zone), State: platform.MachineLeaving})
		}},
		{"by its own word", leaveBound, func(s *system, v *server) { s.ending.Go(v.stop) }},
		{"without a word", leaveBound, func(s *system, v *server) { v.kill() }},
	}
	for _, way := range ways {
		for _, service := range []string{"lookup", "booking"} {
			t.Run(service+" "+way.name, func(t *testing.T) {
				play(t, func(s *system) {
					s.allow(2500*time.Millisecond, "lookup", "booking")
					if way.name == "without a word" {
						s.allowUnknown("booking")
					}
					v := s.victim(service)
					s.note("a %s server leaves %s", service, way.name)
					s.leaving = append(s.leaving, history.Leaving{Server: v.name, At: s.now() + way.bound})
					way.say(s, v)
					s.within(way.bound, "it holds nothing", s.holdsNothing(v.name))
					s.pass(way.bound + time.Second)
					s.note("  it got no new work after %s", way.bound)
				})
			})
		}
	}
}

func withLeaving(v *server) bundle.Bundle {
	next := nextBundle()
	for i := range next.Services {
		for j := range next.Services[i].Backends {
			if next.Services[i].Backends[j].Name == v.backend.Name {
				next.Services[i].Backends[j].Leaving = true
			}
		}
	}
	return next
}

// keyOwnedBy finds a key that a server owns.
func (s *system) keyOwnedBy(v *server, class string) string {
	for number := range 100 {
		o := newOperation(class, fmt.Sprintf("find-%d", number), number)
		made := s.callerAttempt(s.callers.client, o, 0)
		if made.call.Status == http.StatusOK && made.call.Body.Server == v.name {
			return o.key
		}
	}
	s.require(false, "no key of %s", v.name)
	return ""
}

// runOf returns the run of a nonce.
func (s *system) runOf(nonce history.Nonce) history.Execution {
	for _, run := range s.collector.History().Executions {
		if run.Nonce == nonce {
			return run
		}
	}
	return history.Execution{}
}
