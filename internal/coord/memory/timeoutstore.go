package memory

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
)

// TimeoutStore is a store whose commits are given up after CommitTimeout, as by a real client.
type TimeoutStore struct {
	coord.Store
	CommitTimeout time.Duration
}

// Commit implements coord.Store.
func (s TimeoutStore) Commit(ctx context.Context, txn coord.Txn) (coord.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, s.CommitTimeout)
	defer cancel()
	return s.Store.Commit(bounded, txn)
}
