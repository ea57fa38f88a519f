package keeper

import (
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Measuring workers' speed.
const (
	// usualTime is a request's time at a worker of which nothing is known yet.
	usualTime = 80.0 // milliseconds
	// timeShare is the weight of a new measurement.
	timeShare = 0.15
	// coldFactor is how much slower a worker is taken to be while it warms up.
	coldFactor = 2.0
)

// service is one keyed service under the keeper.
type service struct {
	name      routing.ServiceName
	book      *owner.Book // nil until loaded
	loads     *owner.Loads
	published uint64
	// publishedHolds is the version of the holds that standbys were told.
	publishedHolds uint64
	nextPlan       time.Time
	nextGauge      time.Time
	// times are each worker's mean time for a request, in milliseconds.
	times map[workers.ID]float64
	// revision of the stored record.
	revision coord.Revision
	writing  bool
	// moves are when keys were moved for balance lately.
	moves []time.Time
}

func newService(name routing.ServiceName) *service {
	return &service{name: name, loads: owner.NewLoads(time.Now()), times: map[workers.ID]float64{}}
}

// measured takes a number of answers and the sum of their times.
func (s *service) measured(id workers.ID, sum [2]int) {
	mean := float64(sum[1]) / float64(sum[0])
	if _, known := s.times[id]; !known {
		s.times[id] = s.usual()
	}
	weight := 1.0
	for range min(sum[0], 10) {
		weight *= 1 - timeShare
	}
	s.times[id] = weight*s.times[id] + (1-weight)*mean
}

// usual is the mean time over the workers that were measured.
func (s *service) usual() float64 {
	if len(s.times) == 0 {
		return usualTime
	}
	total := 0.0
	for _, one := range s.times {
		total += one
	}
	return total / float64(len(s.times))
}

// candidates lists the workers that may hold keys now.
func (t *tenancy) candidates(now time.Time, of *service) []owner.Candidate {
	list, _ := t.Workers.Of(of.name)
	var candidates []owner.Candidate
	for _, worker := range list {
		if worker.State != workers.StateReady || of.book.Failing(now, worker.ID, failingAfter) {
			continue
		}
		candidates = append(candidates, of.candidate(now, worker))
	}
	for _, holder := range of.book.Holders() {
		if t.mayComeBack(now, of, holder.ID) {
			lapsed := workers.Worker{ID: holder.ID, Address: holder.Address, Slots: usualSlots(list)}
			candidates = append(candidates, of.candidate(now, lapsed))
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
func (s *service) capacity(now time.Time, id workers.ID, directory *workers.Directory) float64 {
	worker, _ := directory.Get(id)
	return s.candidate(now, worker).Capacity
}

func (s *service) candidate(now time.Time, worker workers.Worker) owner.Candidate {
	mean, known := s.times[worker.ID]
	if !known {
		mean = s.usual()
	}
	if now.Before(worker.WarmAt) {
		mean *= coldFactor
	}
	return owner.Candidate{
		ID: worker.ID, Address: worker.Address, Zone: worker.Zone,
		Capacity: float64(worker.Slots) * 1000 / max(mean, 1),
	}
}
