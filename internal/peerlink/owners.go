package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// pieceRuns is how many owners a link is told in one piece, and fewRuns are told as they
	// are; more of them are packed.
	pieceRuns = 512
	fewRuns   = 16
)

// sentOwners is what a link was told of the owners of a service: those of the keys before next, as
// they stood at a stamp.
type sentOwners struct {
	owners []owner.Owner
	stamp  uint64
	// version is the last one that was told, and part that it was told in part only.
	version uint64
	part    bool
	next    int
}

// whole reports whether the link was told the owners of all keys.
func (s sentOwners) whole() bool { return s.next >= owner.KeyCount }

// ownerChanges keeps the difference of two states of a service that was asked for last: links lag
// by the same, and looking through all owners for each of them costs the most where there are many.
type ownerChanges struct {
	from, to uint64
	changes  []owner.Owner
}

// between returns which owners have changed from one state to another.
func (c *ownerChanges) between(before sentOwners, now published) []owner.Owner {
	if c.from != before.stamp || c.to != now.stamp {
		*c = ownerChanges{from: before.stamp, to: now.stamp, changes: keytable.Difference(before.owners, now.owners)}
	}
	return c.changes
}

// tellOwners adds to an update which owners a link has not heard. The caller holds mu.
func (h *Hub) tellOwners(one *link, update *Update, now time.Time) {
	if one.term != h.term { // another leader: its owners are told whole
		one.term = h.term
		clear(one.sent)
	}
	for service, state := range h.owners {
		if len(state.owners) == 0 {
			continue
		}
		sent := one.sent[service]
		if sent.next > 0 && sent.stamp != state.stamp {
			h.tellChanged(update, service, state, &sent)
		}
		sent.owners, sent.stamp = state.owners, state.stamp
		if !sent.whole() {
			h.tellPiece(one, update, service, state, &sent, now)
		}
		if sent.next > 0 {
			one.sent[service] = sent
		}
	}
}

// tellChanged tells changes of those owners that the link was told of.
func (h *Hub) tellChanged(update *Update, service routing.ServiceName, state published, sent *sentOwners) {
	changes := h.difference.between(*sent, state)
	if !sent.whole() {
		changes = keytable.Within(changes, owner.KeyRange{To: sent.next - 1})
	}
	news := ServiceOwners{Service: service, Version: state.version, Part: state.part || !sent.whole()}
	if len(changes) == 0 && news.Version == sent.version && news.Part == sent.part {
		return
	}
	news.describe(changes)
	sent.version, sent.part = news.Version, news.Part
	update.Services = append(update.Services, news)
}

// tellPiece tells the owners of the next keys, if the link may be told them now. Owners that one
// piece holds are told at once.
func (h *Hub) tellPiece(one *link, update *Update, service routing.ServiceName, state published, sent *sentOwners, now time.Time) {
	if state.bulky() && !h.bulk.admits(one, now) {
		return
	}
	keys := nextPiece(state.owners, sent.next)
	sent.next = keys.To + 1
	news := ServiceOwners{
		Service: service, Version: state.version, Whole: true, Keys: &keys, Part: state.part || !sent.whole(),
	}
	news.describe(keytable.Within(state.owners, keys))
	sent.version, sent.part = news.Version, news.Part
	update.Services = append(update.Services, news)
	if state.bulky() {
		h.bulk.spend(now, news.size(), h.LinkRate)
	}
}

// bulky reports whether the owners take more than one piece.
func (p published) bulky() bool { return len(p.owners) > pieceRuns }

// nextPiece returns the keys of the next pieceRuns owners from a key on.
func nextPiece(owners []owner.Owner, from int) owner.KeyRange {
	runs := 0
	for _, one := range owners {
		if one.Keys.To < from {
			continue
		}
		if runs++; runs == pieceRuns {
			return owner.KeyRange{From: from, To: one.Keys.To}
		}
	}
	return owner.KeyRange{From: from, To: owner.KeyCount - 1}
}

// ownerRuns are owners as they are told: rows of first key, last key, place of the worker, and 1 if
// it does not hold the keys yet.
type ownerRuns struct {
	Workers []NamedWorker `json:"i"`
	Runs    [][4]int      `json:"r"`
}

// describe writes owners into the message.
func (n *ServiceOwners) describe(owners []owner.Owner) {
	var told ownerRuns
	places := map[NamedWorker]int{}
	for _, one := range owners {
		worker := NamedWorker{ID: one.Worker, Address: one.Address}
		place, named := places[worker]
		if !named {
			place = len(told.Workers)
			places[worker] = place
			told.Workers = append(told.Workers, worker)
		}
		moving := 0
		if one.Moving {
			moving = 1
		}
		told.Runs = append(told.Runs, [4]int{one.Keys.From, one.Keys.To, place, moving})
	}
	if len(told.Runs) > fewRuns {
		n.Packed = pack(told)
		return
	}
	n.Workers, n.Runs = told.Workers, told.Runs
}

// size is about how many bytes the message takes.
func (n *ServiceOwners) size() int { return len(n.Packed)*4/3 + 64*len(n.Runs) }

// Owners returns what the message tells; false if it can't be read, names a worker that it has not
// introduced, is not in the order of the keys, or is of others than it says.
func (n *ServiceOwners) Owners() ([]owner.Owner, bool) {
	told := ownerRuns{Workers: n.Workers, Runs: n.Runs}
	if len(n.Packed) > 0 && unpack(n.Packed, &told) != nil {
		return nil, false
	}
	owners := make([]owner.Owner, 0, len(told.Runs))
	next, last := 0, owner.KeyCount-1
	if n.Keys != nil {
		next, last = max(next, n.Keys.From), min(last, n.Keys.To)
	}
	for _, run := range told.Runs {
		if run[2] < 0 || run[2] >= len(told.Workers) || run[0] < next || run[1] < run[0] || run[1] > last {
			return nil, false
		}
		next = run[1] + 1
		of := told.Workers[run[2]]
		owners = append(owners, owner.Owner{
			Keys: owner.KeyRange{From: run[0], To: run[1]}, Worker: of.ID, Address: of.Address, Moving: run[3] == 1,
		})
	}
	return owners, true
}
