package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// A simulation in virtual time counts both kinds of errors: innocent requests that are rejected, and
// harmful ones that are sent after all routers must know the quarantine.
const (
	simRouters  = 6
	simWorkers  = 24
	simRacks    = 4
	simDuration = 5 * time.Minute
	simStep     = 10 * time.Millisecond
	// propagationBound is the time within which all routers must know a quarantine, and maxLateSends
	// how many sends may follow: bounds set by the users.
	propagationBound = 3 * time.Second
	maxLateSends     = 3
	// runTime is how long a worker processes a request, and restartDelay how long a crashed worker
	// is down.
	runTime      = 150 * time.Millisecond
	restartDelay = 4 * time.Second
	// keyMoveTime is how long the keys of a crashed owner have no new owner. Callers poll them with
	// ownerPollers different requests.
	keyMoveTime  = 2 * time.Second
	ownerPollers = 6
)

// simulation simulates routers with a leader, and workers that crash at random, by rack, and
// because of harmful requests.
type simulation struct {
	random      *rand.Rand
	routers     []*View
	leader      *View
	sentVersion uint64
	workers     []*simWorker
	// messages are those in transit.
	messages     []message
	nextWorkerID int
	// owner owns the keys of the first harmful request and of some pollers, from ownedFrom on.
	owner     *simWorker
	ownedFrom time.Time
	// harmful are the requests that crash workers; crashed counts the crashed workers by request,
	// and thresholdAt is when crashThreshold was reached.
	harmful     map[Fingerprint]bool
	crashed     map[Fingerprint]int
	thresholdAt map[Fingerprint]time.Time
	// lateSends counts the sends of each harmful request later than propagationBound after
	// thresholdAt.
	lateSends          map[Fingerprint]int
	requests, rejected int
	otherCrashes       int
	sentAsSuspects     int
}

type message struct {
	at      time.Time
	deliver func(now time.Time)
}

type simWorker struct {
	id        workers.ID
	rack      int
	downUntil time.Time
	runs      []simRun
}

type simRun struct {
	request   Fingerprint
	router    *View
	startedAt time.Time
}

func newSimulation(seed uint64) *simulation {
	return newSimulationOf(seed, simRouters, simWorkers, simRacks)
}

// newSimulationOf returns a simulation with a number of routers, and of workers in racks.
func newSimulationOf(seed uint64, routers, workers, racks int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), leader: NewView(), harmful: map[Fingerprint]bool{},
		crashed: map[Fingerprint]int{}, thresholdAt: map[Fingerprint]time.Time{}, lateSends: map[Fingerprint]int{},
	}
	for range routers {
		s.routers = append(s.routers, NewView())
	}
	for index := range workers {
		s.workers = append(s.workers, &simWorker{rack: index % racks})
		s.restart(s.workers[index])
	}
	s.owner = s.workers[0]
	return s
}

func (s *simulation) restart(worker *simWorker) {
	s.nextWorkerID++
	worker.id = workers.ID(fmt.Sprintf("w%d", s.nextWorkerID))
}

// deliverLater delivers a message after a random time below limit.
func (s *simulation) deliverLater(now time.Time, limit time.Duration, deliver func(time.Time)) {
	s.messages = append(s.messages, message{at: now.Add(time.Duration(s.random.Int64N(int64(limit)))), deliver: deliver})
}

// crash crashes a worker: each router detects within milliseconds that its own attempts there were
// interrupted, and reports them.
func (s *simulation) crash(now time.Time, worker *simWorker) {
	id := worker.id
	for _, run := range worker.runs {
		s.deliverLater(now, 20*time.Millisecond, func(observedAt time.Time) {
			run.router.RecordCrash(observedAt, Attempt{Request: run.request}, Crash{Worker: id, At: observedAt})
		})
	}
	worker.runs, worker.downUntil = nil, now.Add(restartDelay)
	if worker == s.owner {
		s.owner, s.ownedFrom = s.workers[s.random.IntN(len(s.workers))], now.Add(keyMoveTime)
	}
	s.restart(worker)
}

// send sends a request through a router to a worker, unless the worker is down. It reports whether
// the router rejects the request because it is quarantined.
func (s *simulation) send(now time.Time, router *View, request Fingerprint) (rejected bool) {
	if router.Standing(CallerRequest{Request: request}) == Quarantined {
		return true
	}
	worker := s.workers[s.random.IntN(len(s.workers))]
	if isKeyed(request) {
		worker = s.owner
	}
	if now.Before(worker.downUntil) || (isKeyed(request) && now.Before(s.ownedFrom)) {
		return false // connection refused
	}
	worker.runs = append(worker.runs, simRun{request: request, router: router, startedAt: now})
	if !s.harmful[request] {
		return false
	}
	if reachedAt := s.thresholdAt[request]; !reachedAt.IsZero() && now.After(reachedAt.Add(propagationBound)) {
		s.lateSends[request]++
	}
	return false
}

// isKeyed reports whether a request is for the keys of the owner.
func isKeyed(request Fingerprint) bool {
	return request[0] == 4 || request == Fingerprint{2, 0}
}

// step simulates one time step: messages are delivered, and runs end.
func (s *simulation) step(now time.Time) {
	due := []message{}
	s.messages = slices.DeleteFunc(s.messages, func(one message) bool {
		if one.at.After(now) {
			return false
		}
		due = append(due, one)
		return true
	})
	for _, one := range due {
		one.deliver(now)
	}
	for _, worker := range s.workers {
		s.finishRuns(now, worker)
	}
}

// finishRuns ends the runs that are due: a harmful one crashes its worker.
func (s *simulation) finishRuns(now time.Time, worker *simWorker) {
	for _, run := range worker.runs {
		if s.harmful[run.request] && now.Sub(run.startedAt) >= runTime/2 {
			s.crashed[run.request]++
			if s.crashed[run.request] == crashThreshold {
				s.thresholdAt[run.request] = now
			}
			s.crash(now, worker)
			return
		}
	}
	worker.runs = slices.DeleteFunc(worker.runs, func(run simRun) bool {
		if now.Sub(run.startedAt) < runTime {
			return false
		}
		if run.router.Standing(CallerRequest{Request: run.request}) != Unsuspected {
			run.router.RecordSuccess(now, CallerRequest{Request: run.request})
		}
		return true
	})
}

// exchange sends the routers' reports, and the leader's update if its records have changed.
func (s *simulation) exchange(now time.Time) {
	for _, router := range s.routers {
		if evidence := router.CollectEvidence(now); evidence != nil {
			s.deliverLater(now, 500*time.Millisecond, func(at time.Time) { s.leader.HandleEvidence(at, *evidence) })
		}
	}
	s.leader.Evaluate(now)
	snapshot, version := s.leader.Snapshot(now)
	if version == s.sentVersion {
		return
	}
	s.sentVersion = version
	for _, router := range s.routers {
		// Links deliver messages in order.
		s.deliverLater(now, 20*time.Millisecond, func(at time.Time) { router.HandleUpdate(at, snapshot.ReceivedRecords(now)) })
	}
}

// play runs the whole simulation: callers send different requests, some of them the same one
// repeatedly; workers crash at random, single ones and whole racks; harmful requests are repeated.
func (s *simulation) play(harmful int) {
	pollers := make([]Fingerprint, 40)
	for index := range pollers {
		pollers[index] = Fingerprint{1, byte(index)}
	}
	for index := range harmful {
		s.harmful[Fingerprint{2, byte(index)}] = true
	}
	for now := start; now.Before(start.Add(simDuration)); now = now.Add(simStep) {
		s.step(now)
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			s.exchange(now)
		}
		for range 2 { // 200 requests per second, a third of them repeated ones
			request := Fingerprint{3, byte(s.requests), byte(s.requests >> 8), byte(s.requests >> 16)}
			if s.random.IntN(3) == 0 {
				request = pollers[s.random.IntN(len(pollers))]
			}
			s.sendInnocent(now, request)
		}
		if now.Sub(start)%(50*time.Millisecond) == 0 {
			s.sendInnocent(now, Fingerprint{4, byte(s.random.IntN(ownerPollers))})
		}
		s.randomCrashes(now)
		for request := range s.harmful {
			s.sendHarmful(now, request)
		}
	}
}

// sendInnocent sends an innocent request.
func (s *simulation) sendInnocent(now time.Time, request Fingerprint) {
	s.requests++
	router := s.routers[s.random.IntN(len(s.routers))]
	if router.Standing(CallerRequest{Request: request}) == Suspect {
		s.sentAsSuspects++
	}
	if s.send(now, router, request) {
		s.rejected++
	}
}

// randomCrashes crashes workers at random, one every 5 s on average, and whole racks, one every
// 40 s.
func (s *simulation) randomCrashes(now time.Time) {
	if s.random.IntN(500) == 0 {
		s.crash(now, s.workers[s.random.IntN(len(s.workers))])
		s.otherCrashes++
	}
	if s.random.IntN(4000) == 0 {
		rack := s.random.IntN(simRacks)
		for _, worker := range s.workers {
			if worker.rack == rack {
				s.crash(now, worker)
				s.otherCrashes++
			}
		}
	}
}

// sendHarmful sends a harmful request about every 3 s: through one router, or through two at once.
func (s *simulation) sendHarmful(now time.Time, request Fingerprint) {
	period := 3*time.Second + time.Duration(request[1])*170*time.Millisecond
	if now.Sub(start).Truncate(simStep)%period.Truncate(simStep) != 0 {
		return
	}
	for range 1 + int(request[1])%2 {
		s.send(now, s.routers[s.random.IntN(len(s.routers))], request)
	}
}

// simulations is the number of simulations; it is limited so that they take a few seconds with the
// race detector.
const simulations = 10

// In simulations of five minutes, in each of which some 60 workers crash at random and 45 with their
// racks, no innocent request is rejected, and no harmful one is sent more than three times after all
// routers must know the quarantine.
func TestNoFalsePositivesOrLateSends(t *testing.T) {
	requests, rejected, suspects, harmful, late, crashes := 0, 0, 0, 0, 0, 0
	for seed := range uint64(simulations) {
		s := newSimulation(seed)
		s.play(int(seed % 5))
		requests, rejected, suspects, crashes = requests+s.requests, rejected+s.rejected, suspects+s.sentAsSuspects, crashes+s.otherCrashes
		for request := range s.harmful {
			harmful++
			late = max(late, s.lateSends[request])
			assert.Assert(t, s.lateSends[request] <= maxLateSends, "seed %d: %d sends after all routers must know", seed, s.lateSends[request])
		}
	}
	t.Logf("%d innocent requests, %d rejected, %d sent as suspects; %d harmful ones, at most %d late sends; %d other crashes",
		requests, rejected, suspects, harmful, late, crashes)
	assert.Equal(t, rejected, 0)
}
