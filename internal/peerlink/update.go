package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// update gathers what the link has not heard.
func (h *Hub) update(one *link) (Update, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	update, ok := h.head(one, now)
	if !ok || update.Redirect != "" {
		return update, ok
	}
	update.Entries, update.Config = h.entriesFor(one, now), h.configFor(one, now)
	update.Services = h.servicesFor(one)
	h.tellSuspects(one, &update, now)
	update.Quota, one.quota = one.quota, nil
	update.Peers = h.peersFor(one, now)
	if h.leading {
		update.Mandate = h.standbys.mandate(one, now)
	}
	return update, true
}

// head says what stands in each message to a link; false if the link is to end. The
// caller holds mu.
func (h *Hub) head(one *link, now time.Time) (Update, bool) {
	update := Update{Term: h.term, Links: len(h.links), Strongest: h.strongest()}
	switch {
	case h.leading:
		update.Leading, update.Known = true, h.known()
		update.Known.Steady = h.steady(update.Known, now)
		update.Nodes, update.Doubtful, update.Deaf = h.nodes(now), h.doubtful, h.deaf
		update.Redirect = h.relayFor(one, now)
	case h.upstream != nil:
		h.upstream.head(&update, h.known(), now)
	default:
		return Update{}, false
	}
	return update, true
}

// steady reports whether this process, which leads, has reached the key-value service for
// long enough to know which workers are gone. The caller holds mu.
func (h *Hub) steady(own Known, now time.Time) bool {
	return !h.deaf && !h.doubtful && own.SettleMillis == 0 && now.Sub(h.openedAt) >= workers.SettleTime
}

// servicesFor returns the owners that a link has not heard. The caller holds mu.
func (h *Hub) servicesFor(one *link) []ServiceNews {
	if one.term != h.term { // another leader: its owners are told whole
		one.term = h.term
		clear(one.sent)
	}
	var list []ServiceNews
	for service, now := range h.owners {
		before, told := one.sent[service]
		news := ServiceNews{Service: service, Whole: !told, Version: now.version}
		changes := now.owners
		if told {
			changes = keytable.Difference(before, now.owners)
		}
		if len(changes) == 0 {
			continue
		}
		one.number(&news, changes)
		one.sent[service] = now.owners
		list = append(list, news)
	}
	return list
}

// number writes the runs with the workers' numbers.
func (l *link) number(news *ServiceNews, changes []owner.Owner) {
	for _, change := range changes {
		worker := NamedWorker{ID: change.Worker, Address: change.Address}
		number, named := l.numbers[worker]
		if !named { // or it has started again elsewhere
			number = len(l.numbers)
			l.numbers[worker] = number
			news.Workers = append(news.Workers, worker)
		}
		moving := 0
		if change.Moving {
			moving = 1
		}
		news.Runs = append(news.Runs, [4]int{change.Keys.From, change.Keys.To, number, moving})
	}
}
