package controller

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/platform"
)

// rereadHeads is how long a watch of the heads is trusted before all heads of
// the cell are read again.
const rereadHeads = 30 * time.Second

// watchHeads tells the loop of versions that are rolling, while the term lasts.
func (r *replica) watchHeads(ctx context.Context, term *leadership) {
	for {
		revision, err := r.readHeads(ctx, term)
		if err == nil {
			r.followHeads(ctx, term, revision)
		}
		if !clock.Sleep(ctx, rollRetry) {
			return
		}
	}
}

// readHeads reads the heads of all teams of the cell and returns the revision to
// watch from.
func (r *replica) readHeads(ctx context.Context, term *leadership) (platform.Revision, error) {
	heads, err := r.list(ctx, platform.HeadsPrefix(r.settings.Cell))
	if err != nil {
		return 0, err
	}
	for _, head := range heads.Entries {
		r.headSeen(ctx, term, head)
	}
	return heads.Revision, nil
}

// followHeads watches for changes until the service fails, or for a bounded
// time, so that a change that a watch has missed is found by reading.
func (r *replica) followHeads(ctx context.Context, term *leadership, from platform.Revision) {
	ctx, cancel := context.WithTimeout(ctx, rereadHeads)
	defer cancel()
	err := r.store.Watch(ctx, platform.HeadsPrefix(r.settings.Cell), from, func(event platform.Event) {
		if !event.Deleted {
			r.headSeen(ctx, term, event.Entry)
		}
	})
	if ctx.Err() == nil && err != nil {
		r.metrics.PlatformFailures.Inc()
	}
}

// headSeen reads the content of a rolling version and hands it to the loop.
func (r *replica) headSeen(ctx context.Context, term *leadership, entry platform.Entry) {
	head, err := decodeHead(entry)
	if err != nil {
		r.logger.Error().Err(err).Str("key", entry.Key).Msg("a head cannot be read")
		return
	}
	found, err := r.readRollout(ctx, head)
	if err != nil {
		return
	}
	r.postToTerm(ctx, term, func(r *replica) { r.rolloutRead(head.Team, found) })
}
