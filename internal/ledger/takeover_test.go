package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Why every gateway serves the ledger (docs/design/ledger.md): gateways that
// were all started anew pass for a new cell, and one more that remembers an
// owner is what stops them.
func TestOneWitnessStopsGatewaysStartedAnew(t *testing.T) {
	whole := keyspace.Range{Last: ^keyspace.Hash(0)}
	asked := []bundle.ServerName{}
	takeover := NewTakeover(whole)
	for number := range 4 {
		name := bundle.ServerName(fmt.Sprintf("gateway-%d", number))
		asked = append(asked, name)
		takeover.Answered(name, Testimony{})
	}
	assert.Assert(t, takeover.Complete(asked))
	takeover.Answered("witness", Testimony{Vouched: []Tenure{{Range: whole, Fence: wire.NewFence(1, 7), Round: 1}}})
	assert.Assert(t, !takeover.Complete(append(asked, "witness")))
}
