package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/wire"
)

// pathUnregister is a controller's path for gateways that leave.
const pathUnregister = "/shalefork/v1/control/unregister"

// A gateway that leaves is relieved of its copies first: the loss of the owner
// right after it is survived.
func TestOwnerIsLostAfterAGatewayLeft(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		for _, key := range []string{"a", "b", "c", "d"} {
			assert.Equal(t, c.book("g1", key, "x").body, "booked")
		}
		c.gateways["g2"].ledger.Leave(context.Background())
		assert.Equal(t, c.controller.unregistered.Load(), int64(1))
		c.lose("g2")
		c.own("g1", "g1", "g3")
		assert.Equal(t, c.book("g3", "e", "x").body, "booked")
		c.lose("g1")
		c.own("g3", "g1", "g3")
		for _, key := range []string{"a", "b", "c", "d", "e"} {
			assert.Equal(t, c.book("g3", key, "x").body, "booked")
		}
		assert.Equal(t, c.ran.Load(), int64(5))
		c.book("g3", "new", "x").refused(t, 503, wire.OutcomeNotRun, wire.ReasonLedgerUnready) // known to be new, but no second copy
	})
}

// A gateway without which no second copy can be held stays in the table, and
// takes no copies that its end would lose.
func TestGatewayThatIsNeededDoesNotLeave(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
		c.lose("g3")
		c.gateways["g2"].ledger.Leave(context.Background())
		assert.Equal(t, c.controller.unregistered.Load(), int64(0))
		c.book("g1", "new", "x").refused(t, 503, wire.OutcomeNotRun, wire.ReasonLedgerUnready)
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// An owner does not leave.
func TestOwnerDoesNotLeave(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		c.gateways["g1"].ledger.Leave(context.Background())
		assert.Equal(t, c.controller.unregistered.Load(), int64(0))
		assert.Equal(t, c.book("g2", "k", "x").body, "booked")
	})
}
