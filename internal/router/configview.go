package router

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// configView follows what the platform's operators write: the configuration, and the evacuated
// zones.
type configView struct {
	r  *Router
	mu sync.Mutex
	// items holds all existing items by key, as of revision at.
	items map[string]coord.Item
	at    coord.Revision
}

func newConfigView(r *Router) *configView {
	return &configView{r: r, items: map[string]coord.Item{}}
}

// Snapshot implements coord.View.
func (v *configView) Snapshot(items []coord.Item, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at < v.at {
		return // newer changes were received from the leader
	}
	v.items = map[string]coord.Item{}
	items = v.hashAllKeys(items)
	newest := coord.Revision(0)
	for _, item := range items {
		newest = max(newest, item.Revision)
		v.items[item.Key] = item
	}
	// A list does not show since when a zone has been evacuated.
	v.apply(items, at, time.Time{})
	v.r.config.noteListed(newest, at)
}

// ApplyEvents implements coord.View.
func (v *configView) ApplyEvents(events []coord.Event, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var fresh []coord.Item
	newest := coord.Revision(0)
	for _, event := range events {
		newest = max(newest, event.Revision)
		switch {
		case event.Revision <= v.at: // already received from the leader
		case event.Deleted:
			delete(v.items, event.Key)
		default:
			item := v.hashKeys(event.Item)
			v.items[event.Key] = item
			fresh = append([]coord.Item{item}, fresh...) // newest first
		}
	}
	v.apply(fresh, at, v.r.earliestWatchChange(v.r.config))
	v.r.config.noteRead(newest) // announced to others after the change itself: they would otherwise read the service at once
}

// hashAllKeys returns items with their API keys hashed.
func (v *configView) hashAllKeys(items []coord.Item) []coord.Item {
	list := make([]coord.Item, 0, len(items))
	for _, item := range items {
		list = append(list, v.hashKeys(item))
	}
	return list
}

// hashKeys returns an item with its API keys hashed: this process keeps no plain API key in memory
// and sends none to another.
func (v *configView) hashKeys(item coord.Item) coord.Item {
	if v.r.adapter.HashAPIKeys == nil {
		return item
	}
	hashed, err := v.r.adapter.HashAPIKeys(item)
	if err != nil {
		v.r.log.Line(decision.KindConfigRefused).Int64("revision", int64(item.Revision)).Err(err).Msg("invalid configuration; the previous one stays in force")
	}
	return hashed
}

// applyRelayed applies configuration changes from the leader. It returns false if they are invalid,
// or if unchanged items are missing here.
func (v *configView) applyRelayed(changes peerlink.ConfigChanges) bool {
	items, err := changes.Items()
	if err != nil {
		v.r.log.Line(decision.KindConfigRefused).Int64("revision", int64(changes.Revision)).Err(err).Msg("invalid configuration update from the leader; reading it from the store")
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if changes.Revision <= v.at {
		return true
	}
	current := map[string]coord.Item{}
	items = v.hashAllKeys(items)
	for _, item := range items {
		current[item.Key] = item
	}
	for _, key := range changes.Keys {
		if _, fresh := current[key]; fresh {
			continue
		}
		item, known := v.items[key]
		if !known {
			return false
		}
		current[key] = item
	}
	v.items = current
	v.apply(items, changes.Revision, changes.KnownSince(clock.Now()))
	v.r.config.noteRead(changes.Revision)
	return true
}

// handleConfigChanges applies configuration changes from the leader, and reads the service if that
// fails.
func (r *Router) handleConfigChanges(changes peerlink.ConfigChanges) {
	if !r.configView.applyRelayed(changes) {
		r.config.requestResync()
	}
}

// apply puts the items as of a revision into force, and relays them if this process is the leader
// or a relay. fresh holds the items that may be new. since is the earliest time at which they may
// have been written, or zero if that is unknown; newly evacuated zones count as evacuated since
// then. The caller holds mu.
func (v *configView) apply(fresh []coord.Item, at coord.Revision, since time.Time) {
	v.at = max(v.at, at)
	v.r.config.noteCovered(v.at)
	items := slices.Collect(maps.Values(v.items))
	if len(items) > 0 {
		v.r.hub.SetConfig(items, v.at, since)
	}
	v.useConfig(fresh)
	v.evacuate(items, since)
	v.r.hub.Wake()
}

// useConfig puts the configuration into force if it is newer.
func (v *configView) useConfig(items []coord.Item) {
	config, err := v.r.adapter.ParseConfig(items)
	if err != nil {
		v.r.log.Line(decision.KindConfigRefused).Int64("revision", int64(v.at)).Err(err).Msg("invalid configuration; the previous one stays in force")
		return
	}
	if config == nil || !v.r.proxy.Use(config) {
		return
	}
	line := v.r.log.Line(decision.KindConfig).Uint64("version", uint64(config.Version)).Int("routes", config.RouteCount()).
		Int64("revision", int64(v.at))
	if len(config.Warnings) > 0 {
		line = line.Strs("remarks", config.Warnings)
	}
	line.Msg("in force")
}

// evacuate applies the list of evacuated zones.
func (v *configView) evacuate(items []coord.Item, since time.Time) {
	if v.r.adapter.ParseEvacuationKey == nil {
		return
	}
	zones := []string{}
	for _, item := range items {
		if zone, evacuates := v.r.adapter.ParseEvacuationKey(item.Key); evacuates {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	if v.r.workers.SetEvacuated(zones, since) {
		v.r.log.Line(decision.KindZonesEvacuated).Strs("zones", zones).Int64("revision", int64(v.at)).Msg("")
	}
}

// OnUnreachable implements coord.View.
func (v *configView) OnUnreachable(err error) {
	v.r.log.Line(decision.KindStoreLost).Str("for", "configuration").Err(err).Msg("")
}

// OnReachable implements coord.View.
func (v *configView) OnReachable(time.Time) {
	v.r.log.Line(decision.KindStoreRegained).Str("for", "configuration").Msg("")
}
