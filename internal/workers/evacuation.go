package workers

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// assumedColdTime is how long the workers of a restored zone count as cold although their entries
// do not say so yet: workers write their entries about every second.
const assumedColdTime = 1500 * time.Millisecond

// evacuations maps each evacuated zone to the time since when it may have been evacuated.
type evacuations map[string]time.Time

// set replaces the evacuated zones, and returns whether that changed anything and which zones were
// restored.
func (e evacuations) set(since time.Time, zones []string) (changed bool, restored []string) {
	for _, zone := range zones {
		if _, known := e[zone]; !known {
			e[zone] = since
			changed = true
		}
	}
	for zone := range e {
		if !slices.Contains(zones, zone) {
			delete(e, zone)
			restored = append(restored, zone)
		}
	}
	return changed || len(restored) > 0, restored
}

// SetEvacuated sets the zones whose workers must get no work, and reports whether that changed
// anything. since is the earliest time at which zones that are new may have been evacuated; callers
// that find them in a list do not know it, and pass the zero time.
func (d *Directory) SetEvacuated(zones []string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	changed, restored := d.evacuations.set(since, zones)
	if !changed {
		return false
	}
	for id, worker := range d.byID {
		if slices.Contains(restored, worker.Zone) && worker.WarmAt.Before(now.Add(assumedColdTime)) {
			worker.WarmAt = now.Add(assumedColdTime)
			d.byID[id] = worker
		}
	}
	d.rebuildIndex()
	return true
}

// Evacuated reports whether a zone's workers must get no work.
func (d *Directory) Evacuated(zone string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, evacuated := d.evacuations[zone]
	return evacuated
}

// EvacuatedFor returns for how long a zone may have been evacuated; zero if it is not.
func (d *Directory) EvacuatedFor(zone string) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	since, evacuated := d.evacuations[zone]
	if !evacuated {
		return 0
	}
	return clock.Since(since)
}

// EvacuatedZones returns the zones whose workers must get no work, sorted by name.
func (d *Directory) EvacuatedZones() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	zones := make([]string, 0, len(d.evacuations))
	for zone := range d.evacuations {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}
