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

// What a router believes of one worker, over that worker's life, the router's links to the
// service and to its leader, outages of the service, and changes of the leader. Two routers run
// their real code in virtual time, each with its own link to one service; the second leads at
// times and tells the first what it knows. Each seed is one order of events.

const (
	modelSeeds  = 1000
	modelLength = 24 * time.Second
	// modelStep is no part of any time of the code, so that no two things fall together.
	modelStep = 47*time.Millisecond + 3*time.Microsecond
	// entryLapse is how long entries last that can't be renewed.
	entryLapse = 3900 * time.Millisecond
	// entryReturn is within what time lapsed entries are back that must be waited for.
	entryReturn = 1700 * time.Millisecond
)

// belief is one order of events under way.
type viewModel struct {
	// mu is held but while time passes.
	mu          sync.Mutex
	t           *testing.T
	store       *cutStore
	router      *Router
	routerStore *cutStore
	// leader is the other router; leads says that it leads, and linked that it reaches the
	// first one. ledSince is since when it leads.
	leader       *Router
	leaderStore  *cutStore
	leads        bool
	leaderLinked bool
	ledSince     time.Time
	// changes are those of the worker's entry, by which the leader tells what it has read.
	changes []peerlink.WorkerChange
	// lastCut is when the first router's link to the service was cut last, and lastAway when
	// the service was.
	lastCut, lastDown time.Time
	cut, leaderIsCut  bool
	storeDown         bool
	// leaderReached is when the leader's lease was renewed last.
	leaderReached time.Time
	// lastBlind is when nobody could tell the first router that a worker is back.
	lastUninformed time.Time
	// left is when the service had acknowledged that the worker leaves; zero if it does not.
	leftAt time.Time
	// lapsed says that the entry went with the service.
	lapsed bool
	// born is the life of the worker.
	born workers.Born
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
	worker := workers.Worker{ID: "a", Service: "s", State: state, Born: b.born}
	b.changes = append(b.changes, peerlink.NewWorkerChange(at, worker))
}

// remove takes the worker's entry away.
func (b *viewModel) remove() {
	at := remove(b.t, b.store, "w/a")
	b.changes = append(b.changes, peerlink.WorkerChange{Revision: at, ID: "a", Gone: true})
}

// After these times without an answer a leader says that it is cut off from the service: the
// figures of internal/keeper.
const (
	leaseSilenceLimit = 1100 * time.Millisecond
	readSilenceLimit  = 2200 * time.Millisecond
)

// tell lets the leader say what it knows, as its hub would.
func (b *viewModel) sendUpdate() {
	if !b.storeDown && !b.leaderIsCut {
		b.leaderReached = time.Now()
	}
	if !b.leads || !b.leaderLinked {
		return
	}
	known := b.leader.known()
	deaf := time.Since(clock.OfNanos(b.leader.entries.syncedAt.Load())) > readSilenceLimit || time.Since(b.leaderReached) > leaseSilenceLimit
	known.Settled = !deaf && known.SettleMillis == 0 && time.Since(b.ledSince) >= workers.SettleTime
	update := peerlink.Update{Leading: true, StoreUnreachable: deaf, ReadState: known}
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

// step is one thing that happens at a time.
type event struct {
	at time.Duration
	do func()
}

// draw draws an order of events: the first router is cut off for a while; the leader is cut off
// with it, is lost or not linked meanwhile, or leads on; the worker leaves around that time, or
// does not; and the service may be away.
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
		withWord := random.IntN(3) == 0
		steps = append(steps, event{between(from-time.Second, end+3*time.Second), func() { b.leave(withWord) }})
	}
	if random.IntN(3) == 0 {
		away := between(0, 12*time.Second)
		steps = append(steps, event{away, func() { b.setStoreDown(true) }}, event{away + between(time.Second, 7*time.Second), func() { b.setStoreDown(false) }})
	}
	return append(steps, b.drawRestarts(random)...)
}

// drawRestarts draws when the worker starts again under its ID, after it has left or without.
func (b *viewModel) drawRestarts(random *rand.Rand) []event {
	var steps []event
	for range random.IntN(3) {
		at := time.Duration(random.Int64N(int64(18 * time.Second)))
		steps = append(steps, event{at, b.restart})
	}
	return steps
}

// restart begins another life of the worker, whose clock may have stepped back. What it said of
// leaving was the life before.
func (b *viewModel) restart() {
	if b.lapsed || b.storeDown || time.Since(b.lastDown) < catchUpTime {
		return
	}
	b.born -= 7
	b.announce(workers.StateReady)
	if !b.leftAt.IsZero() {
		b.leftAt = time.Time{}
		b.lastUninformed = time.Now() // it takes as long to hear that it is back
	}
}

// setLost lets nobody lead, or the leader lead again.
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

// setAway begins or ends an outage of the service. The worker's entry lapses in a long one,
// and is back soon after.
func (b *viewModel) setStoreDown(away bool) {
	b.storeDown = away
	wasLong := !away && time.Since(b.lastDown) > entryLapse
	b.lastDown = time.Now()
	b.routerStore.setRouterCut(away || b.cut)
	b.leaderStore.setRouterCut(away || b.leaderIsCut)
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

// leave lets the worker leave, unless the service is or was disturbed: then its word counts
// from no known time.
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

// check returns what is wrong with what the first router believes now.
func (b *viewModel) check() error {
	believed := usable(b.router) > 0
	awayMeanwhile := b.storeDown && (b.lapsed || b.router.workers.Kept() > 0 || !believed)
	if awayMeanwhile || b.cut && !(b.leads && b.leaderLinked && !b.leaderIsCut) {
		b.lastUninformed = time.Now()
	}
	inTouch := !b.cut && !b.storeDown && time.Since(b.lastCut) >= catchUpTime && time.Since(b.lastDown) >= catchUpTime
	switch {
	case believed && inTouch && !b.leftAt.IsZero() && time.Since(b.leftAt) >= drainTime:
		return fmt.Errorf("work goes to a worker that left %v ago", time.Since(b.leftAt))
	case inTouch && b.router.workers.DrainingFor("a") > 0 && b.leftAt.IsZero() && time.Since(b.lastUninformed) >= catchUpTime:
		return fmt.Errorf("another life of the worker is taken to leave")
	case !believed && b.leftAt.IsZero() && time.Since(b.lastUninformed) >= catchUpTime:
		return fmt.Errorf("no work goes to a worker that lives")
	}
	return nil
}

// cutAlone cuts one router off from a service that others reach: watches that wait are lost.
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
