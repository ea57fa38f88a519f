package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEventsRunInOrderOfTimeThenOfPlanning(t *testing.T) {
	scheduler := NewScheduler()
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	scheduler.After(2*time.Second, note("late"))
	scheduler.After(time.Second, note("first"))
	scheduler.After(time.Second, note("second"))
	scheduler.After(time.Second, note("stopped")).Stop()
	scheduler.After(3*time.Second, note("never"))
	scheduler.Run(2 * time.Second)
	assert.DeepEqual(t, order, []string{"first", "second", "late"})
	assert.Equal(t, scheduler.Now(), 2*time.Second)
}

func TestZipfDrawsByShare(t *testing.T) {
	zipf := NewZipf(100, 1)
	random := Random(1, "test")
	first := 0
	for range 10000 {
		if zipf.Draw(random) == 0 {
			first++
		}
	}
	share := float64(first) / 10000
	assert.Assert(t, share > zipf.Share(0)-0.02 && share < zipf.Share(0)+0.02, "%v of %v", share, zipf.Share(0))
}
