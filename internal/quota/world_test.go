package quota

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// world plays routers and leaders in virtual time. Messages are lost, late and out of order;
// what may run is recorded.
type world struct {
	t       *rapid.T
	now     time.Time
	bound   Bound
	tenant  *routing.Tenant
	routers []*testRouter
	leaders []*testLeader
	// taken are the requests that were granted.
	taken []taken
	queue []envelope
}

// taken is a request that was granted at a time, by the router's clock and by the true one.
type taken struct {
	by          *Holder
	known, when time.Time
}

// testRouter is one router; leader is the place of the one that it follows.
type testRouter struct {
	node   string
	holder *Holder
	tenant *routing.Tenant
	lives  int64
	leader int
	cut    bool
	// frozen is until when nothing happens there, and behind by how much its clock is until
	// catchUp.
	frozen, catchUp time.Time
	behind          time.Duration
}

type testLeader struct {
	coordinator *Coordinator
	// authority lasts until then; lost says that it is not renewed.
	authority time.Time
	frozen    time.Time
	lost      bool
	killed    bool
}

// envelope is a message under way, to a leader or to a router.
type envelope struct {
	at     time.Time
	leader int
	told   *Told
	grant  Grant
}

const (
	worldWindow = 5 * time.Second
	authority   = 1500 * time.Millisecond
)

func newWorld(t *rapid.T, routers int, tenant *routing.Tenant) *world {
	w := &world{t: t, now: time.Unix(1000, 0), bound: Bound{Window: worldWindow, Overshoot: 0.1, Slack: 20}, tenant: tenant}
	w.elect()
	for index := range routers {
		r := &testRouter{node: fmt.Sprintf("r%d", index), tenant: tenant}
		w.routers = append(w.routers, r)
		w.start(r)
	}
	return w
}

// start begins a life of a router.
func (w *world) start(r *testRouter) {
	r.lives++
	r.holder = NewHolder(w.now, r.node, r.lives, w.bound)
	r.tenant, r.leader = w.tenant, len(w.leaders)-1
	r.frozen, r.behind = time.Time{}, 0
	r.holder.Use(tenants(r.tenant))
}

func tenants(tenant *routing.Tenant) map[routing.TenantName]*routing.Tenant {
	return map[routing.TenantName]*routing.Tenant{tenant.Name: tenant}
}

// elect lets another leader begin, once the authority of the one before has ended.
func (w *world) elect() {
	if last := w.leader(); last != nil {
		if !last.killed && w.now.Before(last.authority) {
			return
		}
		last.lost = true
	}
	term := owner.Term(len(w.leaders) + 1)
	l := &testLeader{coordinator: NewCoordinator(w.now, term, term == 1, w.bound), authority: w.now.Add(authority)}
	l.coordinator.Use(w.now, tenants(w.tenant))
	w.leaders = append(w.leaders, l)
}

func (w *world) leader() *testLeader {
	if len(w.leaders) == 0 {
		return nil
	}
	return w.leaders[len(w.leaders)-1]
}

// clock is the time as a router knows it.
func (w *world) clock(r *testRouter) time.Time {
	if r.behind > 0 && !w.now.Before(r.catchUp) {
		r.behind = 0
		r.holder.Woke(w.now)
	}
	return w.now.Add(-r.behind)
}

// send puts a message under way.
func (w *world) send(e envelope, delay time.Duration) {
	e.at = w.now.Add(delay)
	w.queue = append(w.queue, e)
}

// step lets time pass: what is due arrives, routers report and leaders act.
func (w *world) step(d time.Duration, delay func() time.Duration) {
	w.now = w.now.Add(d)
	for index, l := range w.leaders {
		if l.killed || w.now.Before(l.frozen) {
			continue
		}
		if !l.lost && index == len(w.leaders)-1 && w.now.Before(l.authority) {
			l.authority = w.now.Add(authority)
		}
	}
	w.deliver()
	for _, r := range w.routers {
		if w.now.Before(r.frozen) {
			continue
		}
		if told := r.holder.Tell(w.clock(r)); told != nil && !r.cut {
			w.send(envelope{leader: r.leader, told: told}, delay())
		}
	}
	for index, l := range w.leaders {
		if l.killed || w.now.Before(l.frozen) {
			continue
		}
		for _, grant := range l.coordinator.Tick(w.now, w.now.Before(l.authority), len(w.routers)) {
			w.send(envelope{leader: index, grant: grant}, delay())
		}
	}
}

// deliver brings the messages that are due and whose receivers live and run.
func (w *world) deliver() {
	var rest []envelope
	for _, e := range w.queue {
		switch {
		case w.now.Before(e.at):
			rest = append(rest, e)
		case e.told != nil:
			if l := w.leaders[e.leader]; w.now.Before(l.frozen) {
				rest = append(rest, e)
			} else if !l.killed {
				l.coordinator.Hear(w.now, *e.told)
			}
		default:
			rest = append(rest, w.bring(e)...)
		}
	}
	w.queue = rest
}

// bring takes a grant to its router, if that can be reached.
func (w *world) bring(e envelope) []envelope {
	for _, r := range w.routers {
		switch {
		case r.node != e.grant.Node || r.cut:
		case w.now.Before(r.frozen):
			return []envelope{e}
		default:
			r.holder.Granted(e.grant)
		}
	}
	return nil
}

// ask lets a caller ask a router; true if the request may run.
func (w *world) ask(r *testRouter) bool {
	if w.now.Before(r.frozen) {
		return true // nobody answers
	}
	granted, _ := r.holder.Take(w.clock(r), r.tenant)
	if granted {
		w.taken = append(w.taken, taken{by: r.holder, known: w.clock(r), when: w.now})
	}
	return granted
}

// inWindow counts what was granted within a window that ends now.
func (w *world) inWindow() int {
	count := 0
	for _, one := range w.taken {
		if w.now.Sub(one.when) < worldWindow {
			count++
		}
	}
	return count
}

// giveBack lets one of the requests that were granted not have run.
func (w *world) giveBack() {
	if len(w.taken) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.taken)-1).Draw(w.t, "returned")
	w.taken[at].by.Return(w.taken[at].known, w.tenant)
	w.taken = append(w.taken[:at], w.taken[at+1:]...)
}
