package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdvanceBoundsElapsedTimeThroughAFreeze(t *testing.T) {
	start := sample{monotonic: 10 * time.Second, boot: 10 * time.Second, wall: 100 * time.Second}
	cases := []struct {
		name string
		to   sample
		want Instant
	}{
		{
			name: "all clocks agree",
			to:   sample{monotonic: 11 * time.Second, boot: 11 * time.Second, wall: 101 * time.Second},
			want: Exact(time.Second),
		},
		{
			name: "monotonic stood still while the machine was suspended",
			to:   sample{monotonic: 10 * time.Second, boot: 15 * time.Second, wall: 105 * time.Second},
			want: Instant{Upper: 5 * time.Second, Lower: 0},
		},
		{
			name: "only the wall clock saw the freeze of a virtual machine",
			to:   sample{monotonic: 10 * time.Second, boot: 10 * time.Second, wall: 160 * time.Second},
			want: Instant{Upper: time.Minute, Lower: 0},
		},
		{
			name: "the wall clock was set back",
			to:   sample{monotonic: 12 * time.Second, boot: 12 * time.Second, wall: 40 * time.Second},
			want: Instant{Upper: 2 * time.Second, Lower: 0},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, advance(Instant{}, start, test.to), test.want)
		})
	}
}

func TestSystemNeverGoesBack(t *testing.T) {
	source := NewSystem()
	previous := source.Now()
	for range 1000 {
		now := source.Now()
		assert.Assert(t, now.Upper >= previous.Upper)
		assert.Assert(t, now.Lower >= previous.Lower)
		assert.Assert(t, now.Upper >= now.Lower)
		previous = now
	}
}

func TestHolderStopsBeforeWaiterTakes(t *testing.T) {
	now := Instant{Upper: 5 * time.Second, Lower: time.Second}
	assert.Assert(t, now.HolderExpired(3*time.Second))
	assert.Assert(t, !now.SurelyReached(3*time.Second))
}
