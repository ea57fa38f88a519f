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

// Constants for estimating the capacity of workers.
const (
	// defaultWorkTime is the assumed work time of a request before any worker was measured.
	defaultWorkTime = 80 * time.Millisecond
	// coldFactor is the assumed factor by which a worker is slower while it warms up.
	coldFactor = 2
)

// service is the state of one keyed service.
type service struct {
	name                routing.ServiceName
	ledger              *owner.Ledger // nil until loaded
	loads               *owner.Loads
	publishedAssignment uint64
	// publishedHolds is the version of the holds that was last sent to standbys.
	publishedHolds uint64
	nextPlan       time.Time
	// nextHoldEnds is when the ends of holds are queried next; queryingHoldEnds is true meanwhile.
	nextHoldEnds     time.Time
	queryingHoldEnds bool
	nextMetrics      time.Time
	// workTimes estimates the work time of requests at each worker.
	workTimes map[workers.ID]*estimate.Work
	// backoffs are the backoffs that each worker has requested from routers.
	backoffs map[workers.ID]*estimate.Backoffs
	// coldRate is how many requests per second a cold worker can run; zero means no such limit.
	coldRate float64
	// meanWorkTime is the mean work time over the workers that were measured.
	meanWorkTime time.Duration
	// revision is the revision of the stored record.
	revision coord.Revision
	writing  bool
	// workersVersion is the version of the list of workers whose incarnations were last passed to the
	// ledger.
	workersVersion uint64
	// balanceMoves are the times of recent moves for balance.
	balanceMoves []time.Time
}

func newService(name routing.ServiceName) *service {
	return &service{
		name: name, loads: owner.NewLoads(clock.Now()), workTimes: map[workers.ID]*estimate.Work{},
		backoffs: map[workers.ID]*estimate.Backoffs{}, meanWorkTime: defaultWorkTime,
	}
}

// addResponseTimes records a number of responses of a worker and the sum of their response times.
func (s *service) addResponseTimes(now time.Time, worker workers.Worker, answers int, took time.Duration) {
	if now.Before(worker.WarmAt) {
		return // a worker that warms up is slower than it will be later
	}
	work := s.workTimes[worker.ID]
	if work == nil {
		work = estimate.NewWork(now)
		s.workTimes[worker.ID] = work
	}
	work.Add(now, answers, took)
}

// addBackoffs records how many backoffs a worker has requested from routers, and the sum of their
// durations.
func (s *service) addBackoffs(now time.Time, worker workers.ID, count int, sum time.Duration) {
	backoffs := s.backoffs[worker]
	if backoffs == nil {
		backoffs = &estimate.Backoffs{}
		s.backoffs[worker] = backoffs
	}
	backoffs.Add(now, count, sum)
}

// updateMeanWorkTime averages the work times of the announced workers and drops the measurements of
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

// observeIncarnations passes the workers' incarnations to the ledger, and drops the measurements of
// workers that have restarted.
func (t *tenureKeeper) observeIncarnations(now time.Time, svc *service) {
	list, version := t.Workers.ByService(svc.name)
	if version == svc.workersVersion {
		return
	}
	svc.workersVersion = version
	for _, worker := range list {
		if !svc.ledger.ObserveIncarnation(now, worker.Incarnation(), worker.Address) {
			continue
		}
		delete(svc.workTimes, worker.ID)
		delete(svc.backoffs, worker.ID)
		t.Log.Line(decision.KindWorker).Str("worker", string(worker.ID)).Str("state", string(worker.State)).
			Str("service", string(svc.name)).Msg("the worker has restarted; its keys are granted to it again")
	}
}

// candidates returns the workers that may own keys now.
func (t *tenureKeeper) candidates(now time.Time, svc *service) []owner.Candidate {
	if config := t.serviceConfig(svc); config != nil {
		svc.coldRate = config.ColdRate
	}
	svc.updateMeanWorkTime(now, t.Workers)
	list, _ := t.Workers.ByService(svc.name)
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

// inGracePeriod reports whether a worker that is not announced keeps its keys for now. Its entry may
// come back soon, and a new leader may have read the list while some entries had expired.
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

// assumedSlots returns the number of slots that is assumed for a worker that is not announced: the
// most of any worker in the list.
func assumedSlots(list []workers.Worker) int {
	slots := 1
	for _, worker := range list {
		slots = max(slots, worker.Slots)
	}
	return slots
}

// capacity returns how many requests per second a worker can run.
func (t *tenureKeeper) capacity(now time.Time, svc *service, id workers.ID) float64 {
	worker, _ := t.Workers.Get(id)
	return t.candidate(now, svc, worker).Capacity
}

// candidate returns a worker as a candidate for keys. A limit that the worker has announced caps its
// capacity, and backoffs that it has requested from routers reduce it.
func (t *tenureKeeper) candidate(now time.Time, svc *service, worker workers.Worker) owner.Candidate {
	candidate := svc.candidate(now, worker)
	if backoffs := svc.backoffs[worker.ID]; backoffs != nil {
		t.reduceCapacity(now, svc, &candidate, backoffs)
	}
	if t.Limits == nil {
		return candidate
	}
	if perSecond, limited := t.Limits(worker.Incarnation()); limited {
		candidate.Capacity, candidate.Limited = min(candidate.Capacity, perSecond), true
	}
	return candidate
}

// backoffs returns the backoffs that owners of keys have requested, for display to operators.
func (t *tenureKeeper) backoffs(now time.Time) []peerlink.BackoffShare {
	var list []peerlink.BackoffShare
	for _, svc := range t.services {
		for id, requested := range svc.backoffs {
			if left := requested.Remaining(now); left > 0 {
				list = append(list, peerlink.BackoffShare{Worker: id, Share: requested.Share(now, t.Hub.Nodes()), RemainingMillis: left.Milliseconds()})
			}
		}
	}
	slices.SortFunc(list, func(a, b peerlink.BackoffShare) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return list
}

// minCapacityShare is the share of its capacity that a worker keeps when all routers back off.
const minCapacityShare = 0.02

// reduceCapacity lowers a worker's capacity by the share of routers that back off. A worker that has
// requested backoffs recently gets no more keys.
func (t *tenureKeeper) reduceCapacity(now time.Time, svc *service, candidate *owner.Candidate, backoffs *estimate.Backoffs) {
	if !backoffs.IsRecent(now) {
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
