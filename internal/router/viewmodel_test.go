package router

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// A randomized model of a router's view of one worker, over the worker's restarts, disconnections
// of the router from the service and from its leader, outages of the service, and changes of the
// leader. Two routers run their real code in virtual time, each with its own connection to one
// service; the second one leads at times and sends updates to the first. Each seed is one order of
// events.

const (
	modelSeeds  = 1000
	modelLength = 24 * time.Second
	// modelStep does not divide any duration in the code, so that no two events coincide.
	modelStep = 47*time.Millisecond + 3*time.Microsecond
	// entryLifetime is how long after the last renewal entries expire.
	entryLifetime = 3900 * time.Millisecond
	// entryReturn is how long after an outage expired entries come back. The router must wait for
	// them.
	entryReturn = 1700 * time.Millisecond
)

// viewModel is one order of events in progress.
type viewModel struct {
	// mu is held except while time passes.
	mu          sync.Mutex
	t           *testing.T
	store       *cutStore
	router      *Router
	routerStore *cutStore
	// leader is the other router. leads is whether it leads, leaderLinked whether it reaches the
	// first router, and ledSince since when it leads.
	leader       *Router
	leaderStore  *cutStore
	leads        bool
	leaderLinked bool
	ledSince     time.Time
	// changes are those of the worker's entry, from which the leader's updates are made.
	changes []peerlink.WorkerChange
	// lastCut is when the first router's connection to the service was last cut or restored;
	// lastDown is the same for the service itself.
	lastCut, lastDown time.Time
	cut, leaderIsCut  bool
	storeDown         bool
	// leaderReached is when the leader's lease was last renewed.
	leaderReached time.Time
	// lastUninformed is the last time at which no process could inform the first router that a
	// worker is back.
	lastUninformed time.Time
	// leftAt is when the service acknowledged that the worker leaves; zero if it does not.
	leftAt time.Time
	// expired is whether the entry expired in an outage of the service.
	expired bool
	// startTime identifies the incarnation of the worker.
	startTime workers.StartTime
}

func newViewModel(t *testing.T) *viewModel {
	m := &viewModel{t: t, leads: true, leaderLinked: true, ledSince: time.Now()}
	m.router, m.routerStore = newCutOffRouter(t)
	m.leader = newTestRouter(t)
	m.leaderStore = &cutStore{Store: m.routerStore.Store}
	m.leader.adapter.Store, m.leader.adapter.WorkersPrefix = m.leaderStore, "w/"
	go m.leader.followPrefix(t.Context(), "w/", m.leader.entriesView, m.leader.entries)
	m.store = &cutStore{Store: m.routerStore.Store}
	m.startTime = 100
	m.announce(workers.StateReady)
	return m
}

// announce writes the worker's entry.
func (m *viewModel) announce(state workers.State) {
	at, err := m.store.Commit(m.t.Context(), coord.Txn{Puts: []coord.Put{{Key: "w/a", Value: fmt.Appendf(nil, "%s %d", state, m.startTime)}}})
	assert.NilError(m.t, err)
	worker := workers.Worker{ID: "a", Service: "s", State: state, StartTime: m.startTime}
	m.changes = append(m.changes, peerlink.NewWorkerChange(at, worker))
}

// remove removes the worker's entry.
func (m *viewModel) remove() {
	at := remove(m.t, m.store, "w/a")
	m.changes = append(m.changes, peerlink.WorkerChange{Revision: at, ID: "a", Gone: true})
}

// After these times without an answer, a leader reports that the service is unreachable. The
// figures are those of internal/keeper.
const (
	leaseSilenceLimit = 1100 * time.Millisecond
	readSilenceLimit  = 2200 * time.Millisecond
)

// sendUpdate delivers an update from the leader, as its hub would.
func (m *viewModel) sendUpdate() {
	if !m.storeDown && !m.leaderIsCut {
		m.leaderReached = time.Now()
	}
	if !m.leads || !m.leaderLinked {
		return
	}
	readState := m.leader.readState()
	unreachable := time.Since(clock.FromNanos(m.leader.entries.syncedAt.Load())) > readSilenceLimit || time.Since(m.leaderReached) > leaseSilenceLimit
	readState.Settled = !unreachable && readState.SettleMillis == 0 && time.Since(m.ledSince) >= workers.SettleTime
	update := peerlink.Update{Leading: true, StoreUnreachable: unreachable, ReadState: readState}
	from, to := m.router.entriesView.revision(), m.leader.entriesView.revision()
	if from < to {
		update.Entries = &peerlink.EntryChanges{From: from, To: to}
		for _, change := range m.changes {
			if change.Revision > from && change.Revision <= to {
				update.Entries.Changes = append(update.Entries.Changes, change)
			}
		}
	}
	m.router.handleUpdate(update)
}

// event is an action at a time.
type event struct {
	at time.Duration
	do func()
}

// drawSteps draws an order of events. The first router is disconnected for a while; meanwhile the
// leader is disconnected too, is lost, is unreachable from the first router, or keeps leading. The
// worker may leave around that time, and the service may have an outage.
func (m *viewModel) drawSteps(random *rand.Rand) []event {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	from, length := between(time.Second, 6*time.Second), between(time.Second, 11*time.Second)
	end := from + length
	steps := []event{{from, func() { m.setCut(true) }}, {end, func() { m.setCut(false) }}}
	disturb := []func(active bool){m.setLeaderLost, m.setUnlinked, m.setLeaderCut, func(bool) {}}[random.IntN(4)]
	steps = append(steps, event{from + between(-time.Second, time.Second), func() { disturb(true) }},
		event{end + between(-time.Second, 4*time.Second), func() { disturb(false) }})
	if random.IntN(4) > 0 {
		announced := random.IntN(3) == 0
		steps = append(steps, event{between(from-time.Second, end+3*time.Second), func() { m.leave(announced) }})
	}
	if random.IntN(3) == 0 {
		start := between(0, 12*time.Second)
		steps = append(steps, event{start, func() { m.setStoreDown(true) }}, event{start + between(time.Second, 7*time.Second), func() { m.setStoreDown(false) }})
	}
	return append(steps, m.drawRestarts(random)...)
}

// drawRestarts draws when the worker restarts under its ID, whether or not it has left.
func (m *viewModel) drawRestarts(random *rand.Rand) []event {
	var steps []event
	for range random.IntN(3) {
		at := time.Duration(random.Int64N(int64(18 * time.Second)))
		steps = append(steps, event{at, m.restart})
	}
	return steps
}

// restart starts another incarnation of the worker, whose clock may have stepped back. A notice of
// leaving belongs to the previous incarnation.
func (m *viewModel) restart() {
	if m.expired || m.storeDown || time.Since(m.lastDown) < catchUpTime {
		return
	}
	m.startTime -= 7
	m.announce(workers.StateReady)
	if !m.leftAt.IsZero() {
		m.leftAt = time.Time{}
		m.lastUninformed = time.Now() // its return takes as long to arrive
	}
}

// setLeaderLost ends or restores the leader's leadership.
func (m *viewModel) setLeaderLost(lost bool) {
	m.leads = !lost
	m.ledSince = time.Now()
}

// setUnlinked cuts the leader off from the first router, and setLeaderCut from the service.
func (m *viewModel) setUnlinked(unlinked bool) { m.leaderLinked = !unlinked }

func (m *viewModel) setLeaderCut(cut bool) {
	m.leaderIsCut = cut
	m.leaderStore.setRouterCut(cut || m.storeDown)
}

func (m *viewModel) setCut(cut bool) {
	m.cut, m.lastCut = cut, time.Now()
	m.routerStore.setRouterCut(cut || m.storeDown)
}

// setStoreDown starts or ends an outage of the service. In a long one the worker's entry expires;
// it comes back soon after.
func (m *viewModel) setStoreDown(down bool) {
	m.storeDown = down
	wasLong := !down && time.Since(m.lastDown) > entryLifetime
	m.lastDown = time.Now()
	m.routerStore.setRouterCut(down || m.cut)
	m.leaderStore.setRouterCut(down || m.leaderIsCut)
	if !wasLong || !m.leftAt.IsZero() {
		return
	}
	m.remove()
	m.expired = true
	time.AfterFunc(entryReturn, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.announce(workers.StateReady)
		m.expired = false
	})
}

// leave lets the worker leave, unless the service is or recently was disturbed: the time from which
// the departure counts would then be unknown.
func (m *viewModel) leave(announced bool) {
	if !m.leftAt.IsZero() || m.expired || m.storeDown || time.Since(m.lastDown) < catchUpTime {
		return
	}
	if announced {
		m.announce(workers.StateDraining)
	} else {
		m.remove()
	}
	m.leftAt = time.Now()
}

// check returns an error if the first router's current view is wrong.
func (m *viewModel) check() error {
	isUsed := usable(m.router) > 0
	uninformedByOutage := m.storeDown && (m.expired || m.router.workers.KeptCount() > 0 || !isUsed)
	if uninformedByOutage || m.cut && !(m.leads && m.leaderLinked && !m.leaderIsCut) {
		m.lastUninformed = time.Now()
	}
	inTouch := !m.cut && !m.storeDown && time.Since(m.lastCut) >= catchUpTime && time.Since(m.lastDown) >= catchUpTime
	switch {
	case isUsed && inTouch && !m.leftAt.IsZero() && time.Since(m.leftAt) >= drainTime:
		return fmt.Errorf("requests go to a worker that left %v ago", time.Since(m.leftAt))
	case inTouch && m.router.workers.DrainingFor("a") > 0 && m.leftAt.IsZero() && time.Since(m.lastUninformed) >= catchUpTime:
		return fmt.Errorf("another incarnation of the worker counts as leaving")
	case !isUsed && m.leftAt.IsZero() && time.Since(m.lastUninformed) >= catchUpTime:
		return fmt.Errorf("no requests go to a live worker")
	}
	return nil
}

// setRouterCut cuts one router off from a service that others reach. Pending watches are lost.
func (s *cutStore) setRouterCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	if cut {
		close(s.lostCalls())
		s.lost = nil
	}
}

func TestWorkerViewIsCorrectInAnyEventOrder(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSeed(t, seed) })
		})
	}
}

// playSeed plays the order of events of one seed.
func playSeed(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	m := newViewModel(t)
	elapse(5 * time.Second)
	steps := m.drawSteps(random)
	began := time.Now()
	for time.Since(began) < modelLength+5*time.Second {
		m.mu.Lock()
		for index, step := range steps {
			if step.do != nil && time.Since(began) >= step.at {
				step.do()
				steps[index].do = nil
			}
		}
		m.sendUpdate()
		m.mu.Unlock()
		elapse(modelStep)
		m.mu.Lock()
		err := m.check()
		m.mu.Unlock()
		assert.NilError(t, err, "%v after the start", time.Since(began))
	}
}
