package peerlink

import (
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
)

// configLog keeps the configuration that the operators have written, for links that have an older
// revision. The zero value is empty.
type configLog struct {
	revision coord.Revision
	// learnedAt is since when the first process has known this revision, or zero if that is
	// unknown.
	learnedAt time.Time
	items     []coord.Item
	keys      []string
	// packed caches packed items by how many of the newest items they contain, as most links lack
	// the same ones.
	packed map[int][]byte
}

// set replaces the items by those of a newer revision, which was first known at learnedAt. It
// returns false if the revision is not newer.
func (l *configLog) set(items []coord.Item, revision coord.Revision, learnedAt time.Time) bool {
	if revision <= l.revision {
		return false
	}
	l.revision, l.learnedAt, l.items, l.packed = revision, learnedAt, slices.Clone(items), map[int][]byte{}
	slices.SortFunc(l.items, func(a, b coord.Item) int { return int(b.Revision - a.Revision) })
	l.keys = make([]string, 0, len(items))
	for _, item := range items {
		l.keys = append(l.keys, item.Key)
	}
	slices.SortFunc(l.keys, strings.Compare)
	return true
}

// changesSince returns the changes after a revision, or nil if there are none.
func (l *configLog) changesSince(revision coord.Revision, now time.Time) *ConfigChanges {
	if revision >= l.revision {
		return nil
	}
	newer := 0
	for newer < len(l.items) && l.items[newer].Revision > revision {
		newer++
	}
	if l.packed[newer] == nil {
		l.packed[newer] = pack(l.items[:newer])
	}
	return &ConfigChanges{
		Revision: l.revision, Packed: l.packed[newer], Keys: l.keys,
		AgeMillis: ageMillis(l.learnedAt, now), AgeUnknown: l.learnedAt.IsZero(),
	}
}

// SetConfig publishes the operators' configuration as of a revision, unless a newer one is known.
// learnedAt is since when the first process has known this revision, or zero if that is unknown.
func (h *Hub) SetConfig(items []coord.Item, revision coord.Revision, learnedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.set(items, revision, learnedAt) {
		h.wakeAll()
	}
}

// ConfigSince returns the changes of the configuration after a revision, or the zero value if there
// are none.
func (h *Hub) ConfigSince(revision coord.Revision) ConfigChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes := h.config.changesSince(revision, clock.Now()); changes != nil {
		return *changes
	}
	return ConfigChanges{}
}

// configChangesFor returns the configuration changes that a link's process lacks. The caller holds
// mu.
func (h *Hub) configChangesFor(l *link, now time.Time) *ConfigChanges {
	changes := h.config.changesSince(l.configRevision, now)
	if changes != nil {
		l.configRevision = changes.Revision
	}
	return changes
}
