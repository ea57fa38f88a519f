package election

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/shalefork/shalefork/internal/coord"
)

// Renewer is a process that may renew what workers hold: a leader or a standby of one.
// All of them are stored, so that the next leader knows whom to ask to stop.
type Renewer struct {
	// Address at which it answers the other processes.
	Address string `json:"address"`
	// Process is unique to the life of the process.
	Process string `json:"process"`
}

func (e *Election) renewersKey() string { return e.prefix + "renewers" }

// renewers returns the stored processes, and the revision of the record.
func (e *Election) renewers(ctx context.Context) ([]Renewer, coord.Revision, error) {
	item, found, err := e.store.Get(ctx, e.renewersKey())
	if err != nil || !found {
		return nil, 0, err
	}
	var list []Renewer
	if json.Unmarshal(item.Value, &list) != nil {
		// Who may renew is not known, as if the record were not there: the next leader outwaits
		// all that may have been given, and stores a list of its own.
		return nil, item.Revision, nil
	}
	return list, item.Revision, nil
}

// encodeRenewers writes each process once.
func encodeRenewers(list []Renewer) []byte {
	seen := map[Renewer]bool{}
	unique := make([]Renewer, 0, len(list))
	for _, one := range list {
		if !seen[one] {
			seen[one] = true
			unique = append(unique, one)
		}
	}
	value, err := json.Marshal(unique)
	if err != nil {
		panic(err) // it is plain data
	}
	return value
}

// StoreRenewers replaces the stored processes, as long as the tenure lasts and the record
// is as it was last known: a write without an answer that is done seconds later must not
// undo a newer one. After an error they may be stored all the same. It is not safe for
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

// reread learns the revision of a record that an earlier try has written after all.
func (t *Tenure) refreshRevision(ctx context.Context) {
	if item, found, err := t.store.Get(ctx, t.renewersKey); err == nil && found {
		t.renewersRevision = item.Revision
	}
}
