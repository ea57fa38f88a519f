package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// startKey holds the state that a generation starts from. Each attempt to form
// a generation has a key of its own, so that the record names exactly the state
// that its writer wrote.
func (c *Controller) startKey(generation wire.Generation, attempt string) string {
	return fmt.Sprintf("cells/%s/starts/%d-%s", c.settings.Cell, generation, attempt)
}

// swap writes value as JSON by compare-and-swap; a lost answer is resolved by
// reading the key back. It returns ErrConflict with the entry that stands
// instead if another write won, and ErrUnavailable if the effect cannot be
// learned now.
func (c *Controller) swap(ctx context.Context, key string, expect platform.Revision, value any) (platform.Entry, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return platform.Entry{}, Error.Wrap(err)
	}
	return c.write(ctx, platform.Write{Key: key, Value: encoded, Expect: expect})
}

// write is swap for a value in bytes, and for a key under a lease.
func (c *Controller) write(ctx context.Context, write platform.Write) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	write.WriteID = platform.NewWriteID()
	entry, err := platform.CompareAndSwapResolved(ctx, c.store, write)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		c.metrics.PlatformFailures.Inc()
	}
	return entry, err
}

// remove deletes a key that nobody needs any more. A failure leaves it there,
// which does no harm.
func (c *Controller) remove(ctx context.Context, entry platform.Entry) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := c.store.Delete(ctx, entry.Key, entry.Revision); err != nil {
		c.metrics.PlatformFailures.Inc()
	}
}

// get reads a key, bounded in time.
func (c *Controller) get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.metrics.PlatformFailures.Inc()
	}
	return entry, err
}

// list reads a prefix, bounded in time.
func (c *Controller) list(ctx context.Context, prefix string) (platform.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	listing, err := c.store.List(ctx, prefix)
	if err != nil {
		c.metrics.PlatformFailures.Inc()
	}
	return listing, err
}
