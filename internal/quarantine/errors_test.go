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

// A world in virtual time counts both errors of the book: innocent requests that are refused, and
// sends of a harmful one once all routers have to know.
const (
	worldRouters = 6
	worldWorkers = 24
	worldRacks   = 4
	worldFor     = 5 * time.Minute
	worldStep    = 10 * time.Millisecond
	// knownAfter is when routers have to know, and sendsAllowed how many sends may follow: the
	// users' bounds.
	knownAfter   = 3 * time.Second
	sendsAllowed = 3
	// runTime is how long a run lasts, and backAfter how long a worker is away that ended.
	runTime   = 150 * time.Millisecond
	backAfter = 4 * time.Second
	// moveTime is how long the keys of an owner that ended have no other, and ownerPollers ask
	// for them all the time.
	moveTime     = 2 * time.Second
	ownerPollers = 6
)

// world is a set of routers with a leader, and workers that end by chance, by rack, and under
// harmful requests.
type world struct {
	random  *rand.Rand
	routers []*View
	leader  *View
	told    uint64
	workers []*worldWorker
	// messages are on their way, by when they arrive.
	messages []message
	births   int
	// owner holds the keys that the first harmful request and some pollers ask for, from
	// ownsFrom on.
	owner    *worldWorker
	ownsFrom time.Time
	// harmful are the requests that crash workers; crashed counts the workers by request, and
	// thirdAt is when the last one was allowed.
	harmful map[Fingerprint]bool
	crashed map[Fingerprint]int
	thirdAt map[Fingerprint]time.Time
	// late counts the sends of a harmful request after routers had to know.
	late           map[Fingerprint]int
	asked, refused int
	endedOtherwise int
	suspected      int
}

type message struct {
	at      time.Time
	deliver func(now time.Time)
}

type worldWorker struct {
	id    workers.ID
	rack  int
	until time.Time // away until then
	runs  []worldRun
}

type worldRun struct {
	request Fingerprint
	router  *View
	began   time.Time
}

func newWorld(seed uint64) *world { return newWorldOf(seed, worldRouters, worldWorkers, worldRacks) }

// newWorldOf returns a world of so many routers, and workers in racks.
func newWorldOf(seed uint64, routers, workers, racks int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), leader: NewView(), harmful: map[Fingerprint]bool{},
		crashed: map[Fingerprint]int{}, thirdAt: map[Fingerprint]time.Time{}, late: map[Fingerprint]int{},
	}
	for range routers {
		w.routers = append(w.routers, NewView())
	}
	for index := range workers {
		w.workers = append(w.workers, &worldWorker{rack: index % racks})
		w.restart(w.workers[index])
	}
	w.owner = w.workers[0]
	return w
}

func (w *world) restart(worker *worldWorker) {
	w.births++
	worker.id = workers.ID(fmt.Sprintf("w%d", w.births))
}

// later delivers a message after a random time of at most most.
func (w *world) later(now time.Time, most time.Duration, deliver func(time.Time)) {
	w.messages = append(w.messages, message{at: now.Add(time.Duration(w.random.Int64N(int64(most)))), deliver: deliver})
}

// end ends a worker: each router learns of its own sends there within milliseconds, and reports
// them.
func (w *world) end(now time.Time, worker *worldWorker) {
	id := worker.id
	for _, run := range worker.runs {
		w.later(now, 20*time.Millisecond, func(seen time.Time) {
			run.router.RecordCrash(seen, Attempt{Request: run.request}, Crash{Worker: id, At: seen})
		})
	}
	worker.runs, worker.until = nil, now.Add(backAfter)
	if worker == w.owner {
		w.owner, w.ownsFrom = w.workers[w.random.IntN(len(w.workers))], now.Add(moveTime)
	}
	w.restart(worker)
}

// send sends a request through a router to a worker that is up, unless it is quarantined.
func (w *world) send(now time.Time, router *View, request Fingerprint) (refused bool) {
	if router.Standing(CallerRequest{Request: request}) == Quarantined {
		return true
	}
	worker := w.workers[w.random.IntN(len(w.workers))]
	if keyed(request) {
		worker = w.owner
	}
	if now.Before(worker.until) || (keyed(request) && now.Before(w.ownsFrom)) {
		return false // nobody listens
	}
	worker.runs = append(worker.runs, worldRun{request: request, router: router, began: now})
	if !w.harmful[request] {
		return false
	}
	if third := w.thirdAt[request]; !third.IsZero() && now.After(third.Add(knownAfter)) {
		w.late[request]++
	}
	return false
}

// keyed reports whether a request is for the keys of the owner.
func keyed(request Fingerprint) bool {
	return request[0] == 4 || request == Fingerprint{2, 0}
}

// step plays one step of time.
func (w *world) step(now time.Time) {
	due := []message{}
	w.messages = slices.DeleteFunc(w.messages, func(one message) bool {
		if one.at.After(now) {
			return false
		}
		due = append(due, one)
		return true
	})
	for _, one := range due {
		one.deliver(now)
	}
	for _, worker := range w.workers {
		w.run(now, worker)
	}
}

// run ends the runs that are due: a harmful one ends its worker.
func (w *world) run(now time.Time, worker *worldWorker) {
	for _, one := range worker.runs {
		if w.harmful[one.request] && now.Sub(one.began) >= runTime/2 {
			w.crashed[one.request]++
			if w.crashed[one.request] == mostCrashes {
				w.thirdAt[one.request] = now
			}
			w.end(now, worker)
			return
		}
	}
	worker.runs = slices.DeleteFunc(worker.runs, func(one worldRun) bool {
		if now.Sub(one.began) < runTime {
			return false
		}
		if one.router.Standing(CallerRequest{Request: one.request}) != Unsuspected {
			one.router.RecordSuccess(now, CallerRequest{Request: one.request})
		}
		return true
	})
}

// exchange lets routers report and the leader tell.
func (w *world) exchange(now time.Time) {
	for _, router := range w.routers {
		if evidence := router.CollectEvidence(now); evidence != nil {
			w.later(now, 500*time.Millisecond, func(at time.Time) { w.leader.HandleEvidence(at, *evidence) })
		}
	}
	w.leader.Evaluate(now)
	snapshot, version := w.leader.Snapshot(now)
	if version == w.told {
		return
	}
	w.told = version
	for _, router := range w.routers {
		// A link keeps its messages in order.
		w.later(now, 20*time.Millisecond, func(at time.Time) { router.HandleUpdate(at, snapshot.Received(now)) })
	}
}

// play plays the whole time: callers each ask questions of their own, some of them the same
// again and again; workers end by chance, and racks do; harmful requests come again.
func (w *world) play(harmful int) {
	pollers := make([]Fingerprint, 40)
	for index := range pollers {
		pollers[index] = Fingerprint{1, byte(index)}
	}
	for index := range harmful {
		w.harmful[Fingerprint{2, byte(index)}] = true
	}
	for now := start; now.Before(start.Add(worldFor)); now = now.Add(worldStep) {
		w.step(now)
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			w.exchange(now)
		}
		for range 2 { // 200 questions a second, a third of them by callers who repeat theirs
			request := Fingerprint{3, byte(w.asked), byte(w.asked >> 8), byte(w.asked >> 16)}
			if w.random.IntN(3) == 0 {
				request = pollers[w.random.IntN(len(pollers))]
			}
			w.ask(now, request)
		}
		if now.Sub(start)%(50*time.Millisecond) == 0 {
			w.ask(now, Fingerprint{4, byte(w.random.IntN(ownerPollers))})
		}
		w.mishaps(now)
		for request := range w.harmful {
			w.comesAgain(now, request)
		}
	}
}

// ask sends an innocent request.
func (w *world) ask(now time.Time, request Fingerprint) {
	w.asked++
	router := w.routers[w.random.IntN(len(w.routers))]
	if router.Standing(CallerRequest{Request: request}) == Suspect {
		w.suspected++
	}
	if w.send(now, router, request) {
		w.refused++
	}
}

// mishaps ends workers by chance, one every 5 s, and whole racks, one every 40 s.
func (w *world) mishaps(now time.Time) {
	if w.random.IntN(500) == 0 {
		w.end(now, w.workers[w.random.IntN(len(w.workers))])
		w.endedOtherwise++
	}
	if w.random.IntN(4000) == 0 {
		rack := w.random.IntN(worldRacks)
		for _, worker := range w.workers {
			if worker.rack == rack {
				w.end(now, worker)
				w.endedOtherwise++
			}
		}
	}
}

// comesAgain sends a harmful request every 3 s: by one router, or at once by two.
func (w *world) comesAgain(now time.Time, request Fingerprint) {
	period := 3*time.Second + time.Duration(request[1])*170*time.Millisecond
	if now.Sub(start).Truncate(worldStep)%period.Truncate(worldStep) != 0 {
		return
	}
	for range 1 + int(request[1])%2 {
		w.send(now, w.routers[w.random.IntN(len(w.routers))], request)
	}
}

// errorWorlds are few enough for a few seconds beside the race detector.
const errorWorlds = 10

// In worlds of five minutes, in each of which some 60 workers end by chance and 45 by racks, no
// innocent request is refused, and no harmful one is sent more than three times once routers had
// to know.
func TestErrorsOfTheBook(t *testing.T) {
	asked, refused, suspected, harmful, most, ended := 0, 0, 0, 0, 0, 0
	for seed := range uint64(errorWorlds) {
		w := newWorld(seed)
		w.play(int(seed % 5))
		asked, refused, suspected, ended = asked+w.asked, refused+w.refused, suspected+w.suspected, ended+w.endedOtherwise
		for request := range w.harmful {
			harmful++
			most = max(most, w.late[request])
			assert.Assert(t, w.late[request] <= sendsAllowed, "seed %d: %d sends after routers had to know", seed, w.late[request])
		}
	}
	t.Logf("%d innocent requests, %d refused, %d sent as suspects; %d harmful ones, at most %d sends late; %d workers ended otherwise",
		asked, refused, suspected, harmful, most, ended)
	assert.Equal(t, refused, 0)
}
