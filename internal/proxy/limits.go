package proxy

import (
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Limits keep workers within the limits that they name, over all routers together. They are safe
// for concurrent use.
type Limits interface {
	// Limited reports whether a worker names a limit.
	Limited(worker workers.Life) bool
	// Answered takes what an answer says of its worker's limit.
	Answered(worker workers.Life, answer *upstream.Result)
}

// watchLimit learns from the end of a send whether its worker names a limit.
func (c *call) watchLimit(worker *workers.Worker, got *upstream.Result) {
	limits := c.proxy.Limits
	if limits == nil {
		return
	}
	if limits.Limited(worker.Life()) {
		c.proxy.Metrics.limited(c.service.Name)
	}
	limits.Answered(worker.Life(), got)
}
