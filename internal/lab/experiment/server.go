package experiment

import (
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// server is one back end with slots, a bounded queue, and the library's lease.
type server struct {
	world    *world
	workload workload
	name     bundle.ServerName
	short    string
	zone     bundle.Zone

	alive bool
	// starts counts the starts of the process; events of an earlier run of it
	// are void.
	starts    int
	startedAt time.Duration
	holder    *lease.Holder
	draining  bool
	busy      int
	waiting   []*attempt
	meter     *meter

	// misbehaviour of the scenario.
	shed   float64
	factor float64
	lies   bool
	lag    time.Duration
	// reports are the load reports of the last seconds, the oldest first; the
	// last one went to the leader of reportedTerm.
	reports      []agedReport
	reportedTerm uint64
	reportedAt   time.Duration
}

// agedReport is a load report and when it was made.
type agedReport struct {
	at   time.Duration
	load wire.LoadReport
}

func newServer(w *world, described workload, name bundle.ServerName, backend bundle.Backend) *server {
	made := &server{world: w, workload: described, name: name, short: backend.Name, zone: backend.Zone, factor: 1}
	made.start()
	return made
}

// start begins a new run of the process, cold and without grants.
func (s *server) start() {
	s.alive = true
	s.draining = false
	s.starts++
	s.startedAt = s.world.Now()
	s.busy = 0
	s.waiting = nil
	s.meter = newMeter()
	s.reports = nil
	s.reportedTerm = 0
	incarnation := wire.Incarnation(fmt.Sprintf("%s run %d", s.name, s.starts))
	s.holder = lease.NewHolder(s.world.deployment.cell, incarnation)
}

// lose takes the machine away without a sign: nothing answers any more.
func (s *server) lose() {
	s.alive = false
	s.busy = 0
	s.waiting = nil
}

// receive takes a request that has arrived.
func (s *server) receive(a *attempt) {
	if !s.alive {
		return // silence
	}
	if s.shed > 0 && s.world.times.Float64() < s.shed {
		s.refuse(a, wire.ReasonOverloaded)
		return
	}
	if !s.admit(a) {
		return
	}
	s.world.measures.accepted(s)
	s.meter.count(s.world.Now(), a)
	if s.busy < s.workload.slots {
		s.work(a)
		return
	}
	if len(s.waiting) >= workerQueue {
		s.finish(a)
		s.refuse(a, wire.ReasonOverloaded)
		return
	}
	s.waiting = append(s.waiting, a)
}

// admit checks the grant. Without the system nobody checks.
func (s *server) admit(a *attempt) bool {
	a.run = s.starts
	if !s.world.variant.mechanisms.fenced {
		return true
	}
	entry := a.entry
	ticket, reason := s.holder.Admit(s.world.instant(), s.world.deployment.cell, entry.Slice, entry.Fence, entry.Bundle)
	if reason != "" {
		s.refuse(a, reason)
		return false
	}
	a.ticket = ticket
	return true
}

// work holds a slot for the service time.
func (s *server) work(a *attempt) {
	s.busy++
	a.working = true
	mean := float64(s.workload.serviceTime) * s.coldness() * s.factor
	a.timer = s.world.After(time.Duration(mean*a.call.work), func() { s.complete(a) })
}

// coldness falls from coldFactor to 1 over coldStart.
func (s *server) coldness() float64 {
	warm := float64(s.world.Now()-s.startedAt) / float64(coldStart)
	return max(1, coldFactor-(coldFactor-1)*warm)
}

// complete answers, if the grant still holds where the effect is kept.
func (s *server) complete(a *attempt) {
	if !s.alive || a.run != s.starts {
		return
	}
	reason := wire.Reason("")
	if s.world.variant.mechanisms.fenced {
		reason = s.holder.Check(s.world.instant(), a.ticket)
	}
	s.release(a)
	if reason != "" {
		s.refuse(a, reason)
		return
	}
	s.reply(a, "")
}

// release gives the slot of an attempt to the next one that waits.
func (s *server) release(a *attempt) {
	s.finish(a)
	a.working = false
	s.busy--
	for len(s.waiting) > 0 && s.busy < s.workload.slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if next.call.expired(s.world.Now()) {
			s.finish(next)
			s.refuse(next, wire.ReasonDeadline)
			continue
		}
		s.work(next)
	}
}

func (s *server) finish(a *attempt) {
	if s.world.variant.mechanisms.fenced {
		s.holder.Finish(a.ticket)
	}
}

// cancel ends an attempt that its gateway has given up.
func (s *server) cancel(a *attempt) {
	if !s.alive || a.run != s.starts {
		return
	}
	if a.working {
		a.timer.Stop()
		s.release(a)
		return
	}
	for i, other := range s.waiting {
		if other == a {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			s.finish(a)
			return
		}
	}
}

func (s *server) refuse(a *attempt, reason wire.Reason) {
	s.reply(a, reason)
}

// reply sends an answer back; a reason says that the request did not run.
func (s *server) reply(a *attempt, reason wire.Reason) {
	s.world.send(s.zone, a.service.gateway.zone, 0, func() { a.service.answered(a, reason) })
}

// drain asks to be relieved of everything, and calls stopped once nothing is
// held and nothing runs.
func (s *server) drain(stopped func()) {
	s.draining = true
	s.holder.Drain()
	run := s.starts
	var poll func()
	poll = func() {
		if !s.alive || s.starts != run {
			return
		}
		if s.idle() {
			stopped()
			return
		}
		s.world.After(drainPoll, poll)
	}
	s.world.After(drainPoll, poll)
}

// idle reports whether the process may stop. Without the system it stops when
// it has been marked for a while and runs nothing.
func (s *server) idle() bool {
	if s.world.variant.mechanisms.fenced {
		return s.holder.Idle(s.world.instant())
	}
	return s.busy == 0 && len(s.waiting) == 0
}

const drainPoll = 100 * time.Millisecond
