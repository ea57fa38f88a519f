package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// world plays routers and leaders in virtual time. Messages are lost, late and out of order;
// what may run is recorded.
type world struct {
	t       rapid.TB
	now     time.Time
	bound   Bound
	tenant  *routing.Tenant
	routers []*testRouter
	leaders []*testLeader
	// taken are the requests that were granted.
	taken []taken
	queue []envelope
	// leftover is the share that the last claim tells, which lapses at reserved, and busy are the
	// tenants that are marked; all lie in the store.
	leftover UnreportedShares
	reserved time.Time
	busy     map[routing.TenantName]bool
	// members are the stored ones; nil where none are, as they are not while unrecorded.
	members    Members
	unrecorded bool
	// away says that the store does not answer.
	away bool
	// paced lets routers report as often as they do in earnest.
	paced bool
	// messages counts what was sent, and bytes how much that was.
	messages, bytes int
}

// taken is a request that was granted at a time.
type taken struct {
	by *Holder
	at time.Time
}

// testRouter is one router; leader is the place of the one that it follows.
type testRouter struct {
	node   string
	holder *Holder
	tenant *routing.Tenant
	lives  int64
	leader int
	cut    bool
	// frozen is until when nothing happens there, as if the machine were suspended.
	frozen   time.Time
	reported time.Time
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
	told   *Report
	grant  Grant
}

const (
	worldWindow = 5 * time.Second
	authority   = 1500 * time.Millisecond
	// regularReport is the pause between reports of a router with 27 others at its relay.
	regularReport = 260 * time.Millisecond
)

func newWorld(t rapid.TB, routers int, tenant *routing.Tenant) *world {
	return newWorldOf(t, routers, tenant, false)
}

// newWorldOf returns a world in which members may not be stored.
func newWorldOf(t rapid.TB, routers int, tenant *routing.Tenant, unrecorded bool) *world {
	w := &world{unrecorded: unrecorded, t: t, now: time.Unix(1000, 0), bound: Bound{Window: worldWindow, Overshoot: 0.1, Slack: 20}, tenant: tenant, busy: map[routing.TenantName]bool{}}
	w.elect()
	for range routers {
		w.add()
	}
	return w
}

// add lets a router join that never was there.
func (w *world) add() {
	r := &testRouter{node: fmt.Sprintf("r%d", len(w.routers)), tenant: w.tenant}
	w.routers = append(w.routers, r)
	w.start(r)
}

// start begins a life of a router.
func (w *world) start(r *testRouter) {
	r.lives++
	r.holder = NewHolder(w.now, r.node, r.lives, w.bound)
	r.tenant, r.leader = w.tenant, len(w.leaders)-1
	r.frozen = time.Time{}
	r.holder.SetTenants(tenants(r.tenant))
}

func tenants(tenant *routing.Tenant) map[routing.TenantName]*routing.Tenant {
	return map[routing.TenantName]*routing.Tenant{tenant.Name: tenant}
}

// elect lets another leader begin, once the authority of the one before has ended.
func (w *world) elect() {
	if w.away {
		return
	}
	if last := w.leader(); last != nil {
		if !last.killed && w.now.Before(last.authority) {
			return
		}
		last.lost = true
	}
	term := owner.Term(len(w.leaders) + 1)
	l := &testLeader{coordinator: NewCoordinator(w.now, term, term == 1, w.bound), authority: w.now.Add(authority)}
	l.coordinator.SetTenants(w.now, tenants(w.tenant))
	if !w.unrecorded {
		l.coordinator.AwaitMembers()
		l.coordinator.MembersLoaded(maps.Clone(w.members))
	}
	l.coordinator.MarkBusy(slices.Sorted(maps.Keys(w.busy))...)
	w.leaders = append(w.leaders, l)
}

func (w *world) leader() *testLeader {
	if len(w.leaders) == 0 {
		return nil
	}
	return w.leaders[len(w.leaders)-1]
}

// send puts a message under way.
func (w *world) send(e envelope, delay time.Duration) {
	e.at = w.now.Add(delay)
	if w.paced {
		w.count(e)
	}
	w.queue = append(w.queue, e)
}

// count counts a message.
func (w *world) count(e envelope) {
	encoded, err := json.Marshal(e.grant)
	if e.told != nil {
		encoded, err = json.Marshal(e.told)
	}
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.messages++
	w.bytes += len(encoded)
}

// step lets time pass: what is due arrives, routers report and leaders act.
func (w *world) step(d time.Duration, delay func() time.Duration) {
	w.now = w.now.Add(d)
	for index, l := range w.leaders {
		if l.killed || w.now.Before(l.frozen) {
			continue
		}
		if !l.lost && !w.away && index == len(w.leaders)-1 && w.now.Before(l.authority) {
			l.authority = w.now.Add(authority)
		}
	}
	w.deliver()
	for _, r := range w.routers {
		if w.now.Before(r.frozen) || w.paced && !r.due(w.now) {
			continue
		}
		r.reported = w.now
		if told := r.holder.Report(w.now); told != nil && !r.cut {
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
		if wanted := l.coordinator.TenantsToMark(); index == len(w.leaders)-1 && !l.lost && !w.away {
			w.mark(l, wanted)
			w.unmark(l)
			w.claim(l)
			w.storeMembers(l)
		}
	}
}

// storeMembers stores the routers that a leader is about to give units.
func (w *world) storeMembers(l *testLeader) {
	if fresh := l.coordinator.MembersToStore(w.now); fresh != nil {
		w.members = maps.Clone(fresh)
		l.coordinator.MembersStored(fresh)
	}
}

// unmark takes off the marks of tenants that have cooled down.
func (w *world) unmark(l *testLeader) {
	cooled := l.coordinator.TenantsToUnmark()
	for _, name := range cooled {
		delete(w.busy, name)
	}
	l.coordinator.UnmarkBusy(cooled...)
}

// claim lets a leader deal the reserve, once it has heard the routers.
func (w *world) claim(l *testLeader) {
	if !l.coordinator.ReserveClaimDue(w.now) {
		return
	}
	var before UnreportedShares
	if w.now.Before(w.reserved) {
		before = w.leftover
	}
	w.leftover, w.reserved = l.coordinator.Unreported(before), w.now.Add(w.bound.TakeoverDelay())
	l.coordinator.ReserveClaimed(before)
}

// mark stores which tenants are busy before the leader deals more of them.
func (w *world) mark(l *testLeader, names []routing.TenantName) {
	for _, name := range names {
		w.busy[name] = true
	}
	l.coordinator.MarkBusy(names...)
}

// due reports whether a router reports now: regularly, or since something is urgent.
func (r *testRouter) due(now time.Time) bool {
	if now.Sub(r.reported) >= regularReport {
		return true
	}
	select {
	case <-r.holder.ReportTriggered():
		return true
	default:
		return false
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
				l.coordinator.HandleReport(w.now, *e.told)
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
			r.holder.ApplyGrant(w.now, e.grant)
		}
	}
	return nil
}

// ask lets a caller ask a router; true if the request may run.
func (w *world) ask(r *testRouter) bool {
	if w.now.Before(r.frozen) {
		return true // nobody answers
	}
	granted, _ := r.holder.Take(w.now, r.tenant)
	if granted {
		w.taken = append(w.taken, taken{by: r.holder, at: w.now})
	}
	return granted
}

// inWindow counts what was granted within a window that ends now.
func (w *world) inWindow() int {
	count := 0
	for _, one := range w.taken {
		if w.now.Sub(one.at) < worldWindow {
			count++
		}
	}
	return count
}

// giveBack lets one of the requests that were granted not have run.
func (w *world) giveBack(t *rapid.T) {
	if len(w.taken) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.taken)-1).Draw(t, "returned")
	w.taken[at].by.Return(w.taken[at].at, w.tenant)
	w.taken = append(w.taken[:at], w.taken[at+1:]...)
}
