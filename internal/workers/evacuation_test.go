package workers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func inZone(id ID, zone string) Worker {
	one := worker(id, StateReady)
	one.Zone = zone
	return one
}

func TestWorkersInEvacuatedZoneAreNotUsable(t *testing.T) {
	for name, c := range map[string]struct {
		zones  []string
		usable int
	}{
		"none":                {usable: 3},
		"one":                 {zones: []string{"a"}, usable: 1},
		"all":                 {zones: []string{"a", "b"}},
		"one without workers": {zones: []string{"c"}, usable: 3},
	} {
		t.Run(name, func(t *testing.T) {
			directory := NewDirectory()
			directory.Replace([]Worker{inZone("1", "a"), inZone("2", "b")}, nil, time.Now())
			directory.SetEvacuated(c.zones, time.Now())
			directory.Update([]Worker{inZone("3", "a")}, nil, nil) // added during the evacuation
			usable, _ := directory.Usable("s")
			assert.Equal(t, len(usable), c.usable)
			list, _ := directory.ByService("s")
			assert.Equal(t, len(list), 3, "they are still announced")
		})
	}
}

func TestEvacuationTimeCountsFromEarliestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		assert.Assert(t, directory.SetEvacuated([]string{"a"}, time.Now()))
		time.Sleep(time.Second)
		assert.Assert(t, !directory.SetEvacuated([]string{"a"}, time.Time{}), "already known")
		assert.Equal(t, directory.EvacuatedFor("a"), time.Second)
		assert.Assert(t, directory.SetEvacuated([]string{"a", "b"}, time.Time{}))
		assert.Assert(t, directory.EvacuatedFor("b") > time.Hour, "found in a list")
		assert.DeepEqual(t, directory.EvacuatedZones(), []string{"a", "b"})
		assert.Assert(t, directory.SetEvacuated(nil, time.Time{}))
		assert.Equal(t, directory.EvacuatedFor("a"), time.Duration(0))
	})
}

// The workers of a zone may have turned cold before it is restored, and report that only with their
// next entries.
func TestWorkersOfRestoredZoneCountAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		longCold := inZone("2", "a")
		longCold.WarmAt = time.Now().Add(time.Minute)
		directory.Replace([]Worker{inZone("1", "a"), longCold, inZone("3", "b")}, nil, time.Now())
		directory.SetEvacuated([]string{"a"}, time.Now())
		time.Sleep(time.Second)
		directory.SetEvacuated(nil, time.Now())
		for id, cold := range map[ID]time.Duration{"1": assumedColdTime, "2": time.Minute - time.Second} {
			known, _ := directory.Get(id)
			assert.Equal(t, time.Until(known.WarmAt), cold, id)
		}
		other, _ := directory.Get("3")
		assert.Assert(t, other.WarmAt.IsZero())
	})
}
