package ledgernode

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// One log entry can assign many slices, all under its fence. Each takeover must
// hear what was vouched for in its own range, and hear it again if it asks again.
func TestTestimonyIsOfTheRangeAsked(t *testing.T) {
	node := New(Config{Cell: "casa", Self: "system/ledger/g1"}, Dependencies{Clock: clock.NewVirtual()})
	halves := keyspace.SplitEvenly(2)
	for _, half := range halves {
		assert.Assert(t, node.vouch(ledger.Tenure{Range: half, Fence: wire.NewFence(1, 7)}))
	}
	for range 2 {
		for _, half := range halves {
			asked := ledger.CollectRequest{Cell: "casa", Range: half, Fence: wire.NewFence(2, 6)}
			said, _, ok := node.testify(asked)
			assert.Assert(t, ok)
			assert.Equal(t, len(said.Vouched), 1)
			assert.Equal(t, said.Vouched[0].Range, half)
		}
	}
}
