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

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
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
	// idle means that callers send nothing.
	idle bool
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
	incarnation workers.Incarnation
	perSecond   float64
	limited     bool
	// limits are those that it has announced.
	limits   []announcedLimit
	arrivals []arrival
}

// announcedLimit is a limit announced between from and to; since is when the uninterrupted series
// of limits began that it is part of.
type announcedLimit struct {
	perSecond       float64
	since, from, to time.Time
}

type arrival struct {
	at     time.Time
	exempt bool
}

func newSimulation(seed uint64, routers int, perSecond float64) *simulation {
	s := &simulation{now: start, random: rand.New(rand.NewPCG(seed, uint64(routers))), perSecond: perSecond}
	s.worker.incarnation = workers.Incarnation{ID: "w", StartTime: 1}
	for range routers {
		s.routers = append(s.routers, &simRouter{limiter: NewLimiter()})
	}
	s.elect()
	for _, router := range s.routers {
		s.every(reportInterval, func() { s.report(router) })
	}
	s.every(updateInterval, s.sendUpdates)
	s.nextRequest()
	return s
}

// after schedules an action.
func (s *simulation) after(wait time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: s.now.Add(wait), number: s.scheduled, do: do})
}

// every schedules a recurring action at random intervals of up to interval.
func (s *simulation) every(interval time.Duration, do func()) {
	s.after(time.Duration(s.random.Int64N(int64(interval)))+1, func() {
		do()
		s.every(interval, do)
	})
}

// run runs the simulation for a time.
func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.queue.Len() > 0 && s.queue[0].at.Before(end); {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
}

// latency returns the random latency of a message.
func (s *simulation) latency() time.Duration {
	return time.Duration(1+s.random.IntN(30)) * time.Millisecond
}

// reaches reports whether two routers reach each other.
func (s *simulation) reaches(a, b *simRouter) bool { return a.partition == b.partition }

// elect gives the lease to a router that reaches the store, once the previous lease has ended.
func (s *simulation) elect() {
	var candidates []*simRouter
	for _, router := range s.routers {
		if router.partition == 0 {
			candidates = append(candidates, router)
		}
	}
	if s.leader != nil || len(candidates) == 0 {
		return
	}
	s.leader = candidates[s.random.IntN(len(candidates))]
	s.leader.leading, s.leader.authorityUntil = true, start.Add(simulationLength)
	s.leader.limiter.SetLeading(true)
	for _, router := range candidates {
		s.follow(router, s.leader)
	}
}

// follow makes a router follow another one.
func (s *simulation) follow(router, leader *simRouter) {
	router.following, router.version = leader, 0
	router.limiter.QueueAll()
}

// sendUpdates sends the leaders' new facts to their followers.
func (s *simulation) sendUpdates() {
	for _, follower := range s.routers {
		leader := follower.following
		if leader == nil || leader == follower || !leader.leading || !s.reaches(follower, leader) {
			continue
		}
		facts, upTo := leader.limiter.Table().Since(follower.version, 8)
		follower.version = upTo
		s.after(s.latency(), func() {
			for _, fact := range facts {
				follower.limiter.ApplyUpdate(fact)
			}
		})
	}
}

// report sends a router's new facts to its leader.
func (s *simulation) report(router *simRouter) {
	leader := router.following
	if leader == nil || leader == router || !s.reaches(router, leader) {
		return
	}
	facts := router.limiter.TakeReport(8)
	s.after(s.latency(), func() {
		for _, fact := range facts {
			leader.limiter.Add(fact)
		}
	})
}

// nextRequest schedules the callers' requests.
func (s *simulation) nextRequest() {
	s.after(time.Duration(s.random.ExpFloat64()/s.perSecond*float64(time.Second)), func() {
		if !s.idle {
			s.request(s.routers[s.random.IntN(len(s.routers))])
		}
		s.nextRequest()
	})
}

// request handles a caller's request at a router: it is sent at once while no limit is known, else
// once the leader grants a permit.
func (s *simulation) request(router *simRouter) {
	s.requested++
	fact, known := router.limiter.Table().Fact(s.worker.incarnation)
	if !known || fact.Ended {
		s.send(router)
		return
	}
	if s.now.Before(router.pacedUntil) {
		return
	}
	leader := router.following
	if leader == nil || !s.reaches(router, leader) {
		router.pacedUntil = s.now.Add(100 * time.Millisecond)
		return
	}
	sent := s.now
	requestLatency, answerLatency := s.latency(), s.latency()
	if leader == router {
		requestLatency, answerLatency = 0, 0
	}
	s.after(requestLatency, func() {
		permit, leading := leader.limiter.Issue(s.now, fact, 0, !s.now.Before(leader.authorityUntil))
		s.after(answerLatency, func() { s.handlePermit(router, permit, leading && s.now.Sub(sent) < permitTimeout) })
	})
}

// handlePermit handles a leader's answer.
func (s *simulation) handlePermit(router *simRouter, permit Permit, answered bool) {
	switch {
	case !answered:
		router.pacedUntil = s.now.Add(100 * time.Millisecond)
	case !permit.Granted:
		router.pacedUntil = s.now.Add(permit.Wait)
	default:
		if permit.LimitEnded != nil {
			router.limiter.ApplyUpdate(*permit.LimitEnded)
		}
		s.granted++
		s.send(router)
	}
}

// send sends a request to the worker and handles its response.
func (s *simulation) send(router *simRouter) {
	sent := s.now
	s.after(s.latency(), func() {
		s.worker.arrivals = append(s.worker.arrivals, arrival{at: s.now, exempt: s.now.Before(router.exemptUntil)})
		incarnation := s.worker.incarnation
		s.after(workTime, func() {
			limited, perSecond := s.worker.limited, s.worker.perSecond
			s.after(s.latency(), func() {
				if limited {
					router.limiter.Add(Fact{Worker: incarnation, Rate: perSecond, At: s.now})
				} else if _, known := router.limiter.Table().Rate(incarnation); known {
					router.limiter.Add(Fact{Worker: incarnation, Ended: true, At: sent})
				}
			})
		})
	})
}

// setLimit makes the worker announce a limit, or none.
func (s *simulation) setLimit(perSecond float64, limited bool) {
	since := s.now
	if count := len(s.worker.limits); count > 0 && s.worker.limits[count-1].to.IsZero() {
		s.worker.limits[count-1].to, since = s.now, s.worker.limits[count-1].since
	}
	s.worker.perSecond, s.worker.limited = perSecond, limited
	if limited {
		s.worker.limits = append(s.worker.limits, announcedLimit{perSecond: perSecond, since: since, from: s.now})
	}
}

// loseLeader restarts the leader's process; another leader is elected after a while.
func (s *simulation) loseLeader() {
	if s.leader != nil {
		s.restart(s.leader)
	}
}

// restart restarts a router, which knows nothing until it follows a leader.
func (s *simulation) restart(router *simRouter) {
	if router == s.leader {
		s.leader = nil
		s.after(time.Duration(300+s.random.IntN(2000))*time.Millisecond, s.elect)
	}
	*router = simRouter{limiter: NewLimiter(), partition: router.partition, exemptUntil: s.now.Add(propagationTime)}
	if s.leader != nil && s.leader != router && s.reaches(router, s.leader) {
		s.follow(router, s.leader)
		for _, fact := range s.leader.limiter.Table().Facts() { // received before the router is ready
			router.limiter.ApplyUpdate(fact)
		}
	}
}

// isolate cuts some routers off from the others for a time. If the leader is one of them, another
// one is elected after the lease ends.
func (s *simulation) isolate(count int, length time.Duration) {
	var isolated []*simRouter
	for _, index := range s.random.Perm(len(s.routers))[:count] {
		router := s.routers[index]
		if router.partition == 0 {
			router.partition = 1
			isolated = append(isolated, router)
		}
	}
	if leader := s.leader; leader != nil && leader.partition == 1 {
		leader.authorityUntil = s.now.Add(leaseTime)
		s.after(leaseTime, func() {
			s.leader = nil
			s.elect()
		})
	}
	s.after(length, func() {
		for _, router := range isolated {
			router.partition, router.exemptUntil = 0, s.now.Add(propagationTime)
			if router.leading && router != s.leader {
				router.leading = false
				router.limiter.SetLeading(false)
			}
			if s.leader != nil {
				s.follow(router, s.leader)
			}
		}
	})
	for _, router := range isolated {
		router.exemptUntil = s.now.Add(length + propagationTime)
	}
}

// violations returns the limits that were exceeded within a window.
func (s *simulation) violations() []string {
	var violations []string
	for _, limit := range s.worker.limits {
		var within []time.Time
		for _, arrived := range s.worker.arrivals {
			ended := !limit.to.IsZero() && arrived.at.After(limit.to)
			applies := arrived.at.After(limit.since.Add(propagationTime)) && arrived.at.After(limit.from.Add(time.Second/2))
			if applies && !ended && !arrived.exempt {
				within = append(within, arrived.at)
			}
		}
		if count := maxWithin(within); float64(count) > maxArrivals(limit.perSecond) {
			violations = append(violations, fmt.Sprintf("%d requests within %s at a limit of %g per second", count, window, limit.perSecond))
		}
	}
	return violations
}
