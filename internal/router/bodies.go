package router

import (
	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/decision"
)

const (
	// bodiesShare is the share of the machine's memory for bodies in flight. About as much is
	// garbage that the collector has not reclaimed yet; the rest is for the process itself.
	bodiesShare = 0.25
	// bytesInMegabyte converts the setting to bytes.
	bytesInMegabyte = 1 << 20
)

// newMemoryBudget returns the memory budget for bodies in flight. It logs when the budget is
// exhausted and when it is available again.
func (r *Router) newMemoryBudget() *bodies.MemoryBudget {
	budget := bodies.NewMemoryBudget(int64(bodiesShare * r.settings.Machine.MemoryMB * bytesInMegabyte))
	budget.OnChange = func(full bool, used int64) {
		r.log.Line(decision.KindBodies).Bool("full", full).Int64("used", used).Int64("limit", budget.Limit()).Msg("")
	}
	return budget
}
