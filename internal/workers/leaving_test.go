package workers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

func TestWhatDoesNotEndAWorkersOwnWordThatItLeaves(t *testing.T) {
	first, second := Worker{ID: "w", Service: "s", State: StateReady, Born: 1}, Worker{ID: "w", Service: "s", State: StateReady, Born: 2}
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
			d.Leaves(test.entry.Life(), clock.Now().Add(-time.Second))
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

func TestAWorkerDrainsFromItsFirstWord(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Worker{{ID: "w", Service: "s", State: StateReady}}, nil, clock.Now())
	d.Leaves(Life{ID: "w"}, clock.Now().Add(-time.Second))
	d.Leaves(Life{ID: "w"}, clock.Now())
	d.Update([]Worker{{ID: "w", Service: "s", State: StateDraining}}, nil, nil)
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
}

func TestAWorkerThatIsNotAnnouncedIsKnownToLeave(t *testing.T) {
	d := NewDirectory()
	d.Leaves(Life{ID: "w"}, clock.Now().Add(-time.Second))
	assert.Assert(t, d.DrainingFor("w") >= time.Second)
	assert.Equal(t, d.DrainingFor("other"), time.Duration(0))
}

func TestTheWordOfWorkersThatAreLongGoneIsForgotten(t *testing.T) {
	d := NewDirectory()
	d.Leaves(Life{ID: "gone"}, clock.Now().Add(-2*goneMemory))
	d.Leaves(Life{ID: "lately"}, clock.Now())
	d.Replace(nil, nil, clock.Now())
	assert.Equal(t, len(d.leaving), 1)
}
