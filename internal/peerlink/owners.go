package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// maxPieceRuns is how many owners are sent in one piece. Up to maxUnpackedRuns are sent
	// unpacked.
	maxPieceRuns    = 512
	maxUnpackedRuns = 16
)

// sentOwners tracks which owners of a service a link was sent: those of the keys before nextKey, as
// of a stamp.
type sentOwners struct {
	owners []owner.Owner
	stamp  uint64
	// version is the last version that was sent. partial is set if it was sent in part only.
	version uint64
	partial bool
	nextKey int
}

// complete reports whether the owners of all keys were sent.
func (s sentOwners) complete() bool { return s.nextKey >= owner.KeyCount }

// ownerChangesCache caches the last computed difference between two states of a service. Most links
// lag by the same changes, and comparing all owners for each link would cost the most if there are
// many.
type ownerChangesCache struct {
	from, to uint64
	changes  []owner.Owner
}

// between returns the owners that have changed between two states.
func (c *ownerChangesCache) between(sent sentOwners, current publishedOwners) []owner.Owner {
	if c.from != sent.stamp || c.to != current.stamp {
		*c = ownerChangesCache{from: sent.stamp, to: current.stamp, changes: keytable.Difference(sent.owners, current.owners)}
	}
	return c.changes
}

// addOwners adds the owners that a link lacks to an update. The caller holds mu.
func (h *Hub) addOwners(l *link, update *Update, now time.Time) {
	if l.term != h.term { // owners of another leader are sent completely
		l.term = h.term
		clear(l.sentOwners)
	}
	for service, published := range h.owners {
		if len(published.owners) == 0 {
			continue
		}
		sent := l.sentOwners[service]
		if sent.nextKey > 0 && sent.stamp != published.stamp {
			h.addChangedOwners(update, service, published, &sent)
		}
		sent.owners, sent.stamp = published.owners, published.stamp
		if !sent.complete() {
			h.addOwnersPiece(l, update, service, published, &sent, now)
		}
		if sent.nextKey > 0 {
			l.sentOwners[service] = sent
		}
	}
}

// addChangedOwners adds changes of the owners that were already sent to the link.
func (h *Hub) addChangedOwners(update *Update, service routing.ServiceName, published publishedOwners, sent *sentOwners) {
	changes := h.ownerChanges.between(*sent, published)
	if !sent.complete() {
		changes = keytable.Clip(changes, owner.KeyRange{To: sent.nextKey - 1})
	}
	message := ServiceOwners{Service: service, Version: published.version, Partial: published.partial || !sent.complete()}
	if len(changes) == 0 && message.Version == sent.version && message.Partial == sent.partial {
		return
	}
	message.encode(changes)
	sent.version, sent.partial = message.Version, message.Partial
	update.Services = append(update.Services, message)
}

// addOwnersPiece adds the owners of the next keys if the link may be sent a piece now. Owners that
// fit in one piece are sent immediately.
func (h *Hub) addOwnersPiece(l *link, update *Update, service routing.ServiceName, published publishedOwners, sent *sentOwners, now time.Time) {
	if published.needsPieces() && !h.bulkTransfers.admit(l, now) {
		return
	}
	keys := nextPieceKeys(published.owners, sent.nextKey)
	sent.nextKey = keys.To + 1
	message := ServiceOwners{
		Service: service, Version: published.version, Full: true, Keys: &keys, Partial: published.partial || !sent.complete(),
	}
	message.encode(keytable.Clip(published.owners, keys))
	sent.version, sent.partial = message.Version, message.Partial
	update.Services = append(update.Services, message)
	if published.needsPieces() {
		h.bulkTransfers.reserve(now, message.approximateSize(), h.LinkRate)
	}
}

// needsPieces reports whether the owners take more than one piece.
func (p publishedOwners) needsPieces() bool { return len(p.owners) > maxPieceRuns }

// nextPieceKeys returns the keys of the next maxPieceRuns owners, starting at a key.
func nextPieceKeys(owners []owner.Owner, from int) owner.KeyRange {
	runs := 0
	for _, run := range owners {
		if run.Keys.To < from {
			continue
		}
		if runs++; runs == maxPieceRuns {
			return owner.KeyRange{From: from, To: run.Keys.To}
		}
	}
	return owner.KeyRange{From: from, To: owner.KeyCount - 1}
}

// ownerRuns is the message form of owners: rows of first key, last key, index of the worker, and 1
// if the worker does not hold the keys yet.
type ownerRuns struct {
	Workers []NamedWorker `json:"i"`
	Runs    [][4]int      `json:"r"`
}

// encode sets the owners of the message, packed if there are many.
func (s *ServiceOwners) encode(owners []owner.Owner) {
	var table ownerRuns
	indexes := map[NamedWorker]int{}
	for _, held := range owners {
		worker := NamedWorker{ID: held.Worker, Address: held.Address}
		index, known := indexes[worker]
		if !known {
			index = len(table.Workers)
			indexes[worker] = index
			table.Workers = append(table.Workers, worker)
		}
		moving := 0
		if held.Moving {
			moving = 1
		}
		table.Runs = append(table.Runs, [4]int{held.Keys.From, held.Keys.To, index, moving})
	}
	if len(table.Runs) > maxUnpackedRuns {
		s.Packed = pack(table)
		return
	}
	s.Workers, s.Runs = table.Workers, table.Runs
}

// approximateSize estimates the size of the message in bytes.
func (s *ServiceOwners) approximateSize() int { return len(s.Packed)*4/3 + 64*len(s.Runs) }

// Owners decodes the owners. It returns false if the message is malformed, refers to a worker that
// it does not list, is not in the order of the keys, or contains keys outside of Keys.
func (s *ServiceOwners) Owners() ([]owner.Owner, bool) {
	table := ownerRuns{Workers: s.Workers, Runs: s.Runs}
	if len(s.Packed) > 0 && unpack(s.Packed, &table) != nil {
		return nil, false
	}
	owners := make([]owner.Owner, 0, len(table.Runs))
	minKey, maxKey := 0, owner.KeyCount-1
	if s.Keys != nil {
		minKey, maxKey = max(minKey, s.Keys.From), min(maxKey, s.Keys.To)
	}
	for _, run := range table.Runs {
		if run[2] < 0 || run[2] >= len(table.Workers) || run[0] < minKey || run[1] < run[0] || run[1] > maxKey {
			return nil, false
		}
		minKey = run[1] + 1
		worker := table.Workers[run[2]]
		owners = append(owners, owner.Owner{
			Keys: owner.KeyRange{From: run[0], To: run[1]}, Worker: worker.ID, Address: worker.Address, Moving: run[3] == 1,
		})
	}
	return owners, true
}
