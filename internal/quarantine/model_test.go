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
	// modelRouters is the number of routers of a model.
	modelRouters = 4
	// eventInterval is the time between two events: longer than maxAgeError.
	eventInterval = 2500 * time.Millisecond
	// exchangeInterval is the time between two exchanges with the leader.
	exchangeInterval = 500 * time.Millisecond
)

// model is a model, in virtual time, of routers that share evidence about one harmful request. One
// of them leads; any may be isolated from it, and the store may be unreachable.
type model struct {
	now      time.Time
	views    [modelRouters]*View
	isolated [modelRouters]bool
	leader   int
	// loaded says that the leader has read the stored snapshot.
	loaded  bool
	store   []byte
	storeUp bool
	crashes int
	// knowsQuarantine are the routers where the request is quarantined; stored says that the
	// quarantine is stored.
	knowsQuarantine [modelRouters]bool
	stored          bool
}

func newModel() *model {
	m := &model{now: start, storeUp: true}
	for index := range m.views {
		m.views[index] = NewView()
	}
	return m
}

var harmfulRequest = attempt(1).callerRequest()

// exchange sends the routers' reports, stores the leader's snapshot, and sends it to the routers.
func (m *model) exchange() {
	m.now = m.now.Add(exchangeInterval)
	leader := m.views[m.leader]
	if !m.loaded && !m.storeUp {
		return
	}
	if !m.loaded {
		m.read(leader)
		m.loaded = true
	}
	for index, view := range m.views {
		if index != m.leader && !m.isolated[index] && !m.isolated[m.leader] {
			sendReport(m.now, view, leader)
		}
	}
	leader.Evaluate(m.now)
	if m.storeUp {
		snapshot, _ := leader.Snapshot(m.now)
		m.store, m.stored = snapshot.Encode(), leader.Standing(harmfulRequest) == Quarantined
	}
	for index, view := range m.views {
		if index != m.leader && !m.isolated[index] && !m.isolated[m.leader] {
			sendUpdate(m.now, leader, view)
		}
	}
	m.updateQuarantined()
}

// updateQuarantined updates which routers know the quarantine.
func (m *model) updateQuarantined() {
	for index, view := range m.views {
		m.knowsQuarantine[index] = view.Standing(harmfulRequest) == Quarantined
	}
}

// crash sends the harmful request through a router, unless the router rejects it.
func (m *model) crash(through int, caller byte) {
	sent := attempt(1)
	sent.Caller = callerAt(caller)
	if m.views[through].Standing(sent.callerRequest()) == Quarantined {
		return
	}
	m.crashes++
	m.views[through].RecordCrash(m.now, sent, Crash{Worker: workers.ID(fmt.Sprint("w", m.crashes)), At: m.now})
}

// read merges the stored snapshot into a view.
func (m *model) read(view *View) {
	if !m.storeUp || m.store == nil {
		return
	}
	snapshot, err := DecodeSnapshot(m.store)
	if err != nil {
		panic(err)
	}
	view.Merge(m.now, snapshot.StoredRecords(m.now))
}

// restart restarts a router with the stored snapshot.
func (m *model) restart(index int) {
	m.views[index] = NewView()
	m.read(m.views[index])
	m.loaded = m.loaded && index != m.leader
}

// lead makes a router the leader.
func (m *model) lead(index int) {
	m.leader, m.loaded = index, false
}

// lift lifts the quarantine as an operator does, in the stored snapshot; false if it is not stored.
func (m *model) lift() bool {
	if !m.storeUp || m.store == nil {
		return false
	}
	snapshot, _ := DecodeSnapshot(m.store)
	lifted, found := snapshot.Lift(m.now, attempt(1).Request)
	if !found {
		return false
	}
	m.store = lifted.Encode()
	m.read(m.views[m.leader])
	return true
}

// settle ends all failures and waits until all routers must know the quarantine.
func (m *model) settle() {
	m.isolated, m.storeUp = [modelRouters]bool{}, true
	for range propagationBound / exchangeInterval {
		m.exchange()
	}
}

// modelEvents are the events; those that occur more often are listed repeatedly.
var modelEvents = []string{
	"crash", "crash", "crash", "cut", "heal", "lead", "restart", "lose", "lose", "store", "store", "lift", "exchange", "exchange", "exchange",
}

// step simulates one event. It reports whether the request was lifted.
func (m *model) step(t *rapid.T) (lifted bool) {
	m.now = m.now.Add(eventInterval)
	index := rapid.IntRange(0, modelRouters-1).Draw(t, "router")
	switch rapid.SampledFrom(modelEvents).Draw(t, "event") {
	case "crash":
		m.crash(index, byte(rapid.IntRange(1, 3).Draw(t, "caller")))
	case "cut":
		m.isolated[index] = true
	case "heal":
		m.isolated[index] = false
	case "lead":
		m.lead(index)
	case "restart":
		m.restart(index)
	case "lose":
		m.restart(m.leader)
		m.lead(index)
	case "store":
		m.storeUp = !m.storeUp
	case "lift":
		lifted = m.lift()
	case "exchange":
		m.exchange()
	}
	m.updateQuarantined()
	return lifted
}

// isKnown reports whether some router or the store knows the quarantine, which then must not be
// lost.
func (m *model) isKnown() bool {
	for _, knows := range m.knowsQuarantine {
		if knows {
			return true
		}
	}
	return m.stored
}

// crashesKnown returns how many crashes of the harmful request a view knows.
func crashesKnown(v *View) int {
	record := v.tracker.records[harmfulRequest.Request]
	if record == nil {
		return 0
	}
	return len(record.crashTimes())
}

// maxCrashesKnown returns the largest number of crashes that a router knows.
func (m *model) maxCrashesKnown() int {
	count := 0
	for _, view := range m.views {
		count = max(count, crashesKnown(view))
	}
	return count
}

// Routers that restart, are isolated, lead in turn, or lose the store agree within the bound after
// the last failure. No quarantine that some router knows is lost, nor are two or more crashes, and
// no lifted quarantine returns.
func TestRoutersAgreeOnQuarantineAcrossFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		lifted := false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			lifted = m.step(t) || lifted
		}
		known, crashes := m.isKnown(), m.maxCrashesKnown()
		m.settle()
		want := m.views[m.leader].Standing(harmfulRequest)
		for index, view := range m.views {
			assert.Equal(t, view.Standing(harmfulRequest) == Quarantined, want == Quarantined, "router %d, led by %d", index, m.leader)
		}
		if known && !lifted {
			assert.Equal(t, want, Quarantined)
		}
		if crashes > 1 && !lifted {
			leader := crashesKnown(m.views[m.leader])
			assert.Assert(t, leader >= min(crashes, crashThreshold), "the leader knows %d crashes of %d", leader, crashes)
		}
		before := m.crashes
		for round := range 8 {
			m.now = m.now.Add(eventInterval)
			m.crash(round%modelRouters, byte(round))
			m.exchange()
		}
		assert.Assert(t, m.crashes-before <= crashThreshold, "%d more workers crashed", m.crashes-before)

		m.settle()
		if m.lift() {
			m.settle()
			for index, view := range m.views {
				assert.Equal(t, view.Standing(harmfulRequest), Unsuspected, "router %d", index)
			}
		}
	})
}
