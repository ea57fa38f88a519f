package owner

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/workers"
)

// Error is the class of errors of this package.
var Error = errs.Class("owner")

// record is a book as it is stored: enough for the next leader to go on.
type record struct {
	Term    Term           `json:"term"`
	Write   string         `json:"write"`
	Workers []recordWorker `json:"workers"`
	Spans   []recordSpan   `json:"spans"`
	Doubts  []recordDoubt  `json:"doubts,omitempty"`
}

// recordDoubt is a worker that may take a grant late, by its place.
type recordDoubt struct {
	From   int `json:"f"`
	To     int `json:"t"`
	Worker int `json:"w"`
}

type recordWorker struct {
	ID      workers.ID `json:"id"`
	Address string     `json:"address"`
}

// recordSpan names workers by their place in the record's list.
type recordSpan struct {
	From    int   `json:"f"`
	To      int   `json:"t"`
	Owner   int   `json:"o"`
	Fence   Fence `json:"n"`
	Formers []int `json:"p,omitempty"`
}

// Encode returns the book as it is stored. write is unique to the attempt.
func (b *Ledger) Encode(term Term, write string) ([]byte, error) {
	stored := record{Term: term, Write: write}
	places := map[workers.ID]int{}
	place := func(id workers.ID) int {
		if _, known := places[id]; !known {
			places[id] = len(stored.Workers)
			stored.Workers = append(stored.Workers, recordWorker{ID: id, Address: b.addresses[id]})
		}
		return places[id]
	}
	for _, one := range b.spans {
		kept := recordSpan{From: one.keys.From, To: one.keys.To, Owner: place(one.owner), Fence: one.fence}
		if one.planned != nil {
			kept.Owner, kept.Fence = place(one.planned.to), one.planned.fence
			if one.reached() {
				kept.Formers = append(kept.Formers, place(one.owner))
			}
		}
		for _, old := range one.formers {
			kept.Formers = append(kept.Formers, place(old.worker))
		}
		stored.Spans = append(stored.Spans, kept)
	}
	for _, one := range b.doubts {
		stored.Doubts = append(stored.Doubts, recordDoubt{From: one.keys.From, To: one.keys.To, Worker: place(one.worker)})
	}
	encoded, err := json.Marshal(stored)
	return encoded, Error.Wrap(err)
}

// DecodeWriteID returns the unique mark of a stored book.
func DecodeWriteID(value []byte) string {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return ""
	}
	return stored.Write
}

// Load takes over a stored book. Until is when every hold given before, by the
// leader before, has surely ended.
func (b *Ledger) Load(now time.Time, value []byte, until time.Time) error {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return Error.Wrap(err)
	}
	spans, err := decodeSpans(stored, now, until)
	if err != nil {
		return err
	}
	for _, one := range stored.Workers {
		b.addresses[one.ID] = one.Address
	}
	for _, one := range spans {
		b.inherit(one, until.Add(b.config.MaxOrderDelay-b.config.MaxHold()))
	}
	for _, kept := range stored.Doubts {
		if kept.Worker < 0 || kept.Worker >= len(stored.Workers) {
			return Error.New("stored doubts name worker %d of %d", kept.Worker, len(stored.Workers))
		}
		b.doubts = append(b.doubts, &doubt{
			worker: stored.Workers[kept.Worker].ID, keys: KeyRange{kept.From, kept.To}, fence: b.nextFence(),
			until: now.Add(b.config.MaxOrderDelay), next: now,
		})
	}
	b.spans = spans
	b.shape++
	b.holdsVersion++
	return nil
}

// inherit prepares a span that another leader kept. That leader may still renew
// the owner, and raise its own fences where it is refused: only this term's are
// above them all. Its orders without an answer may be taken late, until then.
func (b *Ledger) inherit(one *span, takenUntil time.Time) {
	if len(one.formers) > 0 {
		one.fence = b.nextFence()
	}
	one.doubtful = true
	one.doubtFence = one.fence
	one.takenUntil = takenUntil
	for index := range one.formers {
		one.formers[index].lateUntil = one.takenUntil
	}
}

func decodeSpans(stored record, now, until time.Time) ([]*span, error) {
	next := 0
	spans := make([]*span, 0, len(stored.Spans))
	for _, kept := range stored.Spans {
		if kept.From != next || kept.To < kept.From || kept.To >= KeyCount {
			return nil, Error.New("stored keys %d to %d do not follow key %d", kept.From, kept.To, next-1)
		}
		next = kept.To + 1
		one := &span{keys: KeyRange{kept.From, kept.To}, fence: kept.Fence, heldUntil: until, next: now}
		for _, place := range append([]int{kept.Owner}, kept.Formers...) {
			if place < 0 || place >= len(stored.Workers) {
				return nil, Error.New("stored keys %d to %d name worker %d of %d", kept.From, kept.To, place, len(stored.Workers))
			}
		}
		one.owner = stored.Workers[kept.Owner].ID
		for _, place := range kept.Formers {
			one.formers = append(one.formers, former{worker: stored.Workers[place].ID, until: until})
		}
		spans = append(spans, one)
	}
	if next != KeyCount {
		return nil, Error.New("stored keys end at %d", next-1)
	}
	return spans, nil
}

// DecodeOwners returns the owners in a stored book, and the term that stored it.
func DecodeOwners(value []byte) (Term, []Owner, error) {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return 0, nil, Error.Wrap(err)
	}
	if _, err := decodeSpans(stored, time.Time{}, time.Time{}); err != nil {
		return 0, nil, err
	}
	owners := make([]Owner, 0, len(stored.Spans))
	for _, kept := range stored.Spans {
		of := stored.Workers[kept.Owner]
		owners = append(owners, Owner{Keys: KeyRange{kept.From, kept.To}, Worker: of.ID, Address: of.Address})
	}
	return stored.Term, owners, nil
}
