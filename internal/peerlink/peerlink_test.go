package peerlink

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// newLeadingHub returns an open hub, its reports, and its address.
func newLeadingHub(t *testing.T, term owner.Term) (*Hub, chan Report, string) {
	t.Helper()
	reports := make(chan Report, 16)
	hub := NewHub("process", reports, func() ReadState { return ReadState{Config: 7} })
	hub.Open(term)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go hub.Serve(listener)
	return hub, reports, listener.Addr().String()
}

// testFollower follows a hub.
type testFollower struct {
	table               *keytable.Table
	meter               *Meter
	leadershipUncertain atomic.Bool
	configRevision      atomic.Int64
	storeUnreachable    atomic.Bool
	// entriesRevision is the revision up to which entries are known; gaps counts updates that could
	// not be decoded or that don't continue from that revision.
	entriesRevision, gaps atomic.Int64
	mu                    sync.Mutex
	events                []string
	result                chan error
}

// onUpdate handles an update as the router does.
func (f *testFollower) onUpdate(update Update) {
	f.configRevision.Store(int64(update.ReadState.Config))
	f.storeUnreachable.Store(update.StoreUnreachable)
	if update.Entries == nil {
		return
	}
	if int64(update.Entries.From) > f.entriesRevision.Load() {
		f.gaps.Add(1)
	}
	f.entriesRevision.Store(int64(update.Entries.To))
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, err := update.Entries.Decode(time.Now())
	if err != nil {
		f.gaps.Add(1)
	}
	for _, change := range changes {
		f.events = append(f.events, string(change.ID))
	}
}

// receivedIDs returns the IDs of the workers whose changes were received.
func (f *testFollower) receivedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

func follow(t *testing.T, address string) *testFollower {
	t.Helper()
	return followAs(t, address, Hello{Node: "n"})
}

// followAs follows a process and introduces itself with hello.
func followAs(t *testing.T, address string, hello Hello) *testFollower {
	t.Helper()
	f := &testFollower{table: keytable.New(), meter: NewMeter(), result: make(chan error, 1)}
	follower := Follower{
		Hello: hello, Table: f.table, TakeReport: f.meter.TakeReport, Nodes: &atomic.Int32{}, OnFirstUpdate: func() {},
		OnOwnersApplied: func(routing.ServiceName) {}, KeepFollowing: func(Update) bool { return true },
		EntriesRevision: func() coord.Revision { return coord.Revision(f.entriesRevision.Load()) }, ConfigRevision: func() coord.Revision { return 0 },
		OnUpdate: f.onUpdate, OnLeadershipUncertain: func() { f.leadershipUncertain.Store(true) },
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { f.result <- follower.Follow(ctx, address) }()
	return f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *testFollower) owns(key int, worker string) func() bool {
	return func() bool {
		held, known := f.table.Lookup("s", key)
		return known && string(held.Worker) == worker
	}
}

func TestFollowersReceiveOwnersAndChanges(t *testing.T) {
	hub, reports, address := newLeadingHub(t, 3)
	hub.Publish("s", []owner.Owner{
		{Keys: owner.KeyRange{From: 0, To: 99}, Worker: "w1", Address: "a1"},
		{Keys: owner.KeyRange{From: 100, To: owner.KeyCount - 1}, Worker: "w2", Address: "a2"},
	})
	f := follow(t, address)
	eventually(t, "first owners", f.owns(100, "w2"))
	hub.Publish("s", []owner.Owner{
		{Keys: owner.KeyRange{From: 0, To: 99}, Worker: "w1", Address: "a1"},
		{Keys: owner.KeyRange{From: 100, To: 100}, Worker: "w3", Address: "a3"},
		{Keys: owner.KeyRange{From: 101, To: owner.KeyCount - 1}, Worker: "w2", Address: "a2"},
	})
	eventually(t, "moved key", f.owns(100, "w3"))
	assert.Assert(t, f.owns(99, "w1")() && f.owns(101, "w2")())
	assert.Equal(t, f.configRevision.Load(), int64(7))
	f.meter.CountRequest("s", 5)
	f.meter.CountRequest("s", 5)
	report := <-reports
	assert.DeepEqual(t, report.Keys["s"], []int{5, 2})
}

func TestNonLeaderReportsThatItDoesNotLead(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	answer, ok := QueryLeadership(t.Context(), address, 0)
	assert.Assert(t, ok)
	assert.DeepEqual(t, answer, LeadershipStatus{Leading: true, Process: "process"})
	hub.Close()
	answer, ok = QueryLeadership(t.Context(), address, 0)
	assert.Assert(t, ok && !answer.Leading)
	f := follow(t, address)
	assert.ErrorIs(t, <-f.result, ErrNotLeading)
}

// A leader that was cut off from the store kept its followers, and no other process led them.
func TestLaterLeaderSupersedesEarlierOne(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	answer, ok := QueryLeadership(t.Context(), address, 3)
	assert.Assert(t, ok && answer.Leading)
	answer, ok = QueryLeadership(t.Context(), address, 4)
	assert.Assert(t, ok && !answer.Leading)
	<-hub.Superseded()
	assert.Assert(t, !hub.Leading())
}

func TestFollowersAreNotifiedOfUncertainLeadership(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	f := follow(t, address)
	hub.SetLeadershipUncertain(true)
	eventually(t, "doubt", f.leadershipUncertain.Load)
}

func drainingChange(id workers.ID, revision coord.Revision) WorkerChange {
	return NewWorkerChange(revision, workers.Worker{ID: id, State: workers.StateDraining})
}

// One process reads the workers' entries and forwards the changes, so that a change does not cost a
// call from each process.
func TestFollowersReceiveEntryChanges(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	hub.SetEntries(nil, 10, time.Time{})
	f := follow(t, address)
	eventually(t, "gap, as nothing was read", func() bool { return f.gaps.Load() == 1 })
	hub.AddEntryChanges([]WorkerChange{drainingChange("b", 12), drainingChange("c", 13)}, 14)
	eventually(t, "changes", func() bool { return f.entriesRevision.Load() == 14 })
	assert.DeepEqual(t, f.receivedIDs(), []string{"b", "c"})
	assert.Equal(t, f.gaps.Load(), int64(1))
	hub.SetStoreUnreachable(true)
	eventually(t, "store unreachable at the leader", f.storeUnreachable.Load)
}

func readyChange(id workers.ID, revision coord.Revision) WorkerChange {
	return NewWorkerChange(revision, workers.Worker{ID: id, State: workers.StateReady})
}

func TestManyEntryChangesAreSentPacked(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	f := follow(t, address)
	var changes []WorkerChange
	var want []string
	for index := range 10 * maxUnpackedChanges {
		id := fmt.Sprintf("w%d", index)
		want = append(want, id)
		changes = append(changes, readyChange(workers.ID(id), coord.Revision(1+index)))
	}
	hub.AddEntryChanges(changes, 90)
	eventually(t, "changes", func() bool { return f.entriesRevision.Load() == 90 })
	assert.DeepEqual(t, f.receivedIDs(), want)
	assert.Equal(t, f.gaps.Load(), int64(0))
}

// New workers are sent in batches, so that many of them take few messages. The departure of a
// worker is sent immediately, together with all changes before it.
func TestNewWorkersAreBatched(t *testing.T) {
	for name, c := range map[string]struct {
		change  WorkerChange
		sentNow bool
	}{
		"comes":  {change: readyChange("b", 2)},
		"drains": {change: drainingChange("b", 2), sentNow: true},
		"gone":   {change: WorkerChange{ID: "b", Revision: 2, Gone: true}, sentNow: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			hub := NewHub("process", nil, func() ReadState { return ReadState{} })
			l := &link{}
			hub.entries.add([]WorkerChange{readyChange("a", 1)}, 1, now)
			assert.Assert(t, hub.entryChangesFor(l, now) != nil)
			hub.entries.add([]WorkerChange{c.change}, 2, now)
			assert.Equal(t, hub.entryChangesFor(l, now.Add(newWorkersInterval/2)) != nil, c.sentNow)
			if !c.sentNow {
				changes := hub.entryChangesFor(l, now.Add(newWorkersInterval))
				assert.Equal(t, len(changes.Changes), 1)
			}
		})
	}
}

func TestConfigurationIsSentToLinksThatLackIt(t *testing.T) {
	hub := NewHub("process", nil, func() ReadState { return ReadState{} })
	items := []coord.Item{{Key: "op/config", Value: []byte(`{"version":"1"}`), Revision: 7}}
	behind, ahead := &link{configRevision: 3}, &link{configRevision: 7}
	assert.Assert(t, hub.configChangesFor(behind, time.Now()) == nil, "no configuration was read")
	hub.SetConfig(items, 7, time.Now())
	sent, err := hub.configChangesFor(behind, time.Now()).Items()
	assert.NilError(t, err)
	assert.DeepEqual(t, sent, items)
	assert.Assert(t, hub.configChangesFor(behind, time.Now()) == nil, "it was already sent")
	assert.Assert(t, hub.configChangesFor(ahead, time.Now()) == nil)
	hub.SetConfig(nil, 5, time.Now())
	assert.Equal(t, hub.config.revision, coord.Revision(7), "an older revision is ignored")
	_, err = ConfigChanges{Packed: []byte("no packed items")}.Items()
	assert.Assert(t, err != nil)
}

func TestEntryLog(t *testing.T) {
	for name, test := range map[string]struct {
		changes int
		// quick is set if all changes arrive at once, and not a second apart.
		quick       bool
		since       coord.Revision
		from        coord.Revision
		wantChanges int
	}{
		"all":                     {changes: 5, since: 100, from: 100, wantChanges: 5},
		"some":                    {changes: 50, since: 147, from: 147, wantChanges: 3},
		"none":                    {changes: 5, since: 105},
		"many":                    {changes: 50, since: 100, from: 100, wantChanges: 50},
		"before the log began":    {changes: 5, since: 40, from: 105},
		"before the kept changes": {changes: minKeptChanges + 5, since: 102, from: 100 + minKeptChanges + 5},
		"many recent changes":     {changes: minKeptChanges + 5, quick: true, since: 102, from: 102, wantChanges: minKeptChanges + 3},
	} {
		t.Run(name, func(t *testing.T) {
			var log entryLog
			log.reset(nil, 100)
			now := time.Unix(1000, 0)
			for index := range test.changes {
				revision := coord.Revision(101 + index)
				log.add([]WorkerChange{drainingChange("k", revision)}, revision, now)
				if !test.quick {
					now = now.Add(time.Second)
				}
			}
			changes := log.changesSince(test.since, time.Now())
			if test.from == 0 {
				assert.Assert(t, changes == nil)
				return
			}
			assert.Equal(t, changes.From, test.from)
			assert.Equal(t, changes.To, coord.Revision(100+test.changes))
			assert.Equal(t, len(changes.Changes), test.wantChanges)
		})
	}
}

func TestWorkerChangeRoundTrip(t *testing.T) {
	worker := workers.Worker{
		ID: "w", Service: "s", Address: "a", Zone: "z", Slots: 3, State: workers.StateReady,
		WarmAt: time.Now().Add(time.Hour),
	}
	decoded := NewWorkerChange(7, worker).Worker()
	assert.Assert(t, decoded.WarmAt.Sub(worker.WarmAt).Abs() < time.Minute)
	decoded.WarmAt = worker.WarmAt
	assert.DeepEqual(t, decoded, worker)
}
