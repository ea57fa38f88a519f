package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Pauses between the tries of CompareAndSwapResolved.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

// CompareAndSwapResolved writes, and settles a lost answer by reading the key
// back until it knows what became of the write or ctx ends.
//
// Trying again is safe because write keeps its Expect and its WriteID: a try
// that took effect moves the revision, so every other try of the same write
// conflicts, however late it arrives, and is then recognized by the WriteID.
//
// It returns the new entry; or ErrConflict with the entry that stands instead,
// which is empty if the key is gone; or ErrUnavailable if ctx ended with the
// outcome unknown; or another error of the store, without effect. After a
// conflict that follows a lost answer the write may have taken effect and have
// been replaced since: the caller decides from the entry that it gets.
func CompareAndSwapResolved(ctx context.Context, store Store, write Write) (Entry, error) {
	if write.WriteID == "" {
		return Entry{}, fmt.Errorf("%w: a write needs a write id", ErrMalformed)
	}
	pause := firstPause
	for {
		entry, err := store.CompareAndSwap(ctx, write)
		if errors.Is(err, ErrConflict) {
			entry, err = resolveConflict(ctx, store, write)
		}
		if !errors.Is(err, ErrUnavailable) {
			return entry, err
		}
		if !clock.Sleep(ctx, pause) {
			return Entry{}, err
		}
		pause = min(2*pause, lastPause)
	}
}

// resolveConflict reads the key to see whether its revision moved because of
// this very write.
func resolveConflict(ctx context.Context, store Store, write Write) (Entry, error) {
	entry, err := store.Get(ctx, write.Key)
	switch {
	case errors.Is(err, ErrNotFound):
		return Entry{}, fmt.Errorf("%w: %s is absent", ErrConflict, write.Key)
	case err != nil:
		return Entry{}, err
	case entry.WriteID == write.WriteID:
		return entry, nil
	default:
		return entry, fmt.Errorf("%w: %s is at revision %d", ErrConflict, write.Key, entry.Revision)
	}
}
