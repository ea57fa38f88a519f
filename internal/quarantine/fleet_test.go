package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// fleetRouters are the routers of a model.
	fleetRouters = 4
	// eventPause is the time between two events: more than the ages of one may be off.
	eventPause = 2500 * time.Millisecond
	// exchangePause is the time between two exchanges with the leader.
	exchangePause = 500 * time.Millisecond
)

// fleet is a model of routers that share what they know of one harmful request, in virtual time.
// One of them leads; any may be cut off from it, and the leader from the store.
type fleet struct {
	now    time.Time
	views  [fleetRouters]*View
	cut    [fleetRouters]bool
	leader int
	// loaded says that the leader has read what is stored.
	loaded  bool
	store   []byte
	storeUp bool
	ended   int
	// heldAt are the routers that know the request as quarantined; stored says that the store does.
	heldAt [fleetRouters]bool
	stored bool
}

func newFleet() *fleet {
	f := &fleet{now: start, storeUp: true}
	for index := range f.views {
		f.views[index] = NewView()
	}
	return f
}

var harmfulRun = attempt(1).run()

// exchange lets routers report, the leader store, and routers be told.
func (f *fleet) exchange() {
	f.now = f.now.Add(exchangePause)
	leader := f.views[f.leader]
	if !f.loaded && !f.storeUp {
		return
	}
	if !f.loaded {
		f.read(leader)
		f.loaded = true
	}
	for index, view := range f.views {
		if index != f.leader && !f.cut[index] && !f.cut[f.leader] {
			report(f.now, view, leader)
		}
	}
	leader.Evaluate(f.now)
	if f.storeUp {
		snapshot, _ := leader.Snapshot(f.now)
		f.store, f.stored = snapshot.Encode(), leader.Standing(harmfulRun) == Quarantined
	}
	for index, view := range f.views {
		if index != f.leader && !f.cut[index] && !f.cut[f.leader] {
			tellAll(f.now, leader, view)
		}
	}
	f.note()
}

// note takes note of who knows the quarantine.
func (f *fleet) note() {
	for index, view := range f.views {
		f.heldAt[index] = view.Standing(harmfulRun) == Quarantined
	}
}

// crash sends the harmful request through a router, unless it refuses it.
func (f *fleet) crash(through int, caller byte) {
	one := attempt(1)
	one.Caller = callerAt(caller)
	if f.views[through].Standing(one.run()) == Quarantined {
		return
	}
	f.ended++
	f.views[through].RecordCrash(f.now, one, Crash{Worker: workers.ID(fmt.Sprint("w", f.ended)), At: f.now})
}

// read gives a view what is stored.
func (f *fleet) read(view *View) {
	if !f.storeUp || f.store == nil {
		return
	}
	snapshot, err := DecodeSnapshot(f.store)
	if err != nil {
		panic(err)
	}
	view.Merge(f.now, snapshot.Stored(f.now))
}

// restart lets a router begin anew with what is stored.
func (f *fleet) restart(index int) {
	f.views[index] = NewView()
	f.read(f.views[index])
	f.loaded = f.loaded && index != f.leader
}

// lead lets another router lead.
func (f *fleet) lead(index int) {
	f.leader, f.loaded = index, false
}

// lift lets an operator lift the quarantine, as far as it is stored.
func (f *fleet) lift() bool {
	if !f.storeUp || f.store == nil {
		return false
	}
	snapshot, _ := DecodeSnapshot(f.store)
	lifted, found := snapshot.Lift(f.now, attempt(1).Request)
	if !found {
		return false
	}
	f.store = lifted.Encode()
	f.read(f.views[f.leader])
	return true
}

// settle ends all disturbances and lets the bound pass in which all routers have to know.
func (f *fleet) settle() {
	f.cut, f.storeUp = [fleetRouters]bool{}, true
	for range knownAfter / exchangePause {
		f.exchange()
	}
}

// fleetEvents are what may happen, those more often that lead to more.
var fleetEvents = []string{
	"crash", "crash", "crash", "cut", "heal", "lead", "restart", "lose", "lose", "store", "store", "lift", "exchange", "exchange", "exchange",
}

// step plays one event. It reports whether the request was lifted.
func (f *fleet) step(t *rapid.T) (lifted bool) {
	f.now = f.now.Add(eventPause)
	index := rapid.IntRange(0, fleetRouters-1).Draw(t, "router")
	switch rapid.SampledFrom(fleetEvents).Draw(t, "event") {
	case "crash":
		f.crash(index, byte(rapid.IntRange(1, 3).Draw(t, "caller")))
	case "cut":
		f.cut[index] = true
	case "heal":
		f.cut[index] = false
	case "lead":
		f.lead(index)
	case "restart":
		f.restart(index)
	case "lose":
		f.restart(f.leader)
		f.lead(index)
	case "store":
		f.storeUp = !f.storeUp
	case "lift":
		lifted = f.lift()
	case "exchange":
		f.exchange()
	}
	f.note()
	return lifted
}

// known reports whether a quarantine is known that must not be lost.
func (f *fleet) known() bool {
	for _, held := range f.heldAt {
		if held {
			return true
		}
	}
	return f.stored
}

// endsKnown returns how many crashes of the harmful request a view knows.
func endsKnown(v *View) int {
	known := v.book.records[harmfulRun.Request]
	if known == nil {
		return 0
	}
	return len(known.ends())
}

// ends returns how many crashes the router knows that knows most.
func (f *fleet) ends() int {
	most := 0
	for _, view := range f.views {
		most = max(most, endsKnown(view))
	}
	return most
}

// Routers that stop, are cut off, lead in turn, or lose the store agree within the bound after the
// last disturbance; no quarantine that some router knows is lost, nor two crashes or more, and none
// that was lifted is back.
func TestRoutersAgreeOnAQuarantineWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		lifted := false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			lifted = f.step(t) || lifted
		}
		known, ends := f.known(), f.ends()
		f.settle()
		want := f.views[f.leader].Standing(harmfulRun)
		for index, view := range f.views {
			assert.Equal(t, view.Standing(harmfulRun) == Quarantined, want == Quarantined, "router %d, led by %d", index, f.leader)
		}
		if known && !lifted {
			assert.Equal(t, want, Quarantined)
		}
		if ends > 1 && !lifted {
			leader := endsKnown(f.views[f.leader])
			assert.Assert(t, leader >= min(ends, mostCrashes), "the leader knows %d crashes of %d", leader, ends)
		}
		before := f.ended
		for round := range 8 {
			f.now = f.now.Add(eventPause)
			f.crash(round%fleetRouters, byte(round))
			f.exchange()
		}
		assert.Assert(t, f.ended-before <= mostCrashes, "%d more workers ended", f.ended-before)

		f.settle()
		if f.lift() {
			f.settle()
			for index, view := range f.views {
				assert.Equal(t, view.Standing(harmfulRun), Unsuspected, "router %d", index)
			}
		}
	})
}
