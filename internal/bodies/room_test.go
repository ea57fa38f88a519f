package bodies

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Whatever is taken and given back, a room never holds more than its limit, small bodies find
// room beside large ones, and all of it comes back.
func TestNoOrderOfBodiesExceedsTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 16 * MaxSmall
		room := NewMemoryBudget(limit)
		var open []*Spool
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "frees") == 0 {
				open[0].Free()
				open = open[1:]
				continue
			}
			length := rapid.IntRange(1, 4*MaxSmall).Draw(t, "length")
			one := NewSpool(room, length <= MaxSmall)
			whole, err := one.Fill(bytes.NewReader(make([]byte, length)), int64(length), 4*MaxSmall)
			assert.Assert(t, whole == (err == nil))
			if whole {
				assert.Equal(t, one.Length(), int64(length))
			}
			open = append(open, one)
			assert.Assert(t, room.Used() <= limit, "%d", room.Used())
		}
		for _, one := range open {
			one.Free()
			one.Free()
		}
		assert.Equal(t, room.Used(), int64(0))
	})
}

func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	room := NewMemoryBudget(8 * MaxSmall)
	assert.Assert(t, room.Reserve(7*MaxSmall))
	assert.Assert(t, !room.Reserve(1))
	assert.Assert(t, room.ReserveSmall(MaxSmall))
	assert.Assert(t, !room.ReserveSmall(1))
}

// A room that is full, and one that is no longer, is told once.
func TestAFullRoomIsToldOnce(t *testing.T) {
	var told []bool
	room := NewMemoryBudget(8 * MaxSmall)
	room.OnChange = func(full bool, _ int64) { told = append(told, full) }
	assert.Assert(t, room.Reserve(7*MaxSmall))
	for range 3 {
		assert.Assert(t, !room.Reserve(MaxSmall))
	}
	room.Release(2 * MaxSmall)
	assert.Assert(t, room.Reserve(MaxSmall))
	assert.Assert(t, !room.Reserve(2*MaxSmall))
	room.Release(6 * MaxSmall)
	assert.DeepEqual(t, told, []bool{true, false})
}

func TestALargeBodyWaitsForRoom(t *testing.T) {
	for name, c := range map[string]struct {
		givenAfter time.Duration
		taken      bool
	}{"given back in time": {givenAfter: 50 * time.Millisecond, taken: true}, "too late": {givenAfter: time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				room := NewMemoryBudget(8 * MaxSmall)
				assert.Assert(t, room.Reserve(7*MaxSmall))
				time.AfterFunc(c.givenAfter, func() { room.Release(MaxSmall) })
				began := time.Now()
				assert.Equal(t, room.ReserveWithin(t.Context(), MaxSmall, 100*time.Millisecond), c.taken)
				assert.Equal(t, time.Since(began), min(c.givenAfter, 100*time.Millisecond))
			})
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	room := NewMemoryBudget(1)
	assert.Assert(t, !room.ReserveWithin(ctx, MaxSmall, time.Minute))
}

// A body of known length takes no more memory than it has, and its bytes come out as they
// went in.
func TestASpoolHoldsItsBody(t *testing.T) {
	for name, c := range map[string]struct {
		length, known, most, taken int64
		whole                      bool
	}{
		"short":              {length: 10, known: 10, most: 100, taken: 10, whole: true},
		"empty":              {known: 0, most: 100, whole: true},
		"of some pieces":     {length: 60_000, known: 60_000, most: 1 << 20, taken: 60_000, whole: true},
		"in chunks":          {length: 5000, known: -1, most: 1 << 20, taken: firstPiece + pieceBytes, whole: true},
		"too long":           {length: 60_000, known: 60_000, most: 20_000, taken: 20_000},
		"too long in chunks": {length: 60_000, known: -1, most: 20_000, taken: 20_000},
		"ends at the most":   {length: 20_000, known: 20_000, most: 20_000, taken: 20_000, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			room, text := NewMemoryBudget(0), strings.Repeat("0123456789", int(c.length/10))
			s := NewSpool(room, false)
			from := strings.NewReader(text)
			whole, err := s.Fill(from, c.known, c.most)
			assert.NilError(t, err)
			assert.Equal(t, whole, c.whole)
			assert.Equal(t, room.Used(), c.taken)
			rest, err := io.ReadAll(from)
			assert.NilError(t, err)
			assert.Equal(t, string(bytes.Join(s.Pieces(), nil))+string(rest), text)
			assert.Equal(t, string(s.Prefix(17_000)), text[:min(17_000, int(s.Length()))])
		})
	}
}
