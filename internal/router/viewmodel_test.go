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
	// entryLapse is when entries expire that can't be renewed.
	entryLapse = 3900 * time.Millisecond
	// entryReturn is within what time expired entries come back that must be waited for.
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
	// lapsed is whether the entry expired in an outage of the service.
	lapsed bool
	// born is the incarnation of the worker.
	born workers.StartTime
}

func newViewModel(t *testing.T) *viewModel {
	b := &viewModel{t: t, leads: true, leaderLinked: true, ledSince: time.Now()}
	b.router, b.routerStore = newCutOffRouter(t)
	b.leader = newTestRouter(t)
	b.leaderStore = &cutStore{Store: b.routerStore.Store}
	b.leader.adapter.Store, b.leader.adapter.WorkersPrefix = b.leaderStore, "w/"
	go b.leader.followPrefix(t.Context(), "w/", b.leader.entriesView, b.leader.entries)
	b.store = &cutStore{Store: b.routerStore.Store}
	b.born = 100
	b.announce(workers.StateReady)
	return b
}

// announce writes the worker's entry.
func (b *viewModel) announce(state workers.State) {
	at, err := b.store.Commit(b.t.Context(), coord.Txn{Puts: []coord.Put{{Key: "w/a", Value: fmt.Appendf(nil, "%s %d", state, b.born)}}})
	assert.NilError(b.t, err)
	worker := workers.Worker{ID: "a", Service: "s", State: state, StartTime: b.born}
	b.changes = append(b.changes, peerlink.NewWorkerChange(at, worker))
}

// remove removes the worker's entry.
func (b *viewModel) remove() {
	at := remove(b.t, b.store, "w/a")
	b.changes = append(b.changes, peerlink.WorkerChange{Revision: at, ID: "a", Gone: true})
}

// After these times without an answer, a leader reports that the service is unreachable. The
// figures are those of internal/keeper.
const (
	leaseSilenceLimit = 1100 * time.Millisecond
	readSilenceLimit  = 2200 * time.Millisecond
)

// sendUpdate delivers an update from the leader, as its hub would.
func (b *viewModel) sendUpdate() {
	if !b.storeDown && !b.leaderIsCut {
		b.leaderReached = time.Now()
	}
	if !b.leads || !b.leaderLinked {
		return
	}
	readState := b.leader.readState()
	unreachable := time.Since(clock.FromNanos(b.leader.entries.syncedAt.Load())) > readSilenceLimit || time.Since(b.leaderReached) > leaseSilenceLimit
	readState.Settled = !unreachable && readState.SettleMillis == 0 && time.Since(b.ledSince) >= workers.SettleTime
	update := peerlink.Update{Leading: true, StoreUnreachable: unreachable, ReadState: readState}
	from, to := b.router.entriesView.revision(), b.leader.entriesView.revision()
	if from < to {
		update.Entries = &peerlink.EntryChanges{From: from, To: to}
		for _, change := range b.changes {
			if change.Revision > from && change.Revision <= to {
				update.Entries.Changes = append(update.Entries.Changes, change)
			}
		}
	}
	b.router.handleUpdate(update)
}

// event is an action at a time.
type event struct {
	at time.Duration
	do func()
}

// drawSteps draws an order of events. The first router is disconnected for a while; meanwhile the
// leader is disconnected too, is lost, is unreachable from the first router, or keeps leading. The
// worker may leave around that time, and the service may have an outage.
func (b *viewModel) drawSteps(random *rand.Rand) []event {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	from, length := between(time.Second, 6*time.Second), between(time.Second, 11*time.Second)
	end := from + length
	steps := []event{{from, func() { b.setCut(true) }}, {end, func() { b.setCut(false) }}}
	disturb := []func(is bool){b.setLeaderLost, b.setUnlinked, b.setLeaderCut, func(bool) {}}[random.IntN(4)]
	steps = append(steps, event{from + between(-time.Second, time.Second), func() { disturb(true) }},
		event{end + between(-time.Second, 4*time.Second), func() { disturb(false) }})
	if random.IntN(4) > 0 {
		announced := random.IntN(3) == 0
		steps = append(steps, event{between(from-time.Second, end+3*time.Second), func() { b.leave(announced) }})
	}
	if random.IntN(3) == 0 {
		start := between(0, 12*time.Second)
		steps = append(steps, event{start, func() { b.setStoreDown(true) }}, event{start + between(time.Second, 7*time.Second), func() { b.setStoreDown(false) }})
	}
	return append(steps, b.drawRestarts(random)...)
}

// drawRestarts draws when the worker restarts under its ID, whether or not it has left.
func (b *viewModel) drawRestarts(random *rand.Rand) []event {
	var steps []event
	for range random.IntN(3) {
		at := time.Duration(random.Int64N(int64(18 * time.Second)))
		steps = append(steps, event{at, b.restart})
	}
	return steps
}

// restart starts another incarnation of the worker, whose clock may have stepped back. A notice of
// leaving belongs to the previous incarnation.
func (b *viewModel) restart() {
	if b.lapsed || b.storeDown || time.Since(b.lastDown) < catchUpTime {
		return
	}
	b.born -= 7
	b.announce(workers.StateReady)
	if !b.leftAt.IsZero() {
		b.leftAt = time.Time{}
		b.lastUninformed = time.Now() // its return takes as long to arrive
	}
}

// setLeaderLost ends or restores the leader's leadership.
func (b *viewModel) setLeaderLost(is bool) {
	b.leads = !is
	b.ledSince = time.Now()
}

// setUnlinked cuts the leader off from the first router, and setLeaderCut from the service.
func (b *viewModel) setUnlinked(is bool) { b.leaderLinked = !is }

func (b *viewModel) setLeaderCut(is bool) {
	b.leaderIsCut = is
	b.leaderStore.setRouterCut(is || b.storeDown)
}

func (b *viewModel) setCut(cut bool) {
	b.cut, b.lastCut = cut, time.Now()
	b.routerStore.setRouterCut(cut || b.storeDown)
}

// setStoreDown starts or ends an outage of the service. In a long one the worker's entry expires;
// it comes back soon after.
func (b *viewModel) setStoreDown(down bool) {
	b.storeDown = down
	wasLong := !down && time.Since(b.lastDown) > entryLapse
	b.lastDown = time.Now()
	b.routerStore.setRouterCut(down || b.cut)
	b.leaderStore.setRouterCut(down || b.leaderIsCut)
	if !wasLong || !b.leftAt.IsZero() {
		return
	}
	b.remove()
	b.lapsed = true
	time.AfterFunc(entryReturn, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.announce(workers.StateReady)
		b.lapsed = false
	})
}

// leave lets the worker leave, unless the service is or recently was disturbed: the time from which
// the departure counts would then be unknown.
func (b *viewModel) leave(announced bool) {
	if !b.leftAt.IsZero() || b.lapsed || b.storeDown || time.Since(b.lastDown) < catchUpTime {
		return
	}
	if announced {
		b.announce(workers.StateDraining)
	} else {
		b.remove()
	}
	b.leftAt = time.Now()
}

// check returns an error if the first router's current view is wrong.
func (b *viewModel) check() error {
	believed := usable(b.router) > 0
	downMeanwhile := b.storeDown && (b.lapsed || b.router.workers.KeptCount() > 0 || !believed)
	if downMeanwhile || b.cut && !(b.leads && b.leaderLinked && !b.leaderIsCut) {
		b.lastUninformed = time.Now()
	}
	inTouch := !b.cut && !b.storeDown && time.Since(b.lastCut) >= catchUpTime && time.Since(b.lastDown) >= catchUpTime
	switch {
	case believed && inTouch && !b.leftAt.IsZero() && time.Since(b.leftAt) >= drainTime:
		return fmt.Errorf("requests go to a worker that left %v ago", time.Since(b.leftAt))
	case inTouch && b.router.workers.DrainingFor("a") > 0 && b.leftAt.IsZero() && time.Since(b.lastUninformed) >= catchUpTime:
		return fmt.Errorf("another incarnation of the worker counts as leaving")
	case !believed && b.leftAt.IsZero() && time.Since(b.lastUninformed) >= catchUpTime:
		return fmt.Errorf("no requests go to a live worker")
	}
	return nil
}

// setRouterCut cuts one router off from a service that others reach. Pending watches are lost.
func (s *cutStore) setRouterCut(is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = is
	if is {
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
	b := newViewModel(t)
	elapse(5 * time.Second)
	steps := b.drawSteps(random)
	began := time.Now()
	for time.Since(began) < modelLength+5*time.Second {
		b.mu.Lock()
		for index, one := range steps {
			if one.do != nil && time.Since(began) >= one.at {
				one.do()
				steps[index].do = nil
			}
		}
		b.sendUpdate()
		b.mu.Unlock()
		elapse(modelStep)
		b.mu.Lock()
		err := b.check()
		b.mu.Unlock()
		assert.NilError(t, err, "%v after the start", time.Since(began))
	}
}
