package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/estimate"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Measuring workers' speed.
const (
	// usualTime is a request's time at a worker of which nothing is known yet.
	usualTime = 80 * time.Millisecond
	// coldFactor is how much slower a worker is taken to be while it warms up.
	coldFactor = 2
)

// service is one keyed service under the keeper.
type service struct {
	name      routing.ServiceName
	book      *owner.Ledger // nil until loaded
	loads     *owner.Loads
	published uint64
	// publishedHolds is the version of the holds that standbys were told.
	publishedHolds uint64
	nextPlan       time.Time
	nextGauge      time.Time
	// work is what was measured of each worker.
	work map[workers.ID]*estimate.Work
	// backoffs are those that each worker has asked routers for.
	backoffs map[workers.ID]*estimate.Backoffs
	// coldRate is how many requests a second a cold worker bears; zero: any number.
	coldRate float64
	// usual is the mean time of work over the workers that were measured.
	usual time.Duration
	// revision of the stored record.
	revision coord.Revision
	writing  bool
	// seen is the version of the list of workers whose lives the book was told of.
	seen uint64
	// moves are when keys were moved for balance lately.
	moves []time.Time
}

func newService(name routing.ServiceName) *service {
	return &service{
		name: name, loads: owner.NewLoads(clock.Now()), work: map[workers.ID]*estimate.Work{},
		backoffs: map[workers.ID]*estimate.Backoffs{}, usual: usualTime,
	}
}

// measured takes a number of answers and the sum of their times at a worker.
func (s *service) measured(now time.Time, worker workers.Worker, answers int, took time.Duration) {
	if now.Before(worker.WarmAt) {
		return // it is slower than it will be
	}
	work := s.work[worker.ID]
	if work == nil {
		work = estimate.NewWork(now)
		s.work[worker.ID] = work
	}
	work.Add(now, answers, took)
}

// backedOff takes how many backoffs a worker has asked routers for, and the sum of their times.
func (s *service) backedOff(now time.Time, worker workers.ID, count int, sum time.Duration) {
	backoffs := s.backoffs[worker]
	if backoffs == nil {
		backoffs = &estimate.Backoffs{}
		s.backoffs[worker] = backoffs
	}
	backoffs.Add(now, count, sum)
}

// measureUsual averages the times of work over the announced workers, and forgets the
// others.
func (s *service) measureUsual(now time.Time, directory *workers.Directory) {
	total, count := time.Duration(0), 0
	for id, work := range s.work {
		worker, announced := directory.Get(id)
		if !announced {
			delete(s.work, id)
			continue
		}
		total += work.Mean(now, worker.Slots, s.usual)
		count++
	}
	if count > 0 {
		s.usual = total / time.Duration(count)
	}
}

// tellLives tells the book of workers that have started again, and forgets how fast they were.
func (t *tenancy) tellLives(now time.Time, of *service) {
	list, version := t.Workers.ByService(of.name)
	if version == of.seen {
		return
	}
	of.seen = version
	for _, worker := range list {
		if !of.book.ObserveIncarnation(now, worker.Incarnation(), worker.Address) {
			continue
		}
		delete(of.work, worker.ID)
		delete(of.backoffs, worker.ID)
		t.Log.Line(decision.KindWorker).Str("worker", string(worker.ID)).Str("state", string(worker.State)).
			Str("service", string(of.name)).Msg("has started again; it gets its keys anew")
	}
}

// candidates lists the workers that may hold keys now.
func (t *tenancy) candidates(now time.Time, of *service) []owner.Candidate {
	if described := t.described(of); described != nil {
		of.coldRate = described.ColdRate
	}
	of.measureUsual(now, t.Workers)
	list, _ := t.Workers.ByService(of.name)
	var candidates []owner.Candidate
	for _, worker := range list {
		if worker.State != workers.StateReady || of.book.Failing(now, worker.ID, failingAfter) || t.Workers.Evacuated(worker.Zone) {
			continue
		}
		candidates = append(candidates, t.candidate(now, of, worker))
	}
	for _, holder := range of.book.OwnerTargets() {
		if t.mayComeBack(now, of, holder.ID) {
			lapsed := workers.Worker{ID: holder.ID, Address: holder.Address, Slots: usualSlots(list)}
			candidates = append(candidates, t.candidate(now, of, lapsed))
		}
	}
	slices.SortFunc(candidates, func(a, b owner.Candidate) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return candidates
}

// mayComeBack reports whether a worker that is not announced keeps its keys for now. An
// entry may be back soon, and a process that has just begun to lead may have read a
// list of which others had lapsed.
func (t *tenancy) mayComeBack(now time.Time, of *service, id workers.ID) bool {
	if _, announced := t.Workers.Get(id); announced || of.book.Failing(now, id, failingAfter) {
		return false
	}
	at, gone := t.Workers.GoneAt(id)
	if gone && t.Workers.Unreadable(id) {
		return now.Sub(at) < unreadableGrace
	}
	if gone {
		return now.Sub(at) < goneGrace
	}
	return now.Sub(t.began) < workers.SettleTime
}

// usualSlots is what a worker of which nothing is announced is taken to have.
func usualSlots(list []workers.Worker) int {
	slots := 1
	for _, one := range list {
		slots = max(slots, one.Slots)
	}
	return slots
}

// capacity returns how many requests a second a worker can run.
func (t *tenancy) capacity(now time.Time, of *service, id workers.ID) float64 {
	worker, _ := t.Workers.Get(id)
	return t.candidate(now, of, worker).Capacity
}

// candidate describes a worker. A limit that it names caps its capacity, and what routers may not send
// it, since it has asked them for backoffs, lowers it.
func (t *tenancy) candidate(now time.Time, of *service, worker workers.Worker) owner.Candidate {
	candidate := of.candidate(now, worker)
	if backoffs := of.backoffs[worker.ID]; backoffs != nil {
		t.lessen(now, of, &candidate, backoffs)
	}
	if t.Limits == nil {
		return candidate
	}
	if perSecond, limited := t.Limits(worker.Incarnation()); limited {
		candidate.Capacity, candidate.Limited = min(candidate.Capacity, perSecond), true
	}
	return candidate
}

// backoffs describes those that owners of keys have asked for, for operators.
func (t *tenancy) backoffs(now time.Time) []peerlink.BackoffShare {
	var list []peerlink.BackoffShare
	for _, of := range t.services {
		for id, one := range of.backoffs {
			if left := one.Remaining(now); left > 0 {
				list = append(list, peerlink.BackoffShare{Worker: id, Share: one.Share(now, t.Hub.Nodes()), RemainingMillis: left.Milliseconds()})
			}
		}
	}
	slices.SortFunc(list, func(a, b peerlink.BackoffShare) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return list
}

// leastCapacity is the share of a worker's capacity that it has left where all routers back off.
const leastCapacity = 0.02

// lessen lowers a worker's capacity by the share of routers that back off. For as long as it has asked
// for backoffs lately it gets no more keys.
func (t *tenancy) lessen(now time.Time, of *service, candidate *owner.Candidate, backoffs *estimate.Backoffs) {
	if !backoffs.IsRecent(now) {
		delete(of.backoffs, candidate.ID)
		return
	}
	candidate.Cold = true
	if share := backoffs.Share(now, t.Hub.Nodes()); share > 0 {
		candidate.Capacity *= max(leastCapacity, 1-share)
		candidate.Limited = true
	}
}

func (s *service) candidate(now time.Time, worker workers.Worker) owner.Candidate {
	mean := s.usual
	if work := s.work[worker.ID]; work != nil {
		mean = work.Mean(now, worker.Slots, s.usual)
	}
	candidate := owner.Candidate{ID: worker.ID, Address: worker.Address, Zone: worker.Zone}
	candidate.Capacity = float64(worker.Slots) / max(mean, time.Millisecond).Seconds()
	if now.Before(worker.WarmAt) {
		candidate.Capacity /= coldFactor
		if s.coldRate > 0 {
			candidate.Capacity = min(candidate.Capacity, s.coldRate)
			candidate.Cold = true
		}
	}
	return candidate
}
