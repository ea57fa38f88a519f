package router

import (
	"sync"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// strangeZones are the zones of workers whose region the settings do not tell, each of which
// is a region of its own. They are told once each. It is safe for concurrent use.
type strangeZones struct {
	mu   sync.Mutex
	told map[string]bool
}

// note tells a worker's zone if nothing is known of it.
func (z *strangeZones) note(places topology.Map, worker workers.Worker, log *decision.Log) {
	if places.Known(topology.Zone(worker.Zone)) || !z.first(worker.Zone) {
		return
	}
	log.Line(decision.KindZoneUnknown).Str("zone", worker.Zone).Str("worker", string(worker.ID)).Msg("")
}

// first reports whether a zone is seen for the first time.
func (z *strangeZones) first(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.told == nil {
		z.told = map[string]bool{}
	}
	before := z.told[zone]
	z.told[zone] = true
	return !before
}
