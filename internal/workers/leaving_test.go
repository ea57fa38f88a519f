package workers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/clock"
)

func TestWhatDoesNotEndAWorkersOwnWordThatItLeaves(t *testing.T) {
	first, second := Worker{ID: "w", Service: "s", State: StateReady, StartTime: 1}, Worker{ID: "w", Service: "s", State: StateReady, StartTime: 2}
	unborn := Worker{ID: "w", Service: "s", State: StateReady}
	for name, test := range map[string]struct {
		entry Worker
		then  func(*Directory)
		ready bool
	}{
		"nothing":                               {entry: first, then: func(*Directory) {}},
		"an entry that says ready":              {entry: first, then: func(d *Directory) { d.Update([]Worker{first}, nil, nil) }},
		"a list that says ready":                {entry: first, then: func(d *Directory) { d.Replace([]Worker{first}, nil, clock.Now()) }},
		"an entry that goes and is back":        {entry: first, then: func(d *Directory) { d.Update(nil, []ID{"w"}, nil); d.Update([]Worker{first}, nil, nil) }},
		"an entry that does not tell its life":  {entry: first, then: func(d *Directory) { d.Update([]Worker{unborn}, nil, nil) }},
		"another life":                          {entry: first, then: func(d *Directory) { d.Update([]Worker{second}, nil, nil) }, ready: true},
		"another life without an entry between": {entry: first, then: func(d *Directory) { d.Replace([]Worker{second}, nil, clock.Now()) }, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Replace([]Worker{test.entry, {ID: "other", Service: "s", State: StateReady}}, nil, clock.Now())
			_, version := d.Usable("s")
			d.MarkLeaving(test.entry.Incarnation(), clock.Now().Add(-time.Second))
			list, later := d.Usable("s")
			assert.Equal(t, len(list), 1)
			assert.Assert(t, later != version, "who has looked the workers up looks again")
			assert.Assert(t, d.DrainingFor("w") >= time.Second)
			test.then(d)
			worker, _ := d.Get("w")
			assert.Equal(t, worker.State == StateReady, test.ready)
			assert.Equal(t, d.DrainingFor("w") == 0, test.ready)
		})
	}
}

func TestAWordOfALifeThatWasNotKnownHoldsForOneLife(t *testing.T) {
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

func TestAWorkerDrainsFromItsFirstWord(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Worker{{ID: "w", Service: "s", State: StateReady}}, nil, clock.Now())
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now().Add(-time.Second))
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now())
	d.Update([]Worker{{ID: "w", Service: "s", State: StateDraining}}, nil, nil)
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
}

func TestAWorkerThatIsNotAnnouncedIsKnownToLeave(t *testing.T) {
	d := NewDirectory()
	d.MarkLeaving(Incarnation{ID: "w"}, clock.Now().Add(-time.Second))
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
	assert.Equal(t, d.DrainingFor("other"), time.Duration(0))
}

func TestTheWordOfWorkersThatAreLongGoneIsForgotten(t *testing.T) {
	d := NewDirectory()
	d.MarkLeaving(Incarnation{ID: "gone"}, clock.Now().Add(-2*goneMemory))
	d.MarkLeaving(Incarnation{ID: "lately"}, clock.Now())
	d.Replace(nil, nil, clock.Now())
	assert.Equal(t, len(d.leaving), 1)
}

// leavingModel is a directory, and which lives have said that they leave, since when.
type leavingModel struct {
	directory *Directory
	said      map[Incarnation]time.Time
}

func drawLife(t *rapid.T) Incarnation {
	return Incarnation{ID: rapid.SampledFrom([]ID{"a", "b"}).Draw(t, "worker"), StartTime: StartTime(rapid.IntRange(1, 3).Draw(t, "born"))}
}

func drawWorker(t *rapid.T) Worker {
	life := drawLife(t)
	state := rapid.SampledFrom([]State{StateReady, StateReady, StateDraining}).Draw(t, "state")
	return Worker{ID: life.ID, StartTime: life.StartTime, Service: "s", State: state}
}

// leaves lets a life say that it leaves, known since some time ago.
func (m *leavingModel) leaves(t *rapid.T) {
	life := drawLife(t)
	since := clock.Now().Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "ago")) * time.Second)
	m.directory.MarkLeaving(life, since)
	if before, known := m.said[life]; !known || since.Before(before) {
		m.said[life] = since
	}
}

// check compares each announced worker with what its life has said.
func (m *leavingModel) check(t *rapid.T) {
	usable, _ := m.directory.Usable("s")
	for _, id := range []ID{"a", "b"} {
		worker, announced := m.directory.Get(id)
		if !announced {
			continue
		}
		since, said := m.said[worker.Incarnation()]
		if said && worker.State != StateDraining {
			t.Fatalf("%v has said that it leaves, and is %s", worker.Incarnation(), worker.State)
		}
		least := clock.Since(since)
		if got := m.directory.DrainingFor(id); said && got < least {
			t.Fatalf("%v leaves for %s, of %s", worker.Incarnation(), got, least)
		}
		for _, one := range usable {
			if said && one.ID == id {
				t.Fatalf("%v gets new work", worker.Incarnation())
			}
		}
	}
}

func TestNoOrderOfEntriesAndWordsMakesALeavingWorkerUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leavingModel{directory: NewDirectory(), said: map[Incarnation]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"a life says that it leaves": m.leaves,
			"an entry is written":        func(t *rapid.T) { m.directory.Update([]Worker{drawWorker(t)}, nil, nil) },
			"an entry goes": func(t *rapid.T) {
				m.directory.Update(nil, []ID{rapid.SampledFrom([]ID{"a", "b"}).Draw(t, "worker")}, nil)
			},
			"a list is read": func(t *rapid.T) {
				m.directory.Replace(rapid.SliceOfNDistinct(rapid.Custom(drawWorker), 0, 2, func(w Worker) ID { return w.ID }).Draw(t, "list"), nil, clock.Now())
			},
			"the store is away": func(*rapid.T) { m.directory.BeginSettling(clock.Now().Add(time.Hour)) },
			"the store is back": func(*rapid.T) { m.directory.EndSettling() },
			"":                  m.check,
		})
	})
}

func TestALifeThatSaidNothingIsAsItsEntrySays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, worker, other := NewDirectory(), drawWorker(t), drawLife(t)
		d.MarkLeaving(other, clock.Now())
		d.Update([]Worker{worker}, nil, nil)
		got, _ := d.Get(worker.ID)
		if other != worker.Incarnation() && got.State != worker.State {
			t.Fatalf("%v is %s, its entry says %s", worker.Incarnation(), got.State, worker.State)
		}
	})
}
