package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
)

// update gathers what the link has not heard.
func (h *Hub) update(one *link) (Update, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leading {
		return Update{}, false
	}
	update := Update{Leading: true, Term: h.term, Nodes: len(h.links) + 1, Known: h.known(), Doubtful: h.doubtful, Deaf: h.deaf, Strongest: h.strongest()}
	now := time.Now()
	update.Entries, update.Config = h.entriesFor(one, now), h.configFor(one)
	for service, owners := range h.owners {
		before, told := one.sent[service]
		news := ServiceNews{Service: service, Whole: !told}
		changes := owners
		if told {
			changes = keytable.Difference(before, owners)
		}
		if len(changes) == 0 {
			continue
		}
		one.number(&news, changes)
		one.sent[service] = owners
		update.Services = append(update.Services, news)
	}
	update.Mandate = h.standbys.mandate(one, now)
	return update, true
}

// number writes the runs with the workers' numbers.
func (l *link) number(news *ServiceNews, changes []owner.Owner) {
	for _, change := range changes {
		number, named := l.numbers[change.Worker]
		if !named {
			number = len(l.numbers)
			l.numbers[change.Worker] = number
			news.Workers = append(news.Workers, NamedWorker{ID: change.Worker, Address: change.Address})
		}
		moving := 0
		if change.Moving {
			moving = 1
		}
		news.Runs = append(news.Runs, [4]int{change.Keys.From, change.Keys.To, number, moving})
	}
}
