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

// configView follows what the platform's operators write: the configuration, and the
// zones that are evacuated.
type configView struct {
	r  *Router
	mu sync.Mutex
	// items are all that stand, by key, as of the revision at.
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
		return // the leader has told more meanwhile
	}
	v.items = map[string]coord.Item{}
	items = v.hashAllKeys(items)
	newest := coord.Revision(0)
	for _, item := range items {
		newest = max(newest, item.Revision)
		v.items[item.Key] = item
	}
	// How long ago a zone was evacuated is not told by a list.
	v.apply(items, at, time.Time{})
	v.r.config.noteRead(newest)
}

// Changed implements coord.View.
func (v *configView) Changed(events []coord.Event, at coord.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var fresh []coord.Item
	newest := coord.Revision(0)
	for _, event := range events {
		newest = max(newest, event.Revision)
		switch {
		case event.Revision <= v.at: // known from the leader
		case event.Deleted:
			delete(v.items, event.Key)
		default:
			item := v.hashKeys(event.Item)
			v.items[event.Key] = item
			fresh = append([]coord.Item{item}, fresh...) // the newest first
		}
	}
	v.apply(fresh, at, v.r.earliestWatchChange(v.r.config))
	v.r.config.noteRead(newest) // told to others after the change itself: they would read it at once
}

// sealed returns items without API keys.
func (v *configView) hashAllKeys(items []coord.Item) []coord.Item {
	list := make([]coord.Item, 0, len(items))
	for _, item := range items {
		list = append(list, v.hashKeys(item))
	}
	return list
}

// seal returns an item without API keys: they stand in no memory of this process and in no
// message to another.
func (v *configView) hashKeys(item coord.Item) coord.Item {
	if v.r.adapter.HashAPIKeys == nil {
		return item
	}
	hashed, err := v.r.adapter.HashAPIKeys(item)
	if err != nil {
		v.r.log.Line(decision.KindConfigBad).Int64("revision", int64(item.Revision)).Err(err).Msg("the one before stays in force")
	}
	return hashed
}

// told takes what the leader has read; false if something is missing here.
func (v *configView) applyRelayed(news peerlink.ConfigChanges) bool {
	items, err := news.Items()
	if err != nil {
		v.r.log.Line(decision.KindConfigBad).Int64("revision", int64(news.Revision)).Err(err).Msg("told by the leader")
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if news.Revision <= v.at {
		return true
	}
	current := map[string]coord.Item{}
	items = v.hashAllKeys(items)
	for _, item := range items {
		current[item.Key] = item
	}
	for _, key := range news.Keys {
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
	v.apply(items, news.Revision, news.KnownSince(clock.Now()))
	v.r.config.noteRead(news.Revision)
	return true
}

// configTold takes what the leader has read, and reads it from the service if that is
// not enough.
func (r *Router) handleConfigChanges(news peerlink.ConfigChanges) {
	if !r.configView.applyRelayed(news) {
		r.config.requestResync()
	}
}

// apply puts all that stands as of a revision into force, and lets a leader or relay pass
// it on. fresh are the items that may be new, and since is since when they may stand, such as
// zones that were not known to be evacuated. The caller holds mu.
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
		v.r.log.Line(decision.KindConfigBad).Int64("revision", int64(v.at)).Err(err).Msg("the one before stays in force")
		return
	}
	if config == nil || !v.r.proxy.Use(config) {
		return
	}
	line := v.r.log.Line(decision.KindConfig).Uint64("version", uint64(config.Version)).Int("routes", config.Routes()).
		Int64("revision", int64(v.at))
	if len(config.Remarks) > 0 {
		line = line.Strs("remarks", config.Remarks)
	}
	line.Msg("in force")
}

// evacuate puts into force which zones are evacuated.
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
		v.r.log.Line(decision.KindEvacuation).Strs("zones", zones).Int64("revision", int64(v.at)).Msg("")
	}
}

// Lost implements coord.View.
func (v *configView) Lost(err error) {
	v.r.log.Line(decision.KindStoreLost).Str("for", "configuration").Err(err).Msg("")
}

// Regained implements coord.View.
func (v *configView) Regained(time.Time) {
	v.r.log.Line(decision.KindStoreBack).Str("for", "configuration").Msg("")
}
