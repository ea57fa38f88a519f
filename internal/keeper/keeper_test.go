package keeper

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// obeyingWorkers simulates workers that execute every order at once.
type obeyingWorkers struct {
	mu     sync.Mutex
	grants map[workers.ID][]owner.Grant
	// leaving is a worker that reports that it is leaving.
	leaving workers.ID
}

func (o *obeyingWorkers) Grant(_ context.Context, to owner.Target, grant owner.Grant) owner.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.grants[to.ID] = append(o.grants[to.ID], grant)
	return owner.Reply{Outcome: owner.OutcomeDone, Leaving: to.ID == o.leaving}
}

func (o *obeyingWorkers) Release(context.Context, owner.Target, owner.KeyRange, owner.Fence) owner.Reply {
	return owner.Reply{Outcome: owner.OutcomeDone, Handover: "h"}
}

// testBench is a keeper with its dependencies.
type testBench struct {
	t        *testing.T
	store    *memory.Store
	election *election.Election
	keeper   *Keeper
	orders   *obeyingWorkers
	count    int
}

func (b *testBench) nonce() string {
	b.count++
	return fmt.Sprintf("nonce-%d", b.count)
}

func runBench(t *testing.T, run func(b *testBench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testBench{t: t, store: memory.New(), orders: &obeyingWorkers{grants: map[workers.ID][]owner.Grant{}}}
		config, err := routing.Build(1, nil, map[routing.ServiceName]*routing.Service{"s": {Name: "s", Keyed: true}}, routing.Limits{})
		assert.NilError(t, err)
		store := memory.TimeoutStore{Store: b.store, CommitTimeout: time.Second}
		b.election = election.New(store, "cell/", "a:1", "process", b.nonce)
		readState := func() peerlink.ReadState { return peerlink.ReadState{} }
		b.keeper = &Keeper{
			Store: store, Prefix: "cell/", Orders: b.orders, Workers: workers.NewDirectory(),
			Config: func() *routing.Config { return config },
			Hub:    peerlink.NewHub("process", make(chan peerlink.Report), readState), Table: keytable.New(),
			Reports: make(chan peerlink.Report), Log: decision.NewTo(io.Discard, "n"),
			Metrics: NewMetrics(prometheus.NewRegistry()),
			Times:   owner.DefaultConfig(10 * time.Second), Nonce: b.nonce,
		}
		defer b.keeper.Log.Close()
		b.announce("w1", "w2")
		run(b)
	})
}

// announce replaces the list of workers.
func (b *testBench) announce(ids ...workers.ID) {
	var list []workers.Worker
	for _, id := range ids {
		list = append(list, workers.Worker{ID: id, Service: "s", Address: string(id), Slots: 2, State: workers.StateReady})
	}
	b.keeper.Workers.Replace(list, nil, time.Now())
}

// lead lets the keeper lead for some time, and runs meanwhile concurrently.
func (b *testBench) lead(length time.Duration, meanwhile func()) {
	tenure, err := b.election.Campaign(b.t.Context(), 0)
	assert.NilError(b.t, err)
	ctx, cancel := context.WithTimeout(b.t.Context(), length)
	defer cancel()
	go tenure.KeepAlive(ctx)
	if meanwhile != nil {
		go meanwhile()
	}
	b.keeper.Lead(ctx, tenure, time.Now())
	limited, stop := context.WithTimeout(b.t.Context(), time.Second)
	defer stop()
	tenure.Resign(limited)
	time.Sleep(3 * time.Second) // pending calls end
}

func (b *testBench) owner(key int) workers.ID {
	held, known := b.keeper.Table.Lookup("s", key)
	if !known || held.Moving {
		return ""
	}
	return held.Worker
}

func (b *testBench) stored() []owner.Owner {
	item, found, err := b.store.Get(b.t.Context(), RecordKey("cell/", "s"))
	assert.NilError(b.t, err)
	assert.Assert(b.t, found)
	_, owners, err := owner.DecodeOwners(item.Value)
	assert.NilError(b.t, err)
	return owners
}

func TestInitialOwnersAreStored(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.lead(4*time.Second, nil)
		assert.Equal(t, b.owner(0), workers.ID("w1"))
		assert.Equal(t, b.owner(owner.KeyCount-1), workers.ID("w2"))
		assert.Equal(t, len(b.stored()), 2)
	})
}

func TestNoGrantBeforeRecordIsStored(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.store.LoseAnswers(0, 0)
		b.lead(4*time.Second, func() {
			time.Sleep(time.Second) // before the initial owners are assigned
			b.store.SetDown(true)
			time.Sleep(700 * time.Millisecond)
			b.orders.mu.Lock()
			defer b.orders.mu.Unlock()
			assert.Equal(t, len(b.orders.grants), 0)
		})
		b.store.SetDown(false)
	})
}

func TestLostRecordWriteResponseIsResolved(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond} {
		runBench(t, func(b *testBench) {
			b.lead(8*time.Second, func() {
				time.Sleep(100 * time.Millisecond)
				b.store.LoseAnswers(1, delay)
			})
			assert.Equal(t, b.owner(0), workers.ID("w1"))
			assert.Equal(t, len(b.stored()), 2)
		})
	}
}

func TestNextLeaderRenewsHolds(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.lead(4*time.Second, nil)
		before := len(b.orders.grants["w1"])
		b.announce("w1", "w2", "w3")
		b.lead(2*time.Second, nil)
		assert.Assert(t, len(b.orders.grants["w1"]) > before)
		assert.Equal(t, len(b.orders.grants["w3"]), 0, "no keys move without load")
	})
}

func TestKeysOfRemovedWorkerMove(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.lead(10*time.Second, func() {
			time.Sleep(5 * time.Second)
			b.announce("w1")
		})
		for _, key := range []int{0, owner.KeyCount / 2, owner.KeyCount - 1} {
			assert.Equal(t, b.owner(key), workers.ID("w1"))
		}
		for _, held := range b.stored() {
			assert.Equal(t, held.Worker, workers.ID("w1"))
		}
	})
}

func TestKeysMoveOutOfEvacuatedZone(t *testing.T) {
	runBench(t, func(b *testBench) {
		near := workers.Worker{ID: "w1", Service: "s", Address: "w1", Zone: "near", Slots: 2, State: workers.StateReady}
		far := workers.Worker{ID: "w2", Service: "s", Address: "w2", Zone: "far", Slots: 2, State: workers.StateReady}
		b.keeper.Workers.Replace([]workers.Worker{near, far}, nil, time.Now())
		keys := []int{0, owner.KeyCount / 2, owner.KeyCount - 1}
		b.lead(16*time.Second, func() {
			time.Sleep(5 * time.Second)
			b.keeper.Workers.SetEvacuated([]string{"near"}, time.Now())
			time.Sleep(2 * time.Second)
			for _, key := range keys {
				assert.Equal(t, b.owner(key), workers.ID("w2"))
			}
			b.keeper.Workers.SetEvacuated([]string{"near", "far"}, time.Now())
			time.Sleep(2 * time.Second)
			for _, key := range keys {
				assert.Equal(t, b.owner(key), workers.ID("w2"), "no other zone has workers")
			}
		})
		for _, held := range b.stored() {
			assert.Equal(t, held.Worker, workers.ID("w2"))
		}
	})
}

// While a worker is cold, the rate that it can run is less than its slots suggest.
func TestColdWorkerHasReducedCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		warmAt   time.Time
		coldRate float64
		want     float64
	}{
		"warm":                               {warmAt: now, coldRate: 4, want: 25},
		"cold, no cold rate":                 {warmAt: now.Add(time.Second), want: 12.5},
		"cold, cold rate below its capacity": {warmAt: now.Add(time.Second), coldRate: 4, want: 4},
		"cold, cold rate above its capacity": {warmAt: now.Add(time.Second), coldRate: 40, want: 12.5},
	} {
		t.Run(name, func(t *testing.T) {
			svc := newService("s")
			svc.coldRate = c.coldRate
			candidate := svc.candidate(now, workers.Worker{ID: "w", Slots: 2, WarmAt: c.warmAt})
			assert.Equal(t, candidate.Capacity, c.want)
		})
	}
}

// A worker that receives no requests reports that it is leaving only in its replies to the leader's
// orders. Without handling those, its keys stayed with it.
func TestKeysMoveFromWorkerThatReportsLeaving(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.orders.leaving = "w1"
		b.keeper.OnWorkerLeaving = func(incarnation workers.Incarnation) { b.keeper.Workers.MarkLeaving(incarnation, time.Now()) }
		b.lead(6*time.Second, nil)
		for _, held := range b.stored() {
			assert.Equal(b.t, held.Worker, workers.ID("w2"))
		}
	})
}

func TestBackoffsReduceCapacity(t *testing.T) {
	runBench(t, func(b *testBench) {
		t := &tenureKeeper{Keeper: b.keeper}
		svc, now := newService("s"), time.Now()
		worker, _ := b.keeper.Workers.Get("w1")
		before := t.candidate(now, svc, worker)
		svc.addBackoffs(now, "w1", 1, 3*time.Second) // the only router there is
		during := t.candidate(now.Add(time.Second), svc, worker)
		assert.Equal(b.t, during.Capacity, minCapacityShare*before.Capacity)
		assert.Assert(b.t, during.Limited && during.Cold)
		later := t.candidate(now.Add(4*time.Second), svc, worker)
		assert.Equal(b.t, later.Capacity, before.Capacity)
		assert.Assert(b.t, !later.Limited && later.Cold, "most workers request another backoff, so it gets no more keys for now")
		assert.Equal(b.t, t.candidate(now.Add(time.Minute), svc, worker), before)
		assert.Equal(b.t, len(svc.backoffs), 0)
	})
}

func TestOutageMovesNoKeysAndKeepsRenewing(t *testing.T) {
	runBench(t, func(b *testBench) {
		b.lead(8*time.Second, func() {
			time.Sleep(4 * time.Second)
			b.store.SetDown(true)
			b.announce("w1")
			b.orders.mu.Lock()
			before := len(b.orders.grants["w2"])
			b.orders.mu.Unlock()
			time.Sleep(3 * time.Second)
			b.orders.mu.Lock()
			assert.Assert(t, len(b.orders.grants["w2"]) > before, "the holds of its keys must still be renewed")
			b.orders.mu.Unlock()
			assert.Equal(t, b.owner(owner.KeyCount-1), workers.ID("w2"))
			b.store.SetDown(false)
		})
	})
}

// A process that has just started may lead with a list of workers in which entries are missing that
// expired while the store was unreachable.
func TestNewLeaderWaitsForExpiredEntries(t *testing.T) {
	for name, c := range map[string]struct {
		lead time.Duration
		want workers.ID
	}{
		"at first":               {lead: 2 * time.Second, want: "w2"},
		"after the grace period": {lead: 5 * time.Second, want: "w1"},
	} {
		t.Run(name, func(t *testing.T) {
			runBench(t, func(b *testBench) {
				b.lead(4*time.Second, nil)
				b.keeper.Workers = workers.NewDirectory()
				b.announce("w1")
				b.lead(c.lead, nil)
				assert.Equal(t, b.owner(owner.KeyCount-1), c.want)
			})
		})
	}
}

// Guards against a fault suspected on a test day (trouble-3 of tawila-gw-large): the leader still
// renewed its lease but no longer received the changes that it follows in the key-value service,
// while all other processes relied on it.
func TestStoreUnreachable(t *testing.T) {
	for name, test := range map[string]struct {
		readBefore, leaseBefore time.Duration
		unknown                 bool
		unreachable             bool
	}{
		"store is reachable":      {readBefore: 1500 * time.Millisecond},
		"a watch was dropped":     {readBefore: staleAfter + time.Millisecond, unreachable: true},
		"no renewal was answered": {leaseBefore: storeTimeout + time.Millisecond, unreachable: true},
		"sync time unknown":       {unknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			runBench(t, func(b *testBench) {
				tenure, err := b.election.Campaign(b.t.Context(), 0)
				assert.NilError(t, err)
				if !test.unknown {
					read := time.Now().Add(test.leaseBefore - test.readBefore)
					b.keeper.SyncedAt = func() time.Time { return read }
				}
				keeper := &tenureKeeper{Keeper: b.keeper, tenure: tenure}
				assert.Equal(t, keeper.storeUnreachable(time.Now().Add(test.leaseBefore)), test.unreachable)
			})
		})
	}
}
