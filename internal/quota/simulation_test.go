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
type simulation struct {
	t       rapid.TB
	now     time.Time
	bound   Bound
	tenant  *routing.Tenant
	routers []*testRouter
	leaders []*testLeader
	// taken are the requests that were granted.
	granted  []grantedRequest
	inFlight []message
	// leftover is the share that the last claim tells, which lapses at reserved, and busy are the
	// tenants that are marked; all lie in the store.
	unreported  UnreportedShares
	claimExpiry time.Time
	busy        map[routing.TenantName]bool
	// members are the stored ones; nil where none are, as they are not while unrecorded.
	members    Members
	unrecorded bool
	// away says that the store does not answer.
	storeDown bool
	// paced lets routers report as often as they do in earnest.
	pacedReports bool
	// messages counts what was sent, and bytes how much that was.
	messages, bytes int
}

// taken is a request that was granted at a time.
type grantedRequest struct {
	holder *Holder
	at     time.Time
}

// testRouter is one router; leader is the place of the one that it follows.
type testRouter struct {
	node        string
	holder      *Holder
	tenant      *routing.Tenant
	incarnation int64
	leader      int
	partitioned bool
	// frozen is until when nothing happens there, as if the machine were suspended.
	frozenUntil time.Time
	reportedAt  time.Time
}

type testLeader struct {
	coordinator *Coordinator
	// authority lasts until then; lost says that it is not renewed.
	authorityEnd  time.Time
	frozenUntil   time.Time
	authorityLost bool
	killed        bool
}

// envelope is a message under way, to a leader or to a router.
type message struct {
	at     time.Time
	leader int
	report *Report
	grant  Grant
}

const (
	testWindow        = 5 * time.Second
	authorityDuration = 1500 * time.Millisecond
	// reportInterval is the pause between reports of a router with 27 others at its relay.
	reportInterval = 260 * time.Millisecond
)

func newSimulation(t rapid.TB, routers int, tenant *routing.Tenant) *simulation {
	return newSimulationWith(t, routers, tenant, false)
}

// newSimulationWith returns a world in which members may not be stored.
func newSimulationWith(t rapid.TB, routers int, tenant *routing.Tenant, unrecorded bool) *simulation {
	w := &simulation{unrecorded: unrecorded, t: t, now: time.Unix(1000, 0), bound: Bound{Window: testWindow, Overshoot: 0.1, Slack: 20}, tenant: tenant, busy: map[routing.TenantName]bool{}}
	w.elect()
	for range routers {
		w.addRouter()
	}
	return w
}

// add lets a router join that never was there.
func (w *simulation) addRouter() {
	r := &testRouter{node: fmt.Sprintf("r%d", len(w.routers)), tenant: w.tenant}
	w.routers = append(w.routers, r)
	w.startRouter(r)
}

// start begins a life of a router.
func (w *simulation) startRouter(r *testRouter) {
	r.incarnation++
	r.holder = NewHolder(w.now, r.node, r.incarnation, w.bound)
	r.tenant, r.leader = w.tenant, len(w.leaders)-1
	r.frozenUntil = time.Time{}
	r.holder.SetTenants(tenants(r.tenant))
}

func tenants(tenant *routing.Tenant) map[routing.TenantName]*routing.Tenant {
	return map[routing.TenantName]*routing.Tenant{tenant.Name: tenant}
}

// elect lets another leader begin, once the authority of the one before has ended.
func (w *simulation) elect() {
	if w.storeDown {
		return
	}
	if last := w.leader(); last != nil {
		if !last.killed && w.now.Before(last.authorityEnd) {
			return
		}
		last.authorityLost = true
	}
	term := owner.Term(len(w.leaders) + 1)
	l := &testLeader{coordinator: NewCoordinator(w.now, term, term == 1, w.bound), authorityEnd: w.now.Add(authorityDuration)}
	l.coordinator.SetTenants(w.now, tenants(w.tenant))
	if !w.unrecorded {
		l.coordinator.AwaitMembers()
		l.coordinator.MembersLoaded(maps.Clone(w.members))
	}
	l.coordinator.MarkBusy(slices.Sorted(maps.Keys(w.busy))...)
	w.leaders = append(w.leaders, l)
}

func (w *simulation) leader() *testLeader {
	if len(w.leaders) == 0 {
		return nil
	}
	return w.leaders[len(w.leaders)-1]
}

// send puts a message under way.
func (w *simulation) send(e message, delay time.Duration) {
	e.at = w.now.Add(delay)
	if w.pacedReports {
		w.count(e)
	}
	w.inFlight = append(w.inFlight, e)
}

// count counts a message.
func (w *simulation) count(e message) {
	encoded, err := json.Marshal(e.grant)
	if e.report != nil {
		encoded, err = json.Marshal(e.report)
	}
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.messages++
	w.bytes += len(encoded)
}

// step lets time pass: what is due arrives, routers report and leaders act.
func (w *simulation) step(d time.Duration, delay func() time.Duration) {
	w.now = w.now.Add(d)
	for index, l := range w.leaders {
		if l.killed || w.now.Before(l.frozenUntil) {
			continue
		}
		if !l.authorityLost && !w.storeDown && index == len(w.leaders)-1 && w.now.Before(l.authorityEnd) {
			l.authorityEnd = w.now.Add(authorityDuration)
		}
	}
	w.deliver()
	for _, r := range w.routers {
		if w.now.Before(r.frozenUntil) || w.pacedReports && !r.due(w.now) {
			continue
		}
		r.reportedAt = w.now
		if told := r.holder.Report(w.now); told != nil && !r.partitioned {
			w.send(message{leader: r.leader, report: told}, delay())
		}
	}
	for index, l := range w.leaders {
		if l.killed || w.now.Before(l.frozenUntil) {
			continue
		}
		for _, grant := range l.coordinator.Tick(w.now, w.now.Before(l.authorityEnd), len(w.routers)) {
			w.send(message{leader: index, grant: grant}, delay())
		}
		if wanted := l.coordinator.TenantsToMark(); index == len(w.leaders)-1 && !l.authorityLost && !w.storeDown {
			w.mark(l, wanted)
			w.unmark(l)
			w.claim(l)
			w.storeMembers(l)
		}
	}
}

// storeMembers stores the routers that a leader is about to give units.
func (w *simulation) storeMembers(l *testLeader) {
	if fresh := l.coordinator.MembersToStore(w.now); fresh != nil {
		w.members = maps.Clone(fresh)
		l.coordinator.MembersStored(fresh)
	}
}

// unmark takes off the marks of tenants that have cooled down.
func (w *simulation) unmark(l *testLeader) {
	cooled := l.coordinator.TenantsToUnmark()
	for _, name := range cooled {
		delete(w.busy, name)
	}
	l.coordinator.UnmarkBusy(cooled...)
}

// claim lets a leader deal the reserve, once it has heard the routers.
func (w *simulation) claim(l *testLeader) {
	if !l.coordinator.ReserveClaimDue(w.now) {
		return
	}
	var before UnreportedShares
	if w.now.Before(w.claimExpiry) {
		before = w.unreported
	}
	w.unreported, w.claimExpiry = l.coordinator.Unreported(before), w.now.Add(w.bound.TakeoverDelay())
	l.coordinator.ReserveClaimed(before)
}

// mark stores which tenants are busy before the leader deals more of them.
func (w *simulation) mark(l *testLeader, names []routing.TenantName) {
	for _, name := range names {
		w.busy[name] = true
	}
	l.coordinator.MarkBusy(names...)
}

// due reports whether a router reports now: regularly, or since something is urgent.
func (r *testRouter) due(now time.Time) bool {
	if now.Sub(r.reportedAt) >= reportInterval {
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
func (w *simulation) deliver() {
	var rest []message
	for _, e := range w.inFlight {
		switch {
		case w.now.Before(e.at):
			rest = append(rest, e)
		case e.report != nil:
			if l := w.leaders[e.leader]; w.now.Before(l.frozenUntil) {
				rest = append(rest, e)
			} else if !l.killed {
				l.coordinator.HandleReport(w.now, *e.report)
			}
		default:
			rest = append(rest, w.deliverGrant(e)...)
		}
	}
	w.inFlight = rest
}

// bring takes a grant to its router, if that can be reached.
func (w *simulation) deliverGrant(e message) []message {
	for _, r := range w.routers {
		switch {
		case r.node != e.grant.Node || r.partitioned:
		case w.now.Before(r.frozenUntil):
			return []message{e}
		default:
			r.holder.ApplyGrant(w.now, e.grant)
		}
	}
	return nil
}

// ask lets a caller ask a router; true if the request may run.
func (w *simulation) request(r *testRouter) bool {
	if w.now.Before(r.frozenUntil) {
		return true // nobody answers
	}
	granted, _ := r.holder.Take(w.now, r.tenant)
	if granted {
		w.granted = append(w.granted, grantedRequest{holder: r.holder, at: w.now})
	}
	return granted
}

// inWindow counts what was granted within a window that ends now.
func (w *simulation) grantedInWindow() int {
	count := 0
	for _, one := range w.granted {
		if w.now.Sub(one.at) < testWindow {
			count++
		}
	}
	return count
}

// giveBack lets one of the requests that were granted not have run.
func (w *simulation) returnOne(t *rapid.T) {
	if len(w.granted) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.granted)-1).Draw(t, "returned")
	w.granted[at].holder.Return(w.granted[at].at, w.tenant)
	w.granted = append(w.granted[:at], w.granted[at+1:]...)
}
