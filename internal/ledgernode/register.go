package ledgernode

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// pathRegister takes a cellstate.Server by POST on a controller.
const pathRegister = "/shalefork/v1/control/register"

// pathUnregister takes an unregistration by POST on a controller.
const pathUnregister = "/shalefork/v1/control/unregister"

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

// unregistration asks the controllers to forget one run of a gateway.
type unregistration struct {
	Name        bundle.ServerName `json:"name"`
	Incarnation wire.Incarnation  `json:"incarnation"`
}

// unregistered is a controller's answer to it.
type unregistered struct {
	Unregistered bool `json:"unregistered"`
}

// unregister tells the first controller that takes it that this gateway leaves.
// It returns false if none did within registerTimeout.
func (n *Node) unregister(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	message := unregistration{Name: n.self.Name, Incarnation: n.self.Incarnation}
	for _, address := range n.config.Controllers {
		if _, err := post[unregistered](limited, n.client, address, pathUnregister, message); err == nil {
			return true
		}
	}
	return false
}
