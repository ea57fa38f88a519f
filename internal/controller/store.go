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
	return c.swapLeased(ctx, key, expect, value, "")
}

func (c *Controller) swapLeased(ctx context.Context, key string, expect platform.Revision, value any, lease string) (platform.Entry, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return platform.Entry{}, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	entry, err := platform.CompareAndSwapResolved(ctx, c.store, platform.Write{
		Key:     key,
		Value:   encoded,
		Expect:  expect,
		WriteID: platform.NewWriteID(),
		Lease:   lease,
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		c.metrics.PlatformFailures.Inc()
	}
	return entry, err
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
func (c *Controller) list(ctx context.Context, prefix string) ([]platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	entries, err := c.store.List(ctx, prefix)
	if err != nil {
		c.metrics.PlatformFailures.Inc()
	}
	return entries, err
}
