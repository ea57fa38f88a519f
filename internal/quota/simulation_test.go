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

// simulation runs routers and leaders in virtual time. Messages are lost, delayed and reordered;
// granted requests are recorded.
type simulation struct {
	t       rapid.TB
	now     time.Time
	bound   Bound
	tenant  *routing.Tenant
	routers []*testRouter
	leaders []*testLeader
	// granted are the requests that were granted and not returned.
	granted  []grantedRequest
	inFlight []message
	// The store holds unreported, the shares of the last claim, which expires at claimExpiry, and
	// busy, the tenants that are marked as busy.
	unreported  UnreportedShares
	claimExpiry time.Time
	busy        map[routing.TenantName]bool
	// members are the stored members; nil if there are none, as is the case while unrecorded.
	members    Members
	unrecorded bool
	// storeDown is true if the store does not answer.
	storeDown bool
	// pacedReports limits routers to their real report interval; otherwise they report in each
	// step.
	pacedReports bool
	// messages and bytes count what was sent.
	messages, bytes int
}

// grantedRequest is a request that was granted at a time.
type grantedRequest struct {
	holder *Holder
	at     time.Time
}

// testRouter is a router; leader is the index of the leader that it follows.
type testRouter struct {
	node        string
	holder      *Holder
	tenant      *routing.Tenant
	startTime   int64
	leader      int
	partitioned bool
	// frozenUntil is the time until which the router does nothing, as if its machine were suspended.
	frozenUntil time.Time
	reportedAt  time.Time
}

type testLeader struct {
	coordinator *Coordinator
	// authorityEnd is when the leader's authority ends; authorityLost is true if it is not renewed.
	authorityEnd  time.Time
	frozenUntil   time.Time
	authorityLost bool
	killed        bool
}

// message is a message in transit: a report to a leader, or a grant to a router.
type message struct {
	at     time.Time
	leader int
	report *Report
	grant  Grant
}

const (
	testWindow        = 5 * time.Second
	authorityDuration = 1500 * time.Millisecond
	// reportInterval is the interval between reports of a router that shares its relay with 27
	// others.
	reportInterval = 260 * time.Millisecond
)

func newSimulation(t rapid.TB, routers int, tenant *routing.Tenant) *simulation {
	return newSimulationWith(t, routers, tenant, false)
}

// newSimulationWith returns a simulation; unrecorded is true if members are not stored.
func newSimulationWith(t rapid.TB, routers int, tenant *routing.Tenant, unrecorded bool) *simulation {
	s := &simulation{unrecorded: unrecorded, t: t, now: time.Unix(1000, 0), bound: Bound{Window: testWindow, Overshoot: 0.1, Slack: 20}, tenant: tenant, busy: map[routing.TenantName]bool{}}
	s.elect()
	for range routers {
		s.addRouter()
	}
	return s
}

// addRouter adds a router that did not exist before.
func (s *simulation) addRouter() {
	r := &testRouter{node: fmt.Sprintf("r%d", len(s.routers)), tenant: s.tenant}
	s.routers = append(s.routers, r)
	s.startRouter(r)
}

// startRouter starts a new incarnation of a router.
func (s *simulation) startRouter(r *testRouter) {
	r.startTime++
	r.holder = NewHolder(s.now, r.node, r.startTime, s.bound)
	r.tenant, r.leader = s.tenant, len(s.leaders)-1
	r.frozenUntil = time.Time{}
	r.holder.SetTenants(tenants(r.tenant))
}

func tenants(tenant *routing.Tenant) map[routing.TenantName]*routing.Tenant {
	return map[routing.TenantName]*routing.Tenant{tenant.Name: tenant}
}

// elect starts another leader if the authority of the previous one has ended or it was killed.
func (s *simulation) elect() {
	if s.storeDown {
		return
	}
	if last := s.leader(); last != nil {
		if !last.killed && s.now.Before(last.authorityEnd) {
			return
		}
		last.authorityLost = true
	}
	term := owner.Term(len(s.leaders) + 1)
	l := &testLeader{coordinator: NewCoordinator(s.now, term, term == 1, s.bound), authorityEnd: s.now.Add(authorityDuration)}
	l.coordinator.SetTenants(s.now, tenants(s.tenant))
	if !s.unrecorded {
		l.coordinator.AwaitMembers()
		l.coordinator.MembersLoaded(maps.Clone(s.members))
	}
	l.coordinator.MarkBusy(slices.Sorted(maps.Keys(s.busy))...)
	s.leaders = append(s.leaders, l)
}

func (s *simulation) leader() *testLeader {
	if len(s.leaders) == 0 {
		return nil
	}
	return s.leaders[len(s.leaders)-1]
}

// send puts a message in transit.
func (s *simulation) send(m message, delay time.Duration) {
	m.at = s.now.Add(delay)
	if s.pacedReports {
		s.count(m)
	}
	s.inFlight = append(s.inFlight, m)
}

// count adds a message to messages and bytes.
func (s *simulation) count(m message) {
	encoded, err := json.Marshal(m.grant)
	if m.report != nil {
		encoded, err = json.Marshal(m.report)
	}
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	s.messages++
	s.bytes += len(encoded)
}

// step advances the time by d: messages that are due arrive, routers report, and leaders act.
func (s *simulation) step(d time.Duration, delay func() time.Duration) {
	s.now = s.now.Add(d)
	for index, l := range s.leaders {
		if l.killed || s.now.Before(l.frozenUntil) {
			continue
		}
		if !l.authorityLost && !s.storeDown && index == len(s.leaders)-1 && s.now.Before(l.authorityEnd) {
			l.authorityEnd = s.now.Add(authorityDuration)
		}
	}
	s.deliver()
	for _, r := range s.routers {
		if s.now.Before(r.frozenUntil) || s.pacedReports && !r.due(s.now) {
			continue
		}
		r.reportedAt = s.now
		if report := r.holder.Report(s.now); report != nil && !r.partitioned {
			s.send(message{leader: r.leader, report: report}, delay())
		}
	}
	for index, l := range s.leaders {
		if l.killed || s.now.Before(l.frozenUntil) {
			continue
		}
		for _, grant := range l.coordinator.Tick(s.now, s.now.Before(l.authorityEnd), len(s.routers)) {
			s.send(message{leader: index, grant: grant}, delay())
		}
		if wanted := l.coordinator.TenantsToMark(); index == len(s.leaders)-1 && !l.authorityLost && !s.storeDown {
			s.mark(l, wanted)
			s.unmark(l)
			s.claim(l)
			s.storeMembers(l)
		}
	}
}

// storeMembers stores the routers that a leader is about to grant units.
func (s *simulation) storeMembers(l *testLeader) {
	if fresh := l.coordinator.MembersToStore(s.now); fresh != nil {
		s.members = maps.Clone(fresh)
		l.coordinator.MembersStored(fresh)
	}
}

// unmark removes the marks of tenants that have cooled down.
func (s *simulation) unmark(l *testLeader) {
	cooled := l.coordinator.TenantsToUnmark()
	for _, name := range cooled {
		delete(s.busy, name)
	}
	l.coordinator.UnmarkBusy(cooled...)
}

// claim claims the reserve for a leader once the routers have had time to report.
func (s *simulation) claim(l *testLeader) {
	if !l.coordinator.ReserveClaimDue(s.now) {
		return
	}
	var before UnreportedShares
	if s.now.Before(s.claimExpiry) {
		before = s.unreported
	}
	s.unreported, s.claimExpiry = l.coordinator.Unreported(before), s.now.Add(s.bound.TakeoverDelay())
	l.coordinator.ReserveClaimed(before)
}

// mark stores which tenants are busy before the leader allocates more of their units.
func (s *simulation) mark(l *testLeader, names []routing.TenantName) {
	for _, name := range names {
		s.busy[name] = true
	}
	l.coordinator.MarkBusy(names...)
}

// due reports whether a router sends a report now: the interval has passed or a report was
// triggered.
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

// deliver delivers the messages that are due. Those to suspended receivers wait, and those to
// killed leaders are dropped.
func (s *simulation) deliver() {
	var waiting []message
	for _, m := range s.inFlight {
		switch {
		case s.now.Before(m.at):
			waiting = append(waiting, m)
		case m.report != nil:
			if l := s.leaders[m.leader]; s.now.Before(l.frozenUntil) {
				waiting = append(waiting, m)
			} else if !l.killed {
				l.coordinator.HandleReport(s.now, *m.report)
			}
		default:
			waiting = append(waiting, s.deliverGrant(m)...)
		}
	}
	s.inFlight = waiting
}

// deliverGrant delivers a grant to its router; it returns the message if the router is suspended,
// and drops it if it is partitioned.
func (s *simulation) deliverGrant(m message) []message {
	for _, r := range s.routers {
		switch {
		case r.node != m.grant.Node || r.partitioned:
		case s.now.Before(r.frozenUntil):
			return []message{m}
		default:
			r.holder.ApplyGrant(s.now, m.grant)
		}
	}
	return nil
}

// request sends a request to a router; true if it may run.
func (s *simulation) request(r *testRouter) bool {
	if s.now.Before(r.frozenUntil) {
		return true // a suspended router does not answer
	}
	granted, _ := r.holder.Acquire(s.now, r.tenant)
	if granted {
		s.granted = append(s.granted, grantedRequest{holder: r.holder, at: s.now})
	}
	return granted
}

// grantedInWindow counts the requests that were granted within the window that ends now.
func (s *simulation) grantedInWindow() int {
	count := 0
	for _, request := range s.granted {
		if s.now.Sub(request.at) < testWindow {
			count++
		}
	}
	return count
}

// returnOne returns the unit of one granted request, as if it had not run.
func (s *simulation) returnOne(t *rapid.T) {
	if len(s.granted) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.granted)-1).Draw(t, "returned")
	s.granted[at].holder.Release(s.granted[at].at, s.tenant)
	s.granted = append(s.granted[:at], s.granted[at+1:]...)
}
