package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

const (
	// maxPieceRuns is how many owners a link is told in one piece, and maxUnpackedRuns are told as they
	// are; more of them are packed.
	maxPieceRuns    = 512
	maxUnpackedRuns = 16
)

// sentOwners is what a link was told of the owners of a service: those of the keys before next, as
// they stood at a stamp.
type sentOwners struct {
	owners []owner.Owner
	stamp  uint64
	// version is the last one that was told, and part that it was told in part only.
	version uint64
	partial bool
	nextKey int
}

// whole reports whether the link was told the owners of all keys.
func (s sentOwners) complete() bool { return s.nextKey >= owner.KeyCount }

// ownerChangesCache keeps the difference of two states of a service that was asked for last: links lag
// by the same, and looking through all owners for each of them costs the most where there are many.
type ownerChangesCache struct {
	from, to uint64
	changes  []owner.Owner
}

// between returns which owners have changed from one state to another.
func (c *ownerChangesCache) between(sent sentOwners, current publishedOwners) []owner.Owner {
	if c.from != sent.stamp || c.to != current.stamp {
		*c = ownerChangesCache{from: sent.stamp, to: current.stamp, changes: keytable.Difference(sent.owners, current.owners)}
	}
	return c.changes
}

// tellOwners adds to an update which owners a link has not heard. The caller holds mu.
func (h *Hub) addOwners(l *link, update *Update, now time.Time) {
	if l.term != h.term { // another leader: its owners are told whole
		l.term = h.term
		clear(l.sentOwners)
	}
	for service, state := range h.owners {
		if len(state.owners) == 0 {
			continue
		}
		sent := l.sentOwners[service]
		if sent.nextKey > 0 && sent.stamp != state.stamp {
			h.addChangedOwners(update, service, state, &sent)
		}
		sent.owners, sent.stamp = state.owners, state.stamp
		if !sent.complete() {
			h.addOwnersPiece(l, update, service, state, &sent, now)
		}
		if sent.nextKey > 0 {
			l.sentOwners[service] = sent
		}
	}
}

// tellChanged tells changes of those owners that the link was told of.
func (h *Hub) addChangedOwners(update *Update, service routing.ServiceName, state publishedOwners, sent *sentOwners) {
	changes := h.ownerChanges.between(*sent, state)
	if !sent.complete() {
		changes = keytable.Within(changes, owner.Keys{To: sent.nextKey - 1})
	}
	message := ServiceOwners{Service: service, Version: state.version, Part: state.partial || !sent.complete()}
	if len(changes) == 0 && message.Version == sent.version && message.Part == sent.partial {
		return
	}
	message.encode(changes)
	sent.version, sent.partial = message.Version, message.Part
	update.Services = append(update.Services, message)
}

// tellPiece tells the owners of the next keys, if the link may be told them now. Owners that one
// piece holds are told at once.
func (h *Hub) addOwnersPiece(l *link, update *Update, service routing.ServiceName, state publishedOwners, sent *sentOwners, now time.Time) {
	if state.needsPieces() && !h.bulkTransfers.admit(l, now) {
		return
	}
	keys := nextPieceKeys(state.owners, sent.nextKey)
	sent.nextKey = keys.To + 1
	message := ServiceOwners{
		Service: service, Version: state.version, Whole: true, Keys: &keys, Part: state.partial || !sent.complete(),
	}
	message.encode(keytable.Within(state.owners, keys))
	sent.version, sent.partial = message.Version, message.Part
	update.Services = append(update.Services, message)
	if state.needsPieces() {
		h.bulkTransfers.reserve(now, message.approximateSize(), h.LinkRate)
	}
}

// bulky reports whether the owners take more than one piece.
func (p publishedOwners) needsPieces() bool { return len(p.owners) > maxPieceRuns }

// nextPieceKeys returns the keys of the next maxPieceRuns owners from a key on.
func nextPieceKeys(owners []owner.Owner, from int) owner.Keys {
	runs := 0
	for _, run := range owners {
		if run.Keys.To < from {
			continue
		}
		if runs++; runs == maxPieceRuns {
			return owner.Keys{From: from, To: run.Keys.To}
		}
	}
	return owner.Keys{From: from, To: owner.KeyCount - 1}
}

// ownerRuns are owners as they are told: rows of first key, last key, place of the worker, and 1 if
// it does not hold the keys yet.
type ownerRuns struct {
	Workers []NamedWorker `json:"i"`
	Runs    [][4]int      `json:"r"`
}

// describe writes owners into the message.
func (n *ServiceOwners) encode(owners []owner.Owner) {
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
		n.Packed = pack(table)
		return
	}
	n.Workers, n.Runs = table.Workers, table.Runs
}

// size is about how many bytes the message takes.
func (n *ServiceOwners) approximateSize() int { return len(n.Packed)*4/3 + 64*len(n.Runs) }

// Owners returns what the message tells; false if it can't be read, names a worker that it has not
// introduced, is not in the order of the keys, or is of others than it says.
func (n *ServiceOwners) Owners() ([]owner.Owner, bool) {
	table := ownerRuns{Workers: n.Workers, Runs: n.Runs}
	if len(n.Packed) > 0 && unpack(n.Packed, &table) != nil {
		return nil, false
	}
	owners := make([]owner.Owner, 0, len(table.Runs))
	minKey, maxKey := 0, owner.KeyCount-1
	if n.Keys != nil {
		minKey, maxKey = max(minKey, n.Keys.From), min(maxKey, n.Keys.To)
	}
	for _, run := range table.Runs {
		if run[2] < 0 || run[2] >= len(table.Workers) || run[0] < minKey || run[1] < run[0] || run[1] > maxKey {
			return nil, false
		}
		minKey = run[1] + 1
		worker := table.Workers[run[2]]
		owners = append(owners, owner.Owner{
			Keys: owner.Keys{From: run[0], To: run[1]}, Worker: worker.ID, Address: worker.Address, Moving: run[3] == 1,
		})
	}
	return owners, true
}
