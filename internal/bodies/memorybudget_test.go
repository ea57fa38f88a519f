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

// Whatever the order of reservations and releases, use never exceeds the limit, and all memory is
// returned in the end.
func TestMemoryBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 16 * MaxSmall
		budget := NewMemoryBudget(limit)
		var spools []*Spool
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(spools) > 0 && rapid.IntRange(0, 3).Draw(t, "frees") == 0 {
				spools[0].Free()
				spools = spools[1:]
				continue
			}
			length := rapid.IntRange(1, 4*MaxSmall).Draw(t, "length")
			spool := NewSpool(budget, length <= MaxSmall)
			complete, err := spool.Fill(bytes.NewReader(make([]byte, length)), int64(length), 4*MaxSmall)
			assert.Assert(t, complete == (err == nil))
			if complete {
				assert.Equal(t, spool.Length(), int64(length))
			}
			spools = append(spools, spool)
			assert.Assert(t, budget.Used() <= limit, "%d", budget.Used())
		}
		for _, spool := range spools {
			spool.Free()
			spool.Free()
		}
		assert.Equal(t, budget.Used(), int64(0))
	})
}

func TestLargeBodiesLeaveMemoryForSmallOnes(t *testing.T) {
	budget := NewMemoryBudget(8 * MaxSmall)
	assert.Assert(t, budget.Reserve(7*MaxSmall))
	assert.Assert(t, !budget.Reserve(1))
	assert.Assert(t, budget.ReserveSmall(MaxSmall))
	assert.Assert(t, !budget.ReserveSmall(1))
}

// OnChange is called once when the budget is exhausted, and once when memory is available again.
func TestExhaustedBudgetIsReportedOnce(t *testing.T) {
	var reports []bool
	budget := NewMemoryBudget(8 * MaxSmall)
	budget.OnChange = func(full bool, _ int64) { reports = append(reports, full) }
	assert.Assert(t, budget.Reserve(7*MaxSmall))
	for range 3 {
		assert.Assert(t, !budget.Reserve(MaxSmall))
	}
	budget.Release(2 * MaxSmall)
	assert.Assert(t, budget.Reserve(MaxSmall))
	assert.Assert(t, !budget.Reserve(2*MaxSmall))
	budget.Release(6 * MaxSmall)
	assert.DeepEqual(t, reports, []bool{true, false})
}

func TestLargeBodyWaitsForMemory(t *testing.T) {
	for name, c := range map[string]struct {
		releasedAfter time.Duration
		reserved      bool
	}{"released in time": {releasedAfter: 50 * time.Millisecond, reserved: true}, "too late": {releasedAfter: time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := NewMemoryBudget(8 * MaxSmall)
				assert.Assert(t, budget.Reserve(7*MaxSmall))
				time.AfterFunc(c.releasedAfter, func() { budget.Release(MaxSmall) })
				began := time.Now()
				assert.Equal(t, budget.ReserveWithin(t.Context(), MaxSmall, 100*time.Millisecond), c.reserved)
				assert.Equal(t, time.Since(began), min(c.releasedAfter, 100*time.Millisecond))
			})
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	budget := NewMemoryBudget(1)
	assert.Assert(t, !budget.ReserveWithin(ctx, MaxSmall, time.Minute))
}

// A body of declared length reserves no more memory than its length, and its bytes are unchanged.
func TestSpoolKeepsBody(t *testing.T) {
	for name, c := range map[string]struct {
		length, declared, limit, reserved int64
		complete                          bool
	}{
		"short":             {length: 10, declared: 10, limit: 100, reserved: 10, complete: true},
		"empty":             {declared: 0, limit: 100, complete: true},
		"several pieces":    {length: 60_000, declared: 60_000, limit: 1 << 20, reserved: 60_000, complete: true},
		"unknown length":    {length: 5000, declared: -1, limit: 1 << 20, reserved: firstPieceSize + pieceSize, complete: true},
		"too long":          {length: 60_000, declared: 60_000, limit: 20_000, reserved: 20_000},
		"too long, chunked": {length: 60_000, declared: -1, limit: 20_000, reserved: 20_000},
		"exactly the limit": {length: 20_000, declared: 20_000, limit: 20_000, reserved: 20_000, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			budget, text := NewMemoryBudget(0), strings.Repeat("0123456789", int(c.length/10))
			s := NewSpool(budget, false)
			from := strings.NewReader(text)
			complete, err := s.Fill(from, c.declared, c.limit)
			assert.NilError(t, err)
			assert.Equal(t, complete, c.complete)
			assert.Equal(t, budget.Used(), c.reserved)
			rest, err := io.ReadAll(from)
			assert.NilError(t, err)
			assert.Equal(t, string(bytes.Join(s.Pieces(), nil))+string(rest), text)
			assert.Equal(t, string(s.Prefix(17_000)), text[:min(17_000, int(s.Length()))])
		})
	}
}
