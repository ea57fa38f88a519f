package election

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/shalefork/shalefork/internal/coord"
)

// Renewer is a process that may renew the holds of workers: a leader or one of its standbys. All of
// them are stored, so that the next leader knows which processes to ask to stop.
type Renewer struct {
	// Address is the address of its peer port.
	Address string `json:"address"`
	// Process is an ID unique to one run of the process.
	Process string `json:"process"`
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

// encodeRenewers encodes the list without duplicates.
func encodeRenewers(list []Renewer) []byte {
	seen := map[Renewer]bool{}
	unique := make([]Renewer, 0, len(list))
	for _, renewer := range list {
		if !seen[renewer] {
			seen[renewer] = true
			unique = append(unique, renewer)
		}
	}
	value, err := json.Marshal(unique)
	if err != nil {
		panic(err) // the list is plain data, which always encodes
	}
	return value
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
