package owner

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/workers"
)

// Error is the class of this package's errors.
var Error = errs.Class("owner")

// record is the stored form of a ledger. It holds all that the next leader needs to continue.
type record struct {
	Term        Term                `json:"term"`
	WriteID     string              `json:"write"`
	Workers     []recordWorker      `json:"workers"`
	Spans       []recordSpan        `json:"spans"`
	Unconfirmed []recordUnconfirmed `json:"doubts,omitempty"`
}

// recordUnconfirmed is a worker, by its index in record.Workers, that may accept a grant with a
// delay.
type recordUnconfirmed struct {
	From   int `json:"f"`
	To     int `json:"t"`
	Worker int `json:"w"`
}

type recordWorker struct {
	ID      workers.ID `json:"id"`
	Address string     `json:"address"`
}

// recordSpan refers to workers by their index in record.Workers.
type recordSpan struct {
	From     int   `json:"f"`
	To       int   `json:"t"`
	Owner    int   `json:"o"`
	Fence    Fence `json:"n"`
	Previous []int `json:"p,omitempty"`
	// PreviousTerms are the last terms whose leaders may have granted the keys to each of Previous. Records
	// of earlier versions have none.
	PreviousTerms []Term `json:"pt,omitempty"`
	// Ungranted means that no grant has been sent to the owner, nor will be before a record without it
	// is stored.
	Ungranted bool `json:"u,omitempty"`
}

func (r *recordSpan) addPrevious(worker int, grantTerm Term) {
	r.Previous = append(r.Previous, worker)
	r.PreviousTerms = append(r.PreviousTerms, grantTerm)
}

// previousTerm returns the last term whose leader may have granted the keys to the worker at a position
// in Previous. Without such an entry it is the last term before that of the present leader.
func (r *recordSpan) previousTerm(position int, present Term) Term {
	if len(r.PreviousTerms) != len(r.Previous) {
		return present - 1
	}
	return min(r.PreviousTerms[position], present-1)
}

// Encode returns the ledger in its stored form. writeID is unique to the attempt to write it.
func (l *Ledger) Encode(term Term, writeID string) ([]byte, error) {
	stored := record{Term: term, WriteID: writeID}
	indexes := map[workers.ID]int{}
	index := func(id workers.ID) int {
		if _, known := indexes[id]; !known {
			indexes[id] = len(stored.Workers)
			stored.Workers = append(stored.Workers, recordWorker{ID: id, Address: l.addresses[id]})
		}
		return indexes[id]
	}
	for _, s := range l.spans {
		entry := recordSpan{From: s.keys.From, To: s.keys.To, Owner: index(s.owner), Fence: s.fence, Ungranted: s.recordedUngranted}
		if s.pending != nil {
			entry.Owner, entry.Fence, entry.Ungranted = index(s.pending.to), s.pending.fence, s.pending.recordedUngranted
			if s.mayHaveGrant() {
				entry.addPrevious(index(s.owner), l.term)
			}
		}
		for _, old := range s.previous {
			entry.addPrevious(index(old.worker), old.grantTerm)
		}
		stored.Spans = append(stored.Spans, entry)
	}
	for _, grant := range l.unconfirmed {
		stored.Unconfirmed = append(stored.Unconfirmed, recordUnconfirmed{From: grant.keys.From, To: grant.keys.To, Worker: index(grant.worker)})
	}
	encoded, err := json.Marshal(stored)
	return encoded, Error.Wrap(err)
}

// DecodeWriteID returns the write ID of a stored ledger, or an empty string if it can't be decoded.
func DecodeWriteID(value []byte) string {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return ""
	}
	return stored.WriteID
}

// Load takes over a stored ledger from the previous leader. By the time until, all holds that
// earlier leaders granted have ended.
func (l *Ledger) Load(now time.Time, value []byte, until time.Time) error {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return Error.Wrap(err)
	}
	spans, err := decodeSpans(stored, l.term, now, until)
	if err != nil {
		return err
	}
	l.takeOverUngranted(stored, spans)
	for _, worker := range stored.Workers {
		l.addresses[worker.ID] = worker.Address
	}
	for _, s := range spans {
		l.takeOver(s, until.Add(l.config.MaxOrderDelay-l.config.MaxHold()))
	}
	for _, entry := range stored.Unconfirmed {
		if entry.Worker < 0 || entry.Worker >= len(stored.Workers) {
			return Error.New("stored unconfirmed grant refers to worker index %d of %d workers", entry.Worker, len(stored.Workers))
		}
		l.unconfirmed = append(l.unconfirmed, &unconfirmedGrant{
			worker: stored.Workers[entry.Worker].ID, keys: KeyRange{entry.From, entry.To}, fence: l.nextFence(),
			until: now.Add(l.config.MaxOrderDelay), nextOrderAt: now,
		})
	}
	l.spans = spans
	l.assignmentVersion++
	l.holdsVersion++
	return nil
}

// takeOver prepares a span that another leader stored. That leader may still renew the owner's
// hold, and raise its own fences if they are rejected; only fences of this term are higher than all
// of them. Its unanswered orders may be accepted until delayedGrantUntil. An ungranted owner was sent none.
func (l *Ledger) takeOver(s *span, delayedGrantUntil time.Time) {
	if len(s.previous) > 0 {
		s.fence = l.nextFence()
	}
	for index := range s.previous {
		s.previous[index].delayedGrantUntil = delayedGrantUntil
	}
	if s.recordedUngranted {
		return
	}
	s.unconfirmed = true
	s.unconfirmedFence = s.fence
	s.delayedGrantUntil = delayedGrantUntil
}

func decodeSpans(stored record, present Term, now, until time.Time) ([]*span, error) {
	next := 0
	spans := make([]*span, 0, len(stored.Spans))
	for _, entry := range stored.Spans {
		if entry.From != next || entry.To < entry.From || entry.To >= KeyCount {
			return nil, Error.New("stored keys %d to %d are invalid or do not follow key %d", entry.From, entry.To, next-1)
		}
		next = entry.To + 1
		s := &span{keys: KeyRange{entry.From, entry.To}, fence: entry.Fence, inheritedUntil: until, nextOrderAt: now}
		for _, index := range append([]int{entry.Owner}, entry.Previous...) {
			if index < 0 || index >= len(stored.Workers) {
				return nil, Error.New("stored keys %d to %d refer to worker index %d of %d workers", entry.From, entry.To, index, len(stored.Workers))
			}
		}
		s.owner = stored.Workers[entry.Owner].ID
		for position, index := range entry.Previous {
			s.previous = append(s.previous, previousOwner{
				worker: stored.Workers[index].ID, grantTerm: entry.previousTerm(position, present), inheritedUntil: until,
			})
		}
		spans = append(spans, s)
	}
	if next != KeyCount {
		return nil, Error.New("stored keys end at %d instead of the last key", next-1)
	}
	return spans, nil
}

// DecodeOwners returns the owners in a stored ledger, and the term of the leader that stored it.
func DecodeOwners(value []byte) (Term, []Owner, error) {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return 0, nil, Error.Wrap(err)
	}
	if _, err := decodeSpans(stored, stored.Term, time.Time{}, time.Time{}); err != nil {
		return 0, nil, err
	}
	owners := make([]Owner, 0, len(stored.Spans))
	for _, entry := range stored.Spans {
		worker := stored.Workers[entry.Owner]
		owners = append(owners, Owner{Keys: KeyRange{entry.From, entry.To}, Worker: worker.ID, Address: worker.Address})
	}
	return stored.Term, owners, nil
}
