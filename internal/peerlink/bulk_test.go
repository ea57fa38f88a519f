package peerlink

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/keytable"
	lablink "github.com/shalefork/shalefork/internal/lab/link"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// testFleet returns workers, and owners of key ranges of equal size, with names that compress no
// better than real ones.
func testFleet(workerCount, ownerCount int) ([]WorkerChange, []owner.Owner) {
	source := rand.New(rand.NewSource(1))
	var changes []WorkerChange
	var owners []owner.Owner
	for index := range workerCount {
		id := workers.ID(fmt.Sprintf("i-%010x", source.Uint64()>>24))
		address := fmt.Sprintf("10.%d.%d.%d:%d", source.Intn(256), source.Intn(256), source.Intn(256), 1024+source.Intn(60000))
		changes = append(changes, NewWorkerChange(coord.Revision(1000+index), workers.Worker{
			ID: id, Service: "s", Address: address, Zone: "zone-a", Slots: 2, State: workers.StateReady, StartTime: workers.StartTime(1764739000000 + index),
		}))
		if index < ownerCount {
			keys := owner.KeyRange{From: owner.KeyCount * index / ownerCount, To: owner.KeyCount*(index+1)/ownerCount - 1}
			owners = append(owners, owner.Owner{Keys: keys, Worker: id, Address: address})
		}
	}
	return changes, owners
}

// collector is a follower that assembles pages as a router does.
type collector struct {
	table    *keytable.Table
	mu       sync.Mutex
	known    map[workers.ID]bool
	after    workers.ID
	revision coord.Revision
	// entriesRevision is the revision up to which all changes are known, and lists counts the
	// messages that were the last of a list or of changes.
	entriesRevision coord.Revision
	lists           int
	brokenLinks     atomic.Int32
}

func newCollector() *collector {
	return &collector{table: keytable.New(), known: map[workers.ID]bool{}}
}

func (c *collector) onUpdate(update Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, message := range []*EntryChanges{update.Page, update.Entries} {
		if message == nil {
			continue
		}
		if message.Full && message.After == "" {
			clear(c.known)
		}
		changes, _ := message.Decode(time.Now())
		for _, change := range changes {
			c.known[change.ID] = true
		}
		c.after, c.revision = message.Last, message.To
		if !message.More {
			c.entriesRevision = message.To
			c.after, c.revision = "", 0
			c.lists++
		}
	}
}

// follow follows a process, and reconnects when the link breaks, until ctx ends.
func (c *collector) follow(ctx context.Context, address string) {
	follower := Follower{
		Hello: Hello{Node: "n"}, Table: c.table, TakeReport: NewMeter().TakeReport, Nodes: &atomic.Int32{}, OnFirstUpdate: func() {}, OnLeadershipUncertain: func() {},
		OnOwnersApplied: func(routing.ServiceName) {}, KeepFollowing: func(Update) bool { return true }, ConfigRevision: func() coord.Revision { return 0 },
		EntriesRevision: func() coord.Revision { c.mu.Lock(); defer c.mu.Unlock(); return c.entriesRevision },
		ListPosition:    func() (workers.ID, coord.Revision) { c.mu.Lock(); defer c.mu.Unlock(); return c.after, c.revision },
		OnUpdate:        c.onUpdate,
	}
	for ctx.Err() == nil {
		_ = follower.Follow(ctx, address)
		if ctx.Err() == nil {
			c.brokenLinks.Add(1)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (c *collector) complete(count int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, version := c.table.Owners("s")
	return c.lists > 0 && len(c.known) == count && version == 1
}

// A zone that starts at once receives all workers and owners over a slow link, which takes several
// times SilenceLimit. When all were sent in one message, no follower ever received it: each link
// broke before its message was complete, and started again from the beginning.
func TestManyFollowersSyncOverASlowLink(t *testing.T) {
	const followers, workerCount, bytesPerSecond = 40, 3000, 4e6
	hub, _, address := newLeadingHub(t, 3)
	hub.DirectNodes, hub.LinkRate = 2*followers, bytesPerSecond
	list, owners := testFleet(workerCount, 1000)
	hub.SetEntries(list, 99999, time.Time{})
	hub.Publish("s", owners)
	slow, err := lablink.New("127.0.0.1:0", address)
	assert.NilError(t, err)
	t.Cleanup(slow.Close)
	slow.SetBandwidth(nil, lablink.NewBandwidth(bytesPerSecond))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	all := make([]*collector, followers)
	for index := range all {
		all[index] = newCollector()
		go all[index].follow(ctx, slow.Address())
	}
	brokenLinks := int32(0)
	for _, collector := range all {
		eventually(t, "all followers to be complete", func() bool { return collector.complete(workerCount) })
		brokenLinks += collector.brokenLinks.Load()
	}
	assert.Equal(t, brokenLinks, int32(0), "no link breaks")
	for _, want := range owners {
		held, _ := all[0].table.Lookup("s", want.Keys.From)
		assert.Equal(t, held.Worker, want.Worker)
	}
}

// A link waits while others receive pieces, and has its turn once one of them is complete or
// closed.
func TestBulkTransfersAreLimitedToAFewLinks(t *testing.T) {
	now := time.Unix(1000, 0)
	var transfers bulkTransfers
	links := make([]*link, bulkLinks+2)
	for index := range links {
		links[index] = &link{wake: make(chan struct{}, 1)}
		assert.Equal(t, transfers.admit(links[index], now), index < bulkLinks)
	}
	next, last := links[bulkLinks], links[bulkLinks+1]
	transfers.release(links[3])
	assert.Equal(t, len(next.wake), 1, "the first waiting link is notified")
	assert.Assert(t, !transfers.admit(last, now), "it waits for its turn")
	assert.Assert(t, transfers.admit(next, now))
	transfers.release(last) // closed while it waited
	transfers.release(links[0])
	assert.Assert(t, transfers.admit(links[0], now), "no link waits")
	transfers.reserve(now, 3_000_000, 1_000_000)
	assert.Assert(t, !transfers.admit(next, now.Add(3900*time.Millisecond)), "pieces use only their share of the bandwidth")
	assert.Assert(t, transfers.admit(next, now.Add(4*time.Second)))
}

// nextUpdate returns a link's next update, regardless of bandwidth if the hub has no LinkRate.
func nextUpdate(h *Hub, l *link) Update {
	update, _ := h.update(l)
	return update
}

func newLink(hello Hello) *link {
	return &link{
		wake: make(chan struct{}, 1), sentOwners: map[routing.ServiceName]sentOwners{}, hello: hello, entriesRevision: hello.Entries,
		listPosition: listPosition{after: hello.ListAfter, revision: hello.ListAt},
	}
}

// A process that has received a part of the list from one process continues at another, and misses
// no change since the first page: neither new workers nor those that left.
func TestPagedListResumesAtAnotherProcess(t *testing.T) {
	list, _ := testFleet(3*pageWorkers, 0)
	first, second := newTestHub(), newTestHub()
	for _, hub := range []*Hub{first, second} {
		hub.Open(1)
		hub.SetEntries(list, 10_000, time.Time{})
	}
	c := newCollector()
	update := nextUpdate(first, newLink(Hello{}))
	assert.Assert(t, update.Page.More)
	c.onUpdate(update)
	assert.Equal(t, len(c.known), pageWorkers)
	gone := update.Page.Last
	second.AddEntryChanges([]WorkerChange{{ID: gone, Revision: 10_001, Gone: true}, readyChange("i-zzz", 10_002)}, 10_002)
	after, at := c.after, c.revision
	l := newLink(Hello{ListAfter: after, ListAt: at})
	for c.entriesRevision == 0 {
		update = nextUpdate(second, l)
		c.onUpdate(update)
	}
	assert.Equal(t, len(c.known), 3*pageWorkers+1)
	assert.Equal(t, c.entriesRevision, coord.Revision(10_000), "the lowest revision of all pages")
	update = nextUpdate(second, l)
	assert.Equal(t, update.Entries.From, coord.Revision(10_000))
	assert.Equal(t, len(update.Entries.Changes), 2)
	assert.Assert(t, update.Entries.Changes[0].Gone && update.Entries.Changes[0].ID == gone)
}

// The process where the list continues may no longer keep the changes since the received pages.
func TestPagedListRestartsAfterTooManyChanges(t *testing.T) {
	list, _ := testFleet(3*pageWorkers, 0)
	hub := newTestHub()
	hub.Open(1)
	hub.SetEntries(list, 10_000, time.Time{})
	update := nextUpdate(hub, newLink(Hello{ListAfter: list[0].ID, ListAt: 9_999}))
	assert.Equal(t, update.Page.After, workers.ID(""))
	// The same holds for a process that was up to date long ago.
	update = nextUpdate(hub, newLink(Hello{Entries: 9_999}))
	assert.Assert(t, update.Page.Full && update.Page.More && update.Entries == nil)
}

// If owners change during the transfer, the owners that were already sent change with them, and the
// rest is sent in its current state.
func TestOwnersChangeDuringTransfer(t *testing.T) {
	_, owners := testFleet(4*maxPieceRuns, 4*maxPieceRuns)
	hub := newTestHub()
	hub.Open(1)
	hub.Publish("s", owners)
	l, table := newLink(Hello{}), keytable.New()
	apply := func(update Update) {
		for _, message := range update.Services {
			decoded, ok := message.Owners()
			assert.Assert(t, ok)
			table.Apply("s", keytable.Change{
				Term: update.Term, Version: message.Version, Partial: message.Partial, Full: message.Full, Range: message.Keys, Owners: decoded,
			})
		}
	}
	for step := range 4 {
		apply(nextUpdate(hub, l))
		changed := append([]owner.Owner(nil), owners...)
		for index := step; index < len(changed); index += 7 {
			changed[index].Worker = workers.ID(fmt.Sprint("new-", step))
		}
		owners = changed
		hub.Publish("s", owners)
	}
	apply(nextUpdate(hub, l))
	for _, want := range owners {
		held, _ := table.Lookup("s", want.Keys.From)
		assert.Equal(t, held.Worker, want.Worker)
	}
	_, _, version := table.Owners("s")
	assert.Equal(t, version, uint64(5))
	assert.Equal(t, len(nextUpdate(hub, l).Services), 0, "everything was sent")
}

func TestInvalidServiceOwnersAreRejected(t *testing.T) {
	worker := []NamedWorker{{ID: "w", Address: "a"}}
	for name, message := range map[string]ServiceOwners{
		"unknown worker":   {Workers: worker, Runs: [][4]int{{0, 9, 1, 0}}},
		"out of order":     {Workers: worker, Runs: [][4]int{{5, 9, 0, 0}, {0, 4, 0, 0}}},
		"twice":            {Workers: worker, Runs: [][4]int{{0, 9, 0, 0}, {9, 10, 0, 0}}},
		"backwards":        {Workers: worker, Runs: [][4]int{{8, -3, 0, 0}}},
		"key out of range": {Workers: worker, Runs: [][4]int{{0, owner.KeyCount, 0, 0}}},
		"outside of Keys":  {Workers: worker, Runs: [][4]int{{0, 9, 0, 0}}, Full: true, Keys: &owner.KeyRange{From: 5, To: 9}},
		"not packed":       {Packed: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := message.Owners()
			assert.Assert(t, !ok)
		})
	}
}

// A leader that read the list again, because the service no longer had the history, sent the whole
// list to each of hundreds of processes, which lacked only a few changes of ten thousand workers.
func TestListReadAgainIsSentAsChanges(t *testing.T) {
	list, _ := testFleet(3*pageWorkers, 0)
	hub := newTestHub()
	hub.Open(1)
	hub.SetEntries(list, 10_000, time.Time{})
	l := newLink(Hello{Entries: 10_000})
	reread := append([]WorkerChange(nil), list[5:]...) // five workers left
	reread = append(reread, readyChange("i-new", 10_007), drainingChange("i-leaves", 10_006))
	hub.SetEntries(reread, 10_020, time.Time{})
	update := nextUpdate(hub, l)
	assert.Assert(t, update.Page == nil)
	assert.Equal(t, update.Entries.From, coord.Revision(10_000))
	assert.Equal(t, update.Entries.To, coord.Revision(10_020))
	changes, err := update.Entries.Decode(time.Now())
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 7)
	gone := 0
	for _, change := range changes {
		if change.Gone {
			gone++
			assert.Equal(t, change.Revision, coord.Revision(10_020))
		}
	}
	assert.Equal(t, gone, 5)
	assert.Assert(t, changes[0].Draining && changes[0].ID == "i-leaves", "changes are in the order of revisions")
	// A process that knows nothing receives the current list.
	c := newCollector()
	for newcomer := newLink(Hello{}); c.entriesRevision == 0; {
		c.onUpdate(nextUpdate(hub, newcomer))
	}
	assert.Equal(t, len(c.known), len(reread))
}
