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
	at coord.Revision
	// learned is since when the first process knows of it; the zero time if that can't be told.
	learned time.Time
	items   []coord.Item
	keys    []string
	// packed are items that were packed, by how many of the newest they are: most links
	// lack the same.
	packed map[int][]byte
}

// read takes all that stands as of a revision, known since a time; false if more was known.
func (l *configLog) read(items []coord.Item, at coord.Revision, learned time.Time) bool {
	if at <= l.at {
		return false
	}
	l.at, l.learned, l.items, l.packed = at, learned, slices.Clone(items), map[int][]byte{}
	slices.SortFunc(l.items, func(a, b coord.Item) int { return int(b.Revision - a.Revision) })
	l.keys = make([]string, 0, len(items))
	for _, item := range items {
		l.keys = append(l.keys, item.Key)
	}
	slices.SortFunc(l.keys, strings.Compare)
	return true
}

// since returns what has changed after a revision; nil if nothing has.
func (l *configLog) since(revision coord.Revision, now time.Time) *ConfigChanges {
	if revision >= l.at {
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
		Revision: l.at, Packed: l.packed[newer], Keys: l.keys,
		AgeMillis: ageMillis(l.learned, now), AgeUnknown: l.learned.IsZero(),
	}
}

// ConfigRead tells of all that the operators have written and that stands as of a
// revision, unless more was known. learned is since when the first process knows of it; the
// zero time if that can't be told.
func (h *Hub) SetConfig(items []coord.Item, at coord.Revision, learned time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.read(items, at, learned) {
		h.wakeAll()
	}
}

// ConfigSince returns what has changed of it after a revision; nothing if nothing has.
func (h *Hub) ConfigSince(revision coord.Revision) ConfigChanges {
	h.mu.Lock()
	defer h.mu.Unlock()
	if news := h.config.since(revision, clock.Now()); news != nil {
		return *news
	}
	return ConfigChanges{}
}

// configFor returns what a link's process lacks of it. The caller holds mu.
func (h *Hub) configFor(one *link, now time.Time) *ConfigChanges {
	news := h.config.since(one.config, now)
	if news != nil {
		one.config = news.Revision
	}
	return news
}
