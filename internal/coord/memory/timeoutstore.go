package memory

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/coord"
)

// Bounded is a store whose commits end after a time, as a real client's do.
type TimeoutStore struct {
	coord.Store
	CommitTimeout time.Duration
}

// Commit implements coord.Store.
func (b TimeoutStore) Commit(ctx context.Context, txn coord.Txn) (coord.Revision, error) {
	limited, cancel := context.WithTimeout(ctx, b.CommitTimeout)
	defer cancel()
	return b.Store.Commit(limited, txn)
}
