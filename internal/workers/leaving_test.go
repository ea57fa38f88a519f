package workers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/clock"
)

func TestLeavingEndsOnlyWithTheIncarnation(t *testing.T) {
	first, second := Worker{ID: "w", Service: "s", State: StateReady, StartTime: 1}, Worker{ID: "w", Service: "s", State: StateReady, StartTime: 2}
	withoutStartTime := Worker{ID: "w", Service: "s", State: StateReady}
	for name, test := range map[string]struct {
		entry Worker
		then  func(*Directory)
		ready bool
	}{
		"nothing":                            {entry: first, then: func(*Directory) {}},
		"a ready entry":                      {entry: first, then: func(d *Directory) { d.Update([]Worker{first}, nil, nil) }},
		"a list with a ready entry":          {entry: first, then: func(d *Directory) { d.Replace([]Worker{first}, nil, clock.Now()) }},
		"an entry that vanishes and returns": {entry: first, then: func(d *Directory) { d.Update(nil, []ID{"w"}, nil); d.Update([]Worker{first}, nil, nil) }},
		"an entry without a start time":      {entry: first, then: func(d *Directory) { d.Update([]Worker{withoutStartTime}, nil, nil) }},
		"another incarnation":                {entry: first, then: func(d *Directory) { d.Update([]Worker{second}, nil, nil) }, ready: true},
		"another incarnation in a list":      {entry: first, then: func(d *Directory) { d.Replace([]Worker{second}, nil, clock.Now()) }, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Replace([]Worker{test.entry, {ID: "other", Service: "s", State: StateReady}}, nil, clock.Now())
			_, version := d.Usable("s")
			d.MarkLeaving(test.entry.Incarnation(), clock.Now().Add(-time.Second))
			list, later := d.Usable("s")
			assert.Equal(t, len(list), 1)
			assert.Assert(t, later != version, "the version changes, so that cached lookups are repeated")
			assert.Assert(t, d.DrainingFor("w") >= time.Second)
			test.then(d)
			worker, _ := d.Get("w")
			assert.Equal(t, worker.State == StateReady, test.ready)
			assert.Equal(t, d.DrainingFor("w") == 0, test.ready)
		})
	}
}

func TestLeavingWithoutStartTimeAppliesToOneIncarnation(t *testing.T) {
	first, second := Worker{ID: "w", Service: "s", State: StateReady, StartTime: 1}, Worker{ID: "w", Service: "s", State: StateReady, StartTime: 2}
	d := NewDirectory()
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now().Add(-time.Second))
	d.Replace([]Worker{first}, nil, clock.Now())
	worker, _ := d.Get("w")
	assert.Equal(t, worker.State, StateDraining)
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
	d.Update(nil, []ID{"w"}, nil)
	d.Update([]Worker{second}, nil, nil)
	worker, _ = d.Get("w")
	assert.Equal(t, worker.State, StateReady)
}

func TestDrainCountsFromFirstReport(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Worker{{ID: "w", Service: "s", State: StateReady}}, nil, clock.Now())
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now().Add(-time.Second))
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now())
	d.Update([]Worker{{ID: "w", Service: "s", State: StateDraining}}, nil, nil)
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
}

func TestLeavingIsKnownForUnannouncedWorker(t *testing.T) {
	d := NewDirectory()
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now().Add(-time.Second))
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
	assert.Equal(t, d.DrainingFor("other"), time.Duration(0))
}

func TestLeavingIsForgottenLongAfterWorkerIsGone(t *testing.T) {
	d := NewDirectory()
	d.MarkLeaving(Incarnation{ID: "gone"}, clock.Now().Add(-2*goneRetention))
	d.MarkLeaving(Incarnation{ID: "lately"}, clock.Now())
	d.Replace(nil, nil, clock.Now())
	assert.Equal(t, len(d.leaving), 1)
}

// leavingModel is a directory, with the incarnations that have reported that they are leaving, and
// since when.
type leavingModel struct {
	directory    *Directory
	leavingSince map[Incarnation]time.Time
}

func drawIncarnation(t *rapid.T) Incarnation {
	return Incarnation{ID: rapid.SampledFrom([]ID{"a", "b"}).Draw(t, "worker"), StartTime: StartTime(rapid.IntRange(1, 3).Draw(t, "born"))}
}

func drawWorker(t *rapid.T) Worker {
	incarnation := drawIncarnation(t)
	state := rapid.SampledFrom([]State{StateReady, StateReady, StateDraining}).Draw(t, "state")
	return Worker{ID: incarnation.ID, StartTime: incarnation.StartTime, Service: "s", State: state}
}

// markLeaving lets an incarnation report that it is leaving, known since some time ago.
func (m *leavingModel) markLeaving(t *rapid.T) {
	incarnation := drawIncarnation(t)
	since := clock.Now().Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "ago")) * time.Second)
	m.directory.MarkLeaving(incarnation, since)
	if before, known := m.leavingSince[incarnation]; !known || since.Before(before) {
		m.leavingSince[incarnation] = since
	}
}

// check compares each announced worker with the reports of its incarnation.
func (m *leavingModel) check(t *rapid.T) {
	usable, _ := m.directory.Usable("s")
	for _, id := range []ID{"a", "b"} {
		worker, announced := m.directory.Get(id)
		if !announced {
			continue
		}
		since, leaving := m.leavingSince[worker.Incarnation()]
		if leaving && worker.State != StateDraining {
			t.Fatalf("%v is leaving, but its state is %s", worker.Incarnation(), worker.State)
		}
		least := clock.Since(since)
		if got := m.directory.DrainingFor(id); leaving && got < least {
			t.Fatalf("%v has been draining for %s, less than %s", worker.Incarnation(), got, least)
		}
		for _, one := range usable {
			if leaving && one.ID == id {
				t.Fatalf("%v gets new work", worker.Incarnation())
			}
		}
	}
}

func TestLeavingWorkerIsNotUsableInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leavingModel{directory: NewDirectory(), leavingSince: map[Incarnation]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"an incarnation reports that it is leaving": m.markLeaving,
			"an entry is written":                       func(t *rapid.T) { m.directory.Update([]Worker{drawWorker(t)}, nil, nil) },
			"an entry vanishes": func(t *rapid.T) {
				m.directory.Update(nil, []ID{rapid.SampledFrom([]ID{"a", "b"}).Draw(t, "worker")}, nil)
			},
			"a list is read": func(t *rapid.T) {
				m.directory.Replace(rapid.SliceOfNDistinct(rapid.Custom(drawWorker), 0, 2, func(w Worker) ID { return w.ID }).Draw(t, "list"), nil, clock.Now())
			},
			"the store was unreachable": func(*rapid.T) { m.directory.BeginSettling(clock.Now().Add(time.Hour)) },
			"settling ends":             func(*rapid.T) { m.directory.EndSettling() },
			"":                          m.check,
		})
	})
}

func TestOtherIncarnationsKeepTheStateOfTheirEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, worker, other := NewDirectory(), drawWorker(t), drawIncarnation(t)
		d.MarkLeaving(other, clock.Now())
		d.Update([]Worker{worker}, nil, nil)
		got, _ := d.Get(worker.ID)
		if other != worker.Incarnation() && got.State != worker.State {
			t.Fatalf("%v is %s, but %s in its entry", worker.Incarnation(), got.State, worker.State)
		}
	})
}
