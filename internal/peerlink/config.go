package peerlink

import (
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
)

// configLog keeps what the operators have written, for links that have less of it. Its
// zero value knows nothing.
type configLog struct {
	revision coord.Revision
	// learned is since when the first process knows of it; the zero time if that can't be told.
	learnedAt time.Time
	items     []coord.Item
	keys      []string
	// packed are items that were packed, by how many of the newest they are: most links
	// lack the same.
	packed map[int][]byte
}

// read takes all that stands as of a revision, known since a time; false if more was known.
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

// since returns what has changed after a revision; nil if nothing has.
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

// ConfigRead tells of all that the operators have written and that stands as of a
// revision, unless more was known. learned is since when the first process knows of it; the
// zero time if that can't be told.
func (h *Hub) SetConfig(items []coord.Item, revision coord.Revision, learnedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.set(items, revision, learnedAt) {
		h.wakeAll()
	}
}

// ConfigSince returns what has changed of it after a revision; nothing if nothing has.
func (h *Hub) ConfigSince(revision coord.Revision) ConfigChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	if changes := h.config.changesSince(revision, clock.Now()); changes != nil {
		return *changes
	}
	return ConfigChanges{}
}

// configFor returns what a link's process lacks of it. The caller holds mu.
func (h *Hub) configChangesFor(l *link, now time.Time) *ConfigChanges {
	changes := h.config.changesSince(l.configRevision, now)
	if changes != nil {
		l.configRevision = changes.Revision
	}
	return changes
}
