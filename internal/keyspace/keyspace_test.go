package keyspace

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSplitEvenlyCoversEveryHashOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 5000).Draw(t, "count")
		ranges := SplitEvenly(count)
		assert.Equal(t, len(ranges), max(1, count))
		next := Hash(0)
		for _, part := range ranges {
			assert.Equal(t, part.First, next)
			assert.Assert(t, part.Last >= part.First)
			next = part.Last + 1
		}
		assert.Equal(t, next, Hash(0), "the last range must end at the highest hash")
	})
}

func TestWidthOfFullRange(t *testing.T) {
	assert.Equal(t, FullRange().Width(), 1.0)
}

func TestOverlapsOnlyWithinAPartition(t *testing.T) {
	slice := Slice{Service: "t/s", Partition: "a", Range: FullRange()}
	other := slice
	other.Partition = "b"
	assert.Assert(t, slice.Overlaps(slice))
	assert.Assert(t, !slice.Overlaps(other))
}
