package ledgernode

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/ledger"
)

// pathRegister takes a cellstate.Server by POST on a controller.
const pathRegister = "/shalefork/v1/control/register"

// registerTimeout bounds the wait for one controller.
const registerTimeout = time.Second

// registered is a controller's answer to a registration.
type registered struct {
	Registered bool `json:"registered"`
}

// register offers this gateway as a server of the ledger to the first
// controller that takes it.
func (n *Node) register(ctx context.Context) {
	server := cellstate.Server{
		Name:        n.config.Self,
		Service:     ledger.Service,
		Address:     n.config.Address,
		Zone:        n.config.Zone,
		Incarnation: n.self.Incarnation,
	}
	for _, address := range n.config.Controllers {
		limited, cancel := context.WithTimeout(ctx, registerTimeout)
		answer, err := post[registered](limited, n.client, address, pathRegister, server)
		cancel()
		if err == nil {
			n.metrics.Registrations.WithLabelValues(resultOf(answer.Registered)).Inc()
			return
		}
	}
	n.metrics.Registrations.WithLabelValues(resultFailed).Inc()
}
