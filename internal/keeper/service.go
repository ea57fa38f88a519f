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
	// defaultWorkTime is a request's time at a worker of which nothing is known yet.
	defaultWorkTime = 80 * time.Millisecond
	// coldFactor is how much slower a worker is taken to be while it warms up.
	coldFactor = 2
)

// service is one keyed service under the keeper.
type service struct {
	name                routing.ServiceName
	ledger              *owner.Ledger // nil until loaded
	loads               *owner.Loads
	publishedAssignment uint64
	// publishedHolds is the version of the holds that standbys were told.
	publishedHolds uint64
	nextPlan       time.Time
	nextGauge      time.Time
	// work is what was measured of each worker.
	workTimes map[workers.ID]*estimate.Work
	// backoffs are those that each worker has asked routers for.
	backoffs map[workers.ID]*estimate.Backoffs
	// coldRate is how many requests a second a cold worker bears; zero: any number.
	coldRate float64
	// usual is the mean time of work over the workers that were measured.
	meanWorkTime time.Duration
	// revision of the stored record.
	revision coord.Revision
	writing  bool
	// seen is the version of the list of workers whose lives the book was told of.
	workersVersion uint64
	// moves are when keys were moved for balance lately.
	balanceMoves []time.Time
}

func newService(name routing.ServiceName) *service {
	return &service{
		name: name, loads: owner.NewLoads(clock.Now()), workTimes: map[workers.ID]*estimate.Work{},
		backoffs: map[workers.ID]*estimate.Backoffs{}, meanWorkTime: defaultWorkTime,
	}
}

// measured takes a number of answers and the sum of their times at a worker.
func (s *service) addResponseTimes(now time.Time, worker workers.Worker, answers int, took time.Duration) {
	if now.Before(worker.WarmAt) {
		return // it is slower than it will be
	}
	work := s.workTimes[worker.ID]
	if work == nil {
		work = estimate.NewWork(now)
		s.workTimes[worker.ID] = work
	}
	work.Add(now, answers, took)
}

// backedOff takes how many backoffs a worker has asked routers for, and the sum of their times.
func (s *service) addBackoffs(now time.Time, worker workers.ID, count int, sum time.Duration) {
	backoffs := s.backoffs[worker]
	if backoffs == nil {
		backoffs = &estimate.Backoffs{}
		s.backoffs[worker] = backoffs
	}
	backoffs.Add(now, count, sum)
}

// measureUsual averages the times of work over the announced workers, and forgets the
// others.
func (s *service) updateMeanWorkTime(now time.Time, directory *workers.Directory) {
	total, count := time.Duration(0), 0
	for id, work := range s.workTimes {
		worker, announced := directory.Get(id)
		if !announced {
			delete(s.workTimes, id)
			continue
		}
		total += work.Mean(now, worker.Slots, s.meanWorkTime)
		count++
	}
	if count > 0 {
		s.meanWorkTime = total / time.Duration(count)
	}
}

// tellLives tells the book of workers that have started again, and forgets how fast they were.
func (t *tenureKeeper) observeIncarnations(now time.Time, svc *service) {
	list, version := t.Workers.Of(svc.name)
	if version == svc.workersVersion {
		return
	}
	svc.workersVersion = version
	for _, worker := range list {
		if !svc.ledger.ObserveIncarnation(now, worker.Life(), worker.Address) {
			continue
		}
		delete(svc.workTimes, worker.ID)
		delete(svc.backoffs, worker.ID)
		t.Log.Line(decision.KindWorker).Str("worker", string(worker.ID)).Str("state", string(worker.State)).
			Str("service", string(svc.name)).Msg("has started again; it gets its keys anew")
	}
}

// candidates lists the workers that may hold keys now.
func (t *tenureKeeper) candidates(now time.Time, svc *service) []owner.Candidate {
	if config := t.serviceConfig(svc); config != nil {
		svc.coldRate = config.ColdRate
	}
	svc.updateMeanWorkTime(now, t.Workers)
	list, _ := t.Workers.Of(svc.name)
	var candidates []owner.Candidate
	for _, worker := range list {
		if worker.State != workers.StateReady || svc.ledger.Failing(now, worker.ID, failingAfter) || t.Workers.Evacuated(worker.Zone) {
			continue
		}
		candidates = append(candidates, t.candidate(now, svc, worker))
	}
	for _, holder := range svc.ledger.OwnerTargets() {
		if t.inGracePeriod(now, svc, holder.ID) {
			expired := workers.Worker{ID: holder.ID, Address: holder.Address, Slots: assumedSlots(list)}
			candidates = append(candidates, t.candidate(now, svc, expired))
		}
	}
	slices.SortFunc(candidates, func(a, b owner.Candidate) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return candidates
}

// mayComeBack reports whether a worker that is not announced keeps its keys for now. An
// entry may be back soon, and a process that has just begun to lead may have read a
// list of which others had lapsed.
func (t *tenureKeeper) inGracePeriod(now time.Time, svc *service, id workers.ID) bool {
	if _, announced := t.Workers.Get(id); announced || svc.ledger.Failing(now, id, failingAfter) {
		return false
	}
	removedAt, removed := t.Workers.GoneAt(id)
	if removed && t.Workers.Unreadable(id) {
		return now.Sub(removedAt) < unreadableGrace
	}
	if removed {
		return now.Sub(removedAt) < removedGrace
	}
	return now.Sub(t.startedAt) < workers.SettleTime
}

// assumedSlots is what a worker of which nothing is announced is taken to have.
func assumedSlots(list []workers.Worker) int {
	slots := 1
	for _, one := range list {
		slots = max(slots, one.Slots)
	}
	return slots
}

// capacity returns how many requests a second a worker can run.
func (t *tenureKeeper) capacity(now time.Time, svc *service, id workers.ID) float64 {
	worker, _ := t.Workers.Get(id)
	return t.candidate(now, svc, worker).Capacity
}

// candidate describes a worker. A limit that it names caps its capacity, and what routers may not send
// it, since it has asked them for backoffs, lowers it.
func (t *tenureKeeper) candidate(now time.Time, svc *service, worker workers.Worker) owner.Candidate {
	candidate := svc.candidate(now, worker)
	if backoffs := svc.backoffs[worker.ID]; backoffs != nil {
		t.reduceCapacity(now, svc, &candidate, backoffs)
	}
	if t.Limits == nil {
		return candidate
	}
	if perSecond, limited := t.Limits(worker.Life()); limited {
		candidate.Capacity, candidate.Limited = min(candidate.Capacity, perSecond), true
	}
	return candidate
}

// backoffs describes those that owners of keys have asked for, for operators.
func (t *tenureKeeper) backoffs(now time.Time) []peerlink.BackoffShare {
	var list []peerlink.BackoffShare
	for _, svc := range t.services {
		for id, one := range svc.backoffs {
			if left := one.Left(now); left > 0 {
				list = append(list, peerlink.BackoffShare{Worker: id, Share: one.Share(now, t.Hub.Nodes()), RemainingMillis: left.Milliseconds()})
			}
		}
	}
	slices.SortFunc(list, func(a, b peerlink.BackoffShare) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return list
}

// minCapacityShare is the share of a worker's capacity that it has left where all routers back off.
const minCapacityShare = 0.02

// lessen lowers a worker's capacity by the share of routers that back off. For as long as it has asked
// for backoffs lately it gets no more keys.
func (t *tenureKeeper) reduceCapacity(now time.Time, svc *service, candidate *owner.Candidate, backoffs *estimate.Backoffs) {
	if !backoffs.Lately(now) {
		delete(svc.backoffs, candidate.ID)
		return
	}
	candidate.Cold = true
	if share := backoffs.Share(now, t.Hub.Nodes()); share > 0 {
		candidate.Capacity *= max(minCapacityShare, 1-share)
		candidate.Limited = true
	}
}

func (s *service) candidate(now time.Time, worker workers.Worker) owner.Candidate {
	mean := s.meanWorkTime
	if work := s.workTimes[worker.ID]; work != nil {
		mean = work.Mean(now, worker.Slots, s.meanWorkTime)
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
