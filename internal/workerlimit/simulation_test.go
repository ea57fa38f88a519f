package workerlimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Times of a simulation.
const (
	// simulationLength bounds the length of a simulation.
	simulationLength = 40 * time.Second
	// propagationTime is the time within which all routers must know what one of them has observed.
	propagationTime = 3 * time.Second
	// updateInterval and reportInterval are the intervals of a leader's updates and of the other
	// routers' reports.
	updateInterval = 350 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	// permitTimeout bounds the wait for the answer to a permit request.
	permitTimeout = 250 * time.Millisecond
	// leaseTime is how long an isolated leader keeps its authority.
	leaseTime = 2 * time.Second
	// workTime is how long a worker processes a request.
	workTime = 60 * time.Millisecond
)

// event is a scheduled action; number orders events of the same time.
type event struct {
	at     time.Time
	number int
	do     func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].number < s[j].number
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(event)) }
func (s *eventQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// simulation simulates, in virtual time, routers with one worker that announces limits. Routers
// restart and are isolated from each other, and leaders change.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	queue     eventQueue
	scheduled int
	routers   []*simRouter
	worker    simWorker
	// leader holds the lease; nil while no router does.
	leader *simRouter
	// requested and granted count the requests.
	requested, granted int
	perSecond          float64
}

// simRouter is a simulated router.
type simRouter struct {
	limiter *Limiter
	// following is the router that this one takes for the leader.
	following *simRouter
	// version is the one up to which it was sent the facts of the router that it follows.
	version uint64
	// partition is the network partition: a router reaches those of the same one.
	partition int
	// authorityUntil is when its exclusive leadership ends.
	authorityUntil time.Time
	leading        bool
	// exemptUntil is the time until which its requests don't count as violations.
	exemptUntil time.Time
	pacedUntil  time.Time
}

// simWorker is a simulated worker that announces limits.
type simWorker struct {
	life      workers.Life
	perSecond float64
	limited   bool
	// limits are those that it has announced.
	limits   []namedLimit
	arrivals []arrival
}

// namedLimit is a limit announced between from and to; since is when the uninterrupted series of
// limits began that it is part of.
type namedLimit struct {
	perSecond       float64
	since, from, to time.Time
}

type arrival struct {
	at     time.Time
	exempt bool
}

func newSimulation(seed uint64, routers int, perSecond float64) *simulation {
	w := &simulation{now: start, random: rand.New(rand.NewPCG(seed, uint64(routers))), perSecond: perSecond}
	w.worker.life = workers.Life{ID: "w", Born: 1}
	for range routers {
		w.routers = append(w.routers, &simRouter{limiter: NewLimiter()})
	}
	w.elect()
	for _, one := range w.routers {
		w.every(reportInterval, func() { w.report(one) })
	}
	w.every(updateInterval, w.sendUpdates)
	w.nextRequest()
	return w
}

// after schedules an action.
func (w *simulation) after(wait time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.queue, event{at: w.now.Add(wait), number: w.scheduled, do: do})
}

// every schedules a recurring action at random intervals of up to interval.
func (w *simulation) every(interval time.Duration, do func()) {
	w.after(time.Duration(w.random.Int64N(int64(interval)))+1, func() {
		do()
		w.every(interval, do)
	})
}

// run runs the simulation for a time.
func (w *simulation) run(length time.Duration) {
	for end := w.now.Add(length); w.queue.Len() > 0 && w.queue[0].at.Before(end); {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
}

// latency returns the random latency of a message.
func (w *simulation) latency() time.Duration {
	return time.Duration(1+w.random.IntN(30)) * time.Millisecond
}

// reaches reports whether two routers reach each other.
func (w *simulation) reaches(a, b *simRouter) bool { return a.partition == b.partition }

// elect gives the lease to a router that reaches the store, once the previous lease has ended.
func (w *simulation) elect() {
	var candidates []*simRouter
	for _, one := range w.routers {
		if one.partition == 0 {
			candidates = append(candidates, one)
		}
	}
	if w.leader != nil || len(candidates) == 0 {
		return
	}
	w.leader = candidates[w.random.IntN(len(candidates))]
	w.leader.leading, w.leader.authorityUntil = true, start.Add(simulationLength)
	w.leader.limiter.SetLeading(true)
	for _, one := range candidates {
		w.follow(one, w.leader)
	}
}

// follow makes a router follow another one.
func (w *simulation) follow(one, leader *simRouter) {
	one.following, one.version = leader, 0
	one.limiter.QueueAll()
}

// sendUpdates sends the leaders' new facts to their followers.
func (w *simulation) sendUpdates() {
	for _, one := range w.routers {
		leader := one.following
		if leader == nil || leader == one || !leader.leading || !w.reaches(one, leader) {
			continue
		}
		facts, upTo := leader.limiter.Table().Since(one.version, 8)
		one.version = upTo
		w.after(w.latency(), func() {
			for _, fact := range facts {
				one.limiter.ApplyUpdate(fact)
			}
		})
	}
}

// report sends a router's new facts to its leader.
func (w *simulation) report(one *simRouter) {
	leader := one.following
	if leader == nil || leader == one || !w.reaches(one, leader) {
		return
	}
	facts := one.limiter.TakeReport(8)
	w.after(w.latency(), func() {
		for _, fact := range facts {
			leader.limiter.Add(fact)
		}
	})
}

// nextRequest schedules the callers' requests.
func (w *simulation) nextRequest() {
	w.after(time.Duration(w.random.ExpFloat64()/w.perSecond*float64(time.Second)), func() {
		w.request(w.routers[w.random.IntN(len(w.routers))])
		w.nextRequest()
	})
}

// request handles a caller's request at a router: it is sent at once while no limit is known, else once
// the leader grants a permit.
func (w *simulation) request(at *simRouter) {
	w.requested++
	fact, known := at.limiter.Table().Fact(w.worker.life)
	if !known || fact.Ended {
		w.send(at)
		return
	}
	if w.now.Before(at.pacedUntil) {
		return
	}
	leader := at.following
	if leader == nil || !w.reaches(at, leader) {
		at.pacedUntil = w.now.Add(100 * time.Millisecond)
		return
	}
	sent := w.now
	requestLatency, answerLatency := w.latency(), w.latency()
	if leader == at {
		requestLatency, answerLatency = 0, 0
	}
	w.after(requestLatency, func() {
		permit, leading := leader.limiter.Issue(w.now, fact, 0, !w.now.Before(leader.authorityUntil))
		w.after(answerLatency, func() { w.handlePermit(at, permit, leading && w.now.Sub(sent) < permitTimeout) })
	})
}

// handlePermit handles a leader's answer.
func (w *simulation) handlePermit(at *simRouter, permit Permit, answered bool) {
	switch {
	case !answered:
		at.pacedUntil = w.now.Add(100 * time.Millisecond)
	case !permit.Granted:
		at.pacedUntil = w.now.Add(permit.Wait)
	default:
		if permit.LimitEnded != nil {
			at.limiter.ApplyUpdate(*permit.LimitEnded)
		}
		w.granted++
		w.send(at)
	}
}

// send sends a request to the worker and handles its response.
func (w *simulation) send(at *simRouter) {
	sent := w.now
	w.after(w.latency(), func() {
		w.worker.arrivals = append(w.worker.arrivals, arrival{at: w.now, exempt: w.now.Before(at.exemptUntil)})
		life := w.worker.life
		w.after(workTime, func() {
			limited, perSecond := w.worker.limited, w.worker.perSecond
			w.after(w.latency(), func() {
				if limited {
					at.limiter.Add(Fact{Worker: life, Rate: perSecond, At: w.now})
				} else if _, known := at.limiter.Table().Rate(life); known {
					at.limiter.Add(Fact{Worker: life, Ended: true, At: sent})
				}
			})
		})
	})
}

// setLimit makes the worker announce a limit, or none.
func (w *simulation) setLimit(perSecond float64, limited bool) {
	since := w.now
	if count := len(w.worker.limits); count > 0 && w.worker.limits[count-1].to.IsZero() {
		w.worker.limits[count-1].to, since = w.now, w.worker.limits[count-1].since
	}
	w.worker.perSecond, w.worker.limited = perSecond, limited
	if limited {
		w.worker.limits = append(w.worker.limits, namedLimit{perSecond: perSecond, since: since, from: w.now})
	}
}

// loseLeader restarts the leader's process; another leader is elected after a while.
func (w *simulation) loseLeader() {
	if w.leader != nil {
		w.restart(w.leader)
	}
}

// restart restarts a router, which knows nothing until it follows a leader.
func (w *simulation) restart(one *simRouter) {
	if one == w.leader {
		w.leader = nil
		w.after(time.Duration(300+w.random.IntN(2000))*time.Millisecond, w.elect)
	}
	*one = simRouter{limiter: NewLimiter(), partition: one.partition, exemptUntil: w.now.Add(propagationTime)}
	if w.leader != nil && w.leader != one && w.reaches(one, w.leader) {
		w.follow(one, w.leader)
		for _, fact := range w.leader.limiter.Table().Facts() { // received before the router is ready
			one.limiter.ApplyUpdate(fact)
		}
	}
}

// isolate cuts some routers off from the others for a time. If the leader is one of them, another one
// is elected after the lease ends.
func (w *simulation) isolate(count int, length time.Duration) {
	var isolated []*simRouter
	for _, index := range w.random.Perm(len(w.routers))[:count] {
		one := w.routers[index]
		if one.partition == 0 {
			one.partition = 1
			isolated = append(isolated, one)
		}
	}
	if leader := w.leader; leader != nil && leader.partition == 1 {
		leader.authorityUntil = w.now.Add(leaseTime)
		w.after(leaseTime, func() {
			w.leader = nil
			w.elect()
		})
	}
	w.after(length, func() {
		for _, one := range isolated {
			one.partition, one.exemptUntil = 0, w.now.Add(propagationTime)
			if one.leading && one != w.leader {
				one.leading = false
				one.limiter.SetLeading(false)
			}
			if w.leader != nil {
				w.follow(one, w.leader)
			}
		}
	})
	for _, one := range isolated {
		one.exemptUntil = w.now.Add(length + propagationTime)
	}
}

// violations returns the limits that were exceeded within a window.
func (w *simulation) violations() []string {
	var violations []string
	for _, limit := range w.worker.limits {
		var within []time.Time
		for _, one := range w.worker.arrivals {
			ended := !limit.to.IsZero() && one.at.After(limit.to)
			applies := one.at.After(limit.since.Add(propagationTime)) && one.at.After(limit.from.Add(time.Second/2))
			if applies && !ended && !one.exempt {
				within = append(within, one.at)
			}
		}
		if count := maxWithin(within); float64(count) > maxArrivals(limit.perSecond) {
			violations = append(violations, fmt.Sprintf("%d requests within %s at a limit of %g per second", count, window, limit.perSecond))
		}
	}
	return violations
}
