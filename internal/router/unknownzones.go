package router

import (
	"sync"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// unknownZones are the zones of workers whose region the settings do not tell, each of which
// is a region of its own. They are told once each. It is safe for concurrent use.
type unknownZones struct {
	mu     sync.Mutex
	logged map[topology.Zone]bool
}

// note tells a worker's zone if nothing is known of it.
func (z *unknownZones) logIfUnknown(places topology.Map, worker workers.Worker, log *decision.Log) {
	if z.firstSeenUnknown(places, topology.Zone(worker.Zone)) {
		log.Line(decision.KindZoneUnknown).Str("zone", worker.Zone).Str("worker", string(worker.ID)).Msg("")
	}
}

// strange reports whether nothing is known of a zone, which is seen for the first time.
func (z *unknownZones) firstSeenUnknown(places topology.Map, zone topology.Zone) bool {
	if places.Known(zone) {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.logged == nil {
		z.logged = map[topology.Zone]bool{}
	}
	before := z.logged[zone]
	z.logged[zone] = true
	return !before
}
