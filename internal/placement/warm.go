package placement

import (
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// serverStart is when the planner has seen a run of a server for the first
// time.
type serverStart struct {
	incarnation wire.Incarnation
	at          time.Duration
	// warm runs were there before the planner.
	warm bool
}

// noteStarts remembers when each server has started, and sets how cold it is.
func (p *Planner) noteStarts(cell *cellView) {
	for name, node := range cell.servers {
		known := p.starts[name]
		if known.incarnation != node.Incarnation {
			known = serverStart{incarnation: node.Incarnation, at: cell.now, warm: !p.planned}
			p.starts[name] = known
		}
		if !known.warm {
			age := float64(cell.now-known.at) / float64(warmUp)
			node.coldness = max(0, 1-age)
		}
	}
	for name := range p.starts {
		if cell.servers[name] == nil {
			delete(p.starts, name)
		}
	}
	p.planned = true
}
