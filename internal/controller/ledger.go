package controller

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
)

// forgetAfter is how long a gateway is silent before it is forgotten as a
// server of the idempotency records. Machines come and go; no bundle lists
// gateways, so nothing else would ever forget one.
const forgetAfter = 30 * time.Second

// ledgerServers holds since when (Lower) a registered gateway has been silent.
type ledgerServers map[bundle.ServerName]time.Duration

// ledgerProposals forgets the gateways that have been silent for long and own
// nothing any more.
func (r *replica) ledgerProposals(now clock.Instant) []cellstate.Command {
	silent := r.leadership.ledger
	var commands []cellstate.Command
	for _, view := range r.leadership.servers {
		server := r.state.Servers[view.Name]
		if view.Live || server.Service != cellstate.LedgerService {
			delete(silent, view.Name)
			continue
		}
		if _, known := silent[view.Name]; !known {
			silent[view.Name] = now.Lower
		}
		if now.SurelyReached(silent[view.Name]+forgetAfter) && len(r.state.OwnedBy(view.Name)) == 0 {
			commands = append(commands, cellstate.Command{RemoveServer: &cellstate.RemoveServer{Server: view.Name}})
		}
	}
	return commands
}
