package workerlimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Times of a world.
const (
	// worldLength is how long it lasts.
	worldLength = 40 * time.Second
	// contact is within how long all routers must know what the first of them has seen.
	contact = 3 * time.Second
	// heartbeatTime and reportTime are the pauses between words of a leader, and of the others.
	heartbeatTime = 350 * time.Millisecond
	reportTime    = 200 * time.Millisecond
	// patienceTime is for how long an answer to a question is waited for.
	patienceTime = 250 * time.Millisecond
	// leaseTime is for how long a leader that is cut off counts on its authority.
	leaseTime = 2 * time.Second
	// workTime is how long a worker works.
	workTime = 60 * time.Millisecond
)

// step is what happens in a world at a time.
type step struct {
	at     time.Time
	number int
	do     func()
}

// steps are a heap.
type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].number < s[j].number
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// world plays routers with one worker that names limits, in virtual time. Routers start, stop and
// are cut off from each other, and leaders come and go.
type world struct {
	now     time.Time
	chance  *rand.Rand
	due     steps
	count   int
	routers []*worldRouter
	worker  worldWorker
	// leader is the one that has the lease; nil while nobody has.
	leader *worldRouter
	// asked and granted count the requests.
	asked, granted int
	perSecond      float64
}

// worldRouter is a router.
type worldRouter struct {
	member *Limiter
	// follows is the router that it takes for the leader.
	follows *worldRouter
	// version is up to which it was told by the router that it follows.
	version uint64
	// part is which routers it reaches: those of the same part.
	part int
	// authority is until when it may lead alone.
	authority time.Time
	leads     bool
	// excusedUntil is until when nothing is held against it.
	excusedUntil time.Time
	pacedUntil   time.Time
}

// worldWorker is a worker that names limits.
type worldWorker struct {
	life      workers.Incarnation
	perSecond float64
	limited   bool
	// lives are the limits that it has named, and since when it named any.
	lives    []worldLimit
	arrivals []worldArrival
}

type worldLimit struct {
	perSecond       float64
	since, from, to time.Time
}

type worldArrival struct {
	at      time.Time
	excused bool
}

func newWorld(seed uint64, routers int, perSecond float64) *world {
	w := &world{now: start, chance: rand.New(rand.NewPCG(seed, uint64(routers))), perSecond: perSecond}
	w.worker.life = workers.Incarnation{ID: "w", StartTime: 1}
	for range routers {
		w.routers = append(w.routers, &worldRouter{member: NewLimiter()})
	}
	w.elect()
	for _, one := range w.routers {
		w.every(reportTime, func() { w.report(one) })
	}
	w.every(heartbeatTime, w.tell)
	w.nextRequest()
	return w
}

// after lets something happen later.
func (w *world) after(wait time.Duration, do func()) {
	w.count++
	heap.Push(&w.due, step{at: w.now.Add(wait), number: w.count, do: do})
}

// every lets something happen again and again.
func (w *world) every(pause time.Duration, do func()) {
	w.after(time.Duration(w.chance.Int64N(int64(pause)))+1, func() {
		do()
		w.every(pause, do)
	})
}

// run plays the world.
func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.due.Len() > 0 && w.due[0].at.Before(end); {
		next := heap.Pop(&w.due).(step)
		w.now = next.at
		next.do()
	}
}

// way is how long a message takes.
func (w *world) way() time.Duration { return time.Duration(1+w.chance.IntN(30)) * time.Millisecond }

// reaches reports whether two routers reach each other.
func (w *world) reaches(a, b *worldRouter) bool { return a.part == b.part }

// elect gives the lease to a router that reaches the store, once the one before has ended.
func (w *world) elect() {
	var reach []*worldRouter
	for _, one := range w.routers {
		if one.part == 0 {
			reach = append(reach, one)
		}
	}
	if w.leader != nil || len(reach) == 0 {
		return
	}
	w.leader = reach[w.chance.IntN(len(reach))]
	w.leader.leads, w.leader.authority = true, start.Add(worldLength)
	w.leader.member.SetLeading(true)
	for _, one := range reach {
		w.follow(one, w.leader)
	}
}

// follow lets a router follow another.
func (w *world) follow(one, leader *worldRouter) {
	one.follows, one.version = leader, 0
	one.member.QueueAll()
}

// tell lets leaders tell what they know.
func (w *world) tell() {
	for _, one := range w.routers {
		leader := one.follows
		if leader == nil || leader == one || !leader.leads || !w.reaches(one, leader) {
			continue
		}
		facts, upTo := leader.member.Table().Since(one.version, 8)
		one.version = upTo
		w.after(w.way(), func() {
			for _, fact := range facts {
				one.member.ApplyUpdate(fact)
			}
		})
	}
}

// report tells the leader what a router has seen.
func (w *world) report(one *worldRouter) {
	leader := one.follows
	if leader == nil || leader == one || !w.reaches(one, leader) {
		return
	}
	facts := one.member.TakeReport(8)
	w.after(w.way(), func() {
		for _, fact := range facts {
			leader.member.Add(fact)
		}
	})
}

// nextRequest lets callers ask.
func (w *world) nextRequest() {
	w.after(time.Duration(w.chance.ExpFloat64()/w.perSecond*float64(time.Second)), func() {
		w.request(w.routers[w.chance.IntN(len(w.routers))])
		w.nextRequest()
	})
}

// request is a caller's, for the worker, at a router.
func (w *world) request(at *worldRouter) {
	w.asked++
	fact, known := at.member.Table().Fact(w.worker.life)
	if !known || fact.Ended {
		w.send(at)
		return
	}
	if w.now.Before(at.pacedUntil) {
		return
	}
	leader := at.follows
	if leader == nil || !w.reaches(at, leader) {
		at.pacedUntil = w.now.Add(100 * time.Millisecond)
		return
	}
	sent := w.now
	there, back := w.way(), w.way()
	if leader == at {
		there, back = 0, 0
	}
	w.after(there, func() {
		permit, leading := leader.member.Issue(w.now, fact, 0, !w.now.Before(leader.authority))
		w.after(back, func() { w.permitted(at, permit, leading && w.now.Sub(sent) < patienceTime) })
	})
}

// permitted takes a leader's answer.
func (w *world) permitted(at *worldRouter, permit Permit, answered bool) {
	switch {
	case !answered:
		at.pacedUntil = w.now.Add(100 * time.Millisecond)
	case !permit.Granted:
		at.pacedUntil = w.now.Add(permit.Wait)
	default:
		if permit.LimitEnded != nil {
			at.member.ApplyUpdate(*permit.LimitEnded)
		}
		w.granted++
		w.send(at)
	}
}

// send sends a request to the worker, which answers.
func (w *world) send(at *worldRouter) {
	sent := w.now
	w.after(w.way(), func() {
		w.worker.arrivals = append(w.worker.arrivals, worldArrival{at: w.now, excused: w.now.Before(at.excusedUntil)})
		life := w.worker.life
		w.after(workTime, func() {
			limited, perSecond := w.worker.limited, w.worker.perSecond
			w.after(w.way(), func() {
				if limited {
					at.member.Add(Fact{Worker: life, Rate: perSecond, At: w.now})
				} else if _, known := at.member.Table().Rate(life); known {
					at.member.Add(Fact{Worker: life, Ended: true, At: sent})
				}
			})
		})
	})
}

// name makes the worker name a limit, or none.
func (w *world) name(perSecond float64, limited bool) {
	since := w.now
	if count := len(w.worker.lives); count > 0 && w.worker.lives[count-1].to.IsZero() {
		w.worker.lives[count-1].to, since = w.now, w.worker.lives[count-1].since
	}
	w.worker.perSecond, w.worker.limited = perSecond, limited
	if limited {
		w.worker.lives = append(w.worker.lives, worldLimit{perSecond: perSecond, since: since, from: w.now})
	}
}

// loseLeader ends the leader's process: another router leads after a while, and it starts anew.
func (w *world) loseLeader() {
	if w.leader != nil {
		w.restart(w.leader)
	}
}

// restart ends a router, which starts again and knows nothing until it follows a leader.
func (w *world) restart(one *worldRouter) {
	if one == w.leader {
		w.leader = nil
		w.after(time.Duration(300+w.chance.IntN(2000))*time.Millisecond, w.elect)
	}
	*one = worldRouter{member: NewLimiter(), part: one.part, excusedUntil: w.now.Add(contact)}
	if w.leader != nil && w.leader != one && w.reaches(one, w.leader) {
		w.follow(one, w.leader)
		for _, fact := range w.leader.member.Table().Facts() { // before it is ready
			one.member.ApplyUpdate(fact)
		}
	}
}

// cut takes some routers apart, with the leader if it is one of them, for a time.
func (w *world) cut(count int, length time.Duration) {
	var apart []*worldRouter
	for _, index := range w.chance.Perm(len(w.routers))[:count] {
		one := w.routers[index]
		if one.part == 0 {
			one.part = 1
			apart = append(apart, one)
		}
	}
	if leader := w.leader; leader != nil && leader.part == 1 {
		leader.authority = w.now.Add(leaseTime)
		w.after(leaseTime, func() {
			w.leader = nil
			w.elect()
		})
	}
	w.after(length, func() {
		for _, one := range apart {
			one.part, one.excusedUntil = 0, w.now.Add(contact)
			if one.leads && one != w.leader {
				one.leads = false
				one.member.SetLeading(false)
			}
			if w.leader != nil {
				w.follow(one, w.leader)
			}
		}
	})
	for _, one := range apart {
		one.excusedUntil = w.now.Add(length + contact)
	}
}

// broken returns the windows in which the worker got more than it takes.
func (w *world) broken() []string {
	var broken []string
	for _, limit := range w.worker.lives {
		var within []time.Time
		for _, one := range w.worker.arrivals {
			over := !limit.to.IsZero() && one.at.After(limit.to)
			binds := one.at.After(limit.since.Add(contact)) && one.at.After(limit.from.Add(time.Second/2))
			if binds && !over && !one.excused {
				within = append(within, one.at)
			}
		}
		if count := mostWithin(within); float64(count) > allowed(limit.perSecond) {
			broken = append(broken, fmt.Sprintf("%d within %s at %g a second", count, window, limit.perSecond))
		}
	}
	return broken
}
