package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/settings"
)

// The limits of all ports together must leave most of the machine's memory and a third of its descriptors to
// bodies, workers and the process itself.
func TestGateLimitsFitTheMachine(t *testing.T) {
	for name, test := range map[string]struct {
		machine     settings.Machine
		descriptors int
	}{
		"as deployed":               {machine: settings.Machine{MemoryMB: 284, Descriptors: 4100}, descriptors: 1 << 20},
		"limit of the system":       {machine: settings.Machine{MemoryMB: 284}, descriptors: 4100},
		"few descriptors":           {machine: settings.Machine{MemoryMB: 284, Descriptors: 4100}, descriptors: 512},
		"little memory":             {machine: settings.Machine{MemoryMB: 64, Descriptors: 4100}, descriptors: 4100},
		"nothing known":             {},
		"memory known":              {machine: settings.Machine{MemoryMB: 8192}},
		"descriptors of the system": {descriptors: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			limits := gateLimits(test.machine, test.descriptors)
			memory := memoryBytes(test.machine)
			conns, bytes := 0, 0.0
			for port, limit := range limits {
				assert.Assert(t, limit.Conns >= 16 && limit.Bytes >= 64<<10, "%s: %+v", port, limit)
				conns += limit.Conns
				bytes += float64(limit.Bytes)
			}
			const parsed = 4 // the memory of a parsed message, as a multiple of its length
			assert.Assert(t, parsed*bytes <= 0.3*memory, "%v of %v bytes", parsed*bytes, memory)
			assert.Assert(t, float64(limits[portClients].Conns)*clientConnMemory <= 0.25*memory)
			for _, descriptors := range []int{test.descriptors, test.machine.Descriptors} {
				assert.Assert(t, descriptors == 0 || float64(conns) <= 0.8*float64(descriptors), "%d connections", conns)
			}
		})
	}
}
