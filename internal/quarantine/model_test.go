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
	// modelRouters are the routers of a model.
	modelRouters = 4
	// eventInterval is the time between two events: more than the ages of one may be off.
	eventInterval = 2500 * time.Millisecond
	// exchangeInterval is the time between two exchanges with the leader.
	exchangeInterval = 500 * time.Millisecond
)

// fleet is a model of routers that share what they know of one harmful request, in virtual time.
// One of them leads; any may be cut off from it, and the leader from the store.
type model struct {
	now      time.Time
	views    [modelRouters]*View
	isolated [modelRouters]bool
	leader   int
	// loaded says that the leader has read what is stored.
	loaded  bool
	store   []byte
	storeUp bool
	crashes int
	// heldAt are the routers that know the request as quarantined; stored says that the store does.
	quarantinedAt [modelRouters]bool
	stored        bool
}

func newModel() *model {
	f := &model{now: start, storeUp: true}
	for index := range f.views {
		f.views[index] = NewView()
	}
	return f
}

var harmfulRun = attempt(1).callerRequest()

// exchange lets routers report, the leader store, and routers be told.
func (f *model) exchange() {
	f.now = f.now.Add(exchangeInterval)
	leader := f.views[f.leader]
	if !f.loaded && !f.storeUp {
		return
	}
	if !f.loaded {
		f.read(leader)
		f.loaded = true
	}
	for index, view := range f.views {
		if index != f.leader && !f.isolated[index] && !f.isolated[f.leader] {
			sendReport(f.now, view, leader)
		}
	}
	leader.Evaluate(f.now)
	if f.storeUp {
		snapshot, _ := leader.Snapshot(f.now)
		f.store, f.stored = snapshot.Encode(), leader.Standing(harmfulRun) == Quarantined
	}
	for index, view := range f.views {
		if index != f.leader && !f.isolated[index] && !f.isolated[f.leader] {
			sendUpdate(f.now, leader, view)
		}
	}
	f.updateQuarantined()
}

// note takes note of who knows the quarantine.
func (f *model) updateQuarantined() {
	for index, view := range f.views {
		f.quarantinedAt[index] = view.Standing(harmfulRun) == Quarantined
	}
}

// crash sends the harmful request through a router, unless it refuses it.
func (f *model) crash(through int, caller byte) {
	one := attempt(1)
	one.Caller = callerAt(caller)
	if f.views[through].Standing(one.callerRequest()) == Quarantined {
		return
	}
	f.crashes++
	f.views[through].RecordCrash(f.now, one, Crash{Worker: workers.ID(fmt.Sprint("w", f.crashes)), At: f.now})
}

// read gives a view what is stored.
func (f *model) read(view *View) {
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
func (f *model) restart(index int) {
	f.views[index] = NewView()
	f.read(f.views[index])
	f.loaded = f.loaded && index != f.leader
}

// lead lets another router lead.
func (f *model) lead(index int) {
	f.leader, f.loaded = index, false
}

// lift lets an operator lift the quarantine, as far as it is stored.
func (f *model) lift() bool {
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
func (f *model) settle() {
	f.isolated, f.storeUp = [modelRouters]bool{}, true
	for range propagationBound / exchangeInterval {
		f.exchange()
	}
}

// modelEvents are what may happen, those more often that lead to more.
var modelEvents = []string{
	"crash", "crash", "crash", "cut", "heal", "lead", "restart", "lose", "lose", "store", "store", "lift", "exchange", "exchange", "exchange",
}

// step plays one event. It reports whether the request was lifted.
func (f *model) step(t *rapid.T) (lifted bool) {
	f.now = f.now.Add(eventInterval)
	index := rapid.IntRange(0, modelRouters-1).Draw(t, "router")
	switch rapid.SampledFrom(modelEvents).Draw(t, "event") {
	case "crash":
		f.crash(index, byte(rapid.IntRange(1, 3).Draw(t, "caller")))
	case "cut":
		f.isolated[index] = true
	case "heal":
		f.isolated[index] = false
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
	f.updateQuarantined()
	return lifted
}

// known reports whether a quarantine is known that must not be lost.
func (f *model) isKnown() bool {
	for _, held := range f.quarantinedAt {
		if held {
			return true
		}
	}
	return f.stored
}

// crashesKnown returns how many crashes of the harmful request a view knows.
func crashesKnown(v *View) int {
	known := v.tracker.records[harmfulRun.Request]
	if known == nil {
		return 0
	}
	return len(known.crashTimes())
}

// ends returns how many crashes the router knows that knows most.
func (f *model) maxCrashesKnown() int {
	most := 0
	for _, view := range f.views {
		most = max(most, crashesKnown(view))
	}
	return most
}

// Routers that stop, are cut off, lead in turn, or lose the store agree within the bound after the
// last disturbance; no quarantine that some router knows is lost, nor two crashes or more, and none
// that was lifted is back.
func TestRoutersAgreeOnAQuarantineWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModel()
		lifted := false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			lifted = f.step(t) || lifted
		}
		known, ends := f.isKnown(), f.maxCrashesKnown()
		f.settle()
		want := f.views[f.leader].Standing(harmfulRun)
		for index, view := range f.views {
			assert.Equal(t, view.Standing(harmfulRun) == Quarantined, want == Quarantined, "router %d, led by %d", index, f.leader)
		}
		if known && !lifted {
			assert.Equal(t, want, Quarantined)
		}
		if ends > 1 && !lifted {
			leader := crashesKnown(f.views[f.leader])
			assert.Assert(t, leader >= min(ends, crashThreshold), "the leader knows %d crashes of %d", leader, ends)
		}
		before := f.crashes
		for round := range 8 {
			f.now = f.now.Add(eventInterval)
			f.crash(round%modelRouters, byte(round))
			f.exchange()
		}
		assert.Assert(t, f.crashes-before <= crashThreshold, "%d more workers ended", f.crashes-before)

		f.settle()
		if f.lift() {
			f.settle()
			for index, view := range f.views {
				assert.Equal(t, view.Standing(harmfulRun), Unsuspected, "router %d", index)
			}
		}
	})
}
