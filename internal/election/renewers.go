package election

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/owner"
)

// Renewer is a process that may renew the holds of workers, a leader or one of its standbys, or whose
// renewals may still last. All of them are stored, so that the next leader knows which processes to
// ask to stop, and when they have last renewed a hold.
type Renewer struct {
	// Address is the address of its peer port.
	Address string `json:"address"`
	// Process is an ID unique to one run of the process.
	Process string `json:"process"`
	// Term is the last term in which the process may renew holds. It is zero in lists of processes
	// that remove renewers whose holds may still last.
	Term owner.Term `json:"term,omitempty"`
	// Since is the first term whose holds the process may have renewed and which may still last. It is
	// zero in lists of processes that do not record it.
	Since owner.Term `json:"since,omitempty"`
}

// Same reports whether both are the same process.
func (r Renewer) Same(other Renewer) bool {
	return r.Address == other.Address && r.Process == other.Process
}

// merge adds the terms of another entry for the same process.
func (r *Renewer) merge(other Renewer) {
	if r.Term != 0 && other.Term != 0 {
		r.Term = max(r.Term, other.Term)
	} else {
		r.Term = 0
	}
	r.Since = min(r.Since, other.Since)
}

func (e *Election) renewersKey() string { return e.prefix + "renewers" }

// renewers returns the stored list of renewers and its revision.
func (e *Election) renewers(ctx context.Context) ([]Renewer, coord.Revision, error) {
	item, found, err := e.store.Get(ctx, e.renewersKey())
	if err != nil || !found {
		return nil, 0, err
	}
	var list []Renewer
	if json.Unmarshal(item.Value, &list) != nil {
		// A list that can't be decoded counts as empty, like a missing one: the next leader waits for
		// all holds to expire and stores a new list.
		return nil, item.Revision, nil
	}
	return list, item.Revision, nil
}

// UniqueRenewers returns the list with one entry for each process.
func UniqueRenewers(list []Renewer) []Renewer {
	unique := make([]Renewer, 0, len(list))
	for _, renewer := range list {
		known := slices.IndexFunc(unique, renewer.Same)
		if known < 0 {
			unique = append(unique, renewer)
			continue
		}
		unique[known].merge(renewer)
	}
	return unique
}

// encodeRenewers encodes the list without duplicates.
func encodeRenewers(list []Renewer) []byte {
	value, err := json.Marshal(UniqueRenewers(list))
	if err != nil {
		panic(err) // the list is plain data, which always encodes
	}
	return value
}

// withLeader adds a new leader to the list. If the list lacked processes that may still renew holds, the
// leader's entry stands for them: it then has no first term.
func withLeader(list []Renewer, leader Leader, complete bool) []Renewer {
	entry := Renewer{Address: leader.Address, Process: leader.Process, Term: leader.Term}
	if complete {
		entry.Since = leader.Term
	}
	return append(slices.Clone(list), entry)
}

// StoredRenewers returns the list that the election has stored: the previous renewers and the new leader.
func (t *Tenure) StoredRenewers() []Renewer {
	return UniqueRenewers(withLeader(t.PreviousRenewers, t.Leader, t.RenewersComplete))
}

// StoreRenewers replaces the stored list, on condition that the tenure lasts and the list still has
// its last known revision: a write without a response that is applied seconds later must not undo a
// newer one. After an error the list may be stored nevertheless. StoreRenewers is not safe for
// concurrent use.
func (t *Tenure) StoreRenewers(ctx context.Context, list []Renewer) error {
	revision, err := t.store.Commit(ctx, coord.Txn{
		Conditions: []coord.Condition{
			{Key: t.leaderKey, Revision: t.Leader.Revision}, {Key: t.renewersKey, Revision: t.renewersRevision},
		},
		Puts: []coord.Put{{Key: t.renewersKey, Value: encodeRenewers(list)}},
	})
	switch {
	case err == nil:
		t.renewersRevision = revision
	case errors.Is(err, coord.ErrConflict):
		t.refreshRevision(ctx)
	}
	return err
}

// refreshRevision reads the revision of the list, which an earlier attempt may have written after
// all.
func (t *Tenure) refreshRevision(ctx context.Context) {
	if item, found, err := t.store.Get(ctx, t.renewersKey); err == nil && found {
		t.renewersRevision = item.Revision
	}
}
