package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// event is an action at a later time.
type event struct {
	at time.Time
	do func()
}

// simLeader is a process that drives a ledger.
type simLeader struct {
	ledger *Ledger
	term   Term
	// authority is when the leader's authority ends. Renewals continue for RenewalGrace after it.
	authority time.Time
	// frozenUntil is the time until which the leader does nothing.
	frozenUntil time.Time
	dead        bool
	writing     bool
}

// simulation consists of workers with their own clocks, a network that loses and delays orders and
// replies, and leaders that fail and are replaced, all in virtual time. The invariants are checked
// at each step.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	config  Config
	workers []*simWorker
	leaders []*simLeader
	record  []byte
	version int // version of the record
	term    Term
	queue   []event
	// lease is when the lease of the leader's key ends.
	lease     time.Time
	violation string
	// delayOrders makes workers accept some orders with a delay, loseReplies loses some of their
	// replies.
	delayOrders, loseReplies bool
	moves                    int
	// noMoves allows only moves off workers that are no longer candidates.
	noMoves bool
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		config: DefaultConfig(10 * time.Second),
	}
	for index := range 4 {
		s.workers = append(s.workers, &simWorker{id: workers.ID(fmt.Sprintf("w%d", index)), clockLag: 0.02 * s.random.Float64()})
	}
	return s
}

func (s *simulation) after(delay time.Duration, do func()) {
	s.queue = append(s.queue, event{at: s.now.Add(delay), do: do})
}

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// step advances the time by 20 ms.
func (s *simulation) step() {
	s.now = s.now.Add(20 * time.Millisecond)
	due := s.queue
	s.queue = nil
	for _, pending := range due {
		if s.now.Before(pending.at) {
			s.queue = append(s.queue, pending)
			continue
		}
		pending.do()
	}
	s.elect()
	for _, leader := range s.leaders {
		s.drive(leader)
	}
	s.check()
}

// elect starts a new leader once the lease has expired.
func (s *simulation) elect() {
	if s.now.Before(s.lease) {
		return
	}
	s.term++
	s.lease = s.now.Add(1500 * time.Millisecond)
	next := &simLeader{ledger: NewLedger(s.config, s.term), term: s.term, authority: s.now.Add(1350 * time.Millisecond)}
	if s.record != nil {
		until := s.now.Add(s.config.RenewalGrace + s.config.MaxHold())
		if err := next.ledger.Load(s.now, s.record, until); err != nil {
			panic(err)
		}
	}
	s.leaders = append(s.leaders, next)
}

// drive does what the keeper does, for one leader.
func (s *simulation) drive(leader *simLeader) {
	if leader.dead || s.now.Before(leader.frozenUntil) || s.now.After(leader.authority.Add(s.config.RenewalGrace)) {
		return
	}
	leads := leader.term == s.term && s.now.Before(s.lease)
	if leads && s.chance(0.2) {
		s.lease = s.now.Add(1500 * time.Millisecond)
		leader.authority = s.now.Add(1350 * time.Millisecond)
	}
	renewOnly := s.now.After(leader.authority)
	if !renewOnly {
		s.plan(leader)
		s.store(leader, leads)
	}
	for _, order := range leader.ledger.Due(s.now, renewOnly) {
		s.send(leader, order)
	}
}

func (s *simulation) plan(leader *simLeader) {
	if leader.writing {
		return
	}
	var candidates []Candidate
	for _, worker := range s.workers {
		if !worker.ended && !leader.ledger.Failing(s.now, worker.id, time.Second) {
			candidates = append(candidates, Candidate{ID: worker.id, Address: string(worker.id), Capacity: 30})
		}
	}
	if len(candidates) == 0 {
		return
	}
	if leader.ledger.Empty() {
		leader.ledger.Assign(s.now, InitialOwners(candidates, nil))
		return
	}
	leader.ledger.Plan(candidates, nil, testRules)
	if !s.noMoves && s.chance(0.05) {
		to := candidates[s.random.IntN(len(candidates))]
		leader.ledger.Move(segmentKeys(s.random.IntN(segmentCount)), to.ID, to.Address)
		s.moves++
	}
}

// store writes the record, on the condition that the leader still leads.
func (s *simulation) store(leader *simLeader, leads bool) {
	if leader.writing || leader.ledger.RecordVersion() == leader.ledger.StoredVersion() {
		return
	}
	version := leader.ledger.RecordVersion()
	value, err := leader.ledger.Encode(leader.term, "")
	if err != nil {
		panic(err)
	}
	leader.writing = true
	s.after(s.between(4*time.Millisecond, 400*time.Millisecond), func() {
		leader.writing = false
		if !leads || leader.term != s.term {
			leader.dead = true // the store reports that another process leads
			return
		}
		s.record = value
		s.version++
		leader.ledger.MarkStored(version)
	})
}

// send delivers an order to its worker and returns the reply to the leader.
func (s *simulation) send(from *simLeader, order Order) {
	var to *simWorker
	for _, worker := range s.workers {
		if worker.id == order.Target.ID {
			to = worker
		}
	}
	respond := func(reply Reply) {
		if !from.dead {
			from.ledger.HandleReply(s.now, order, reply)
		}
	}
	switch {
	case to == nil || to.ended || to.partitioned:
		s.after(400*time.Millisecond, func() { respond(Reply{Outcome: OutcomeUnreachable}) })
	case s.delayOrders && s.chance(0.3):
		s.after(s.between(2*time.Second, 12*time.Second), func() {
			s.deliver(to, order, true)
		})
		s.after(600*time.Millisecond, func() { respond(Reply{Outcome: OutcomeUnanswered}) })
	case s.loseReplies && s.chance(0.3):
		s.after(s.between(time.Millisecond, 20*time.Millisecond), func() { s.deliver(to, order, false) })
		s.after(600*time.Millisecond, func() { respond(Reply{Outcome: OutcomeUnanswered}) })
	default:
		s.after(s.between(time.Millisecond, 60*time.Millisecond), func() {
			reply := s.deliver(to, order, false)
			s.after(s.between(time.Millisecond, 20*time.Millisecond), func() { respond(reply) })
		})
	}
}

func (s *simulation) deliver(to *simWorker, order Order, delayed bool) Reply {
	if to.ended {
		return Reply{Outcome: OutcomeOtherWorker}
	}
	if order.Release {
		to.release(s.now, order.Keys, order.Fence)
		return Reply{Outcome: OutcomeDone, Handover: "h"}
	}
	if !delayed || !to.partitioned { // as in check
		s.checkFence(to, order.Grant)
	}
	return Reply{Outcome: to.grant(s.now, order.Grant, delayed)}
}

// checkFence verifies that a worker accepts keys only under a fence higher than those under which
// other workers hold them.
func (s *simulation) checkFence(to *simWorker, grant Grant) {
	for _, segment := range segmentsOf(grant.Keys) {
		if to.highestFences[segment] > grant.Fence {
			return // it will reject the grant
		}
	}
	for _, segment := range segmentsOf(grant.Keys) {
		for _, other := range s.workers {
			fence, holds := other.holds(s.now, segment)
			if other != to && holds && fence >= grant.Fence {
				s.violation = fmt.Sprintf("%v: %s accepts segment %d under fence %d, %s holds it under fence %d",
					s.now.Sub(time.Unix(1000, 0)), to.id, segment, grant.Fence, other.id, fence)
			}
		}
	}
}

// check verifies that no two workers hold the same keys. One case is excluded: a delayed grant
// accepted by a worker that orders can no longer reach. Only waiting for the longest delay after
// each crash could prevent that, and no request is sent there, since requests follow the published
// assignment.
func (s *simulation) check() {
	for segment := range segmentCount {
		var holders []string
		for _, worker := range s.workers {
			if _, holds := worker.holds(s.now, segment); holds && !worker.holdsDelayedGrant(s.now, segment) {
				holders = append(holders, string(worker.id))
			}
		}
		if len(holders) > 1 {
			s.violation = fmt.Sprintf("%v: segment %d is held by %v", s.now.Sub(time.Unix(1000, 0)), segment, holders)
		}
	}
}

// servedSegments returns the number of segments that are held by a reachable worker.
func (s *simulation) servedSegments() int {
	count := 0
	for segment := range segmentCount {
		if slices.ContainsFunc(s.workers, func(worker *simWorker) bool {
			_, holds := worker.holds(s.now, segment)
			return holds && !worker.partitioned
		}) {
			count++
		}
	}
	return count
}

// run simulates a number of seconds and returns the first violation, if there is one.
func (s *simulation) run(seconds int, each func(second int)) string {
	for second := range seconds {
		each(second)
		for range 50 {
			s.step()
			if s.violation != "" {
				return s.violation
			}
		}
	}
	return ""
}
