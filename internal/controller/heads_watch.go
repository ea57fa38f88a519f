package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/platform"
)

// rereadHeads is how long a watch of the heads is trusted before all heads of
// the cell are read again.
const rereadHeads = 30 * time.Second

// teamMarker says that a team has bundles for the cell. The leader finds the
// teams by these markers, without listing every bundle that there is.
type teamMarker struct {
	Team bundle.TeamName `json:"team"`
}

func (c *Controller) teamMarkerPrefix() string {
	return "cells/" + string(c.settings.Cell) + "/teams/"
}

// announceTeam makes the team's marker if it is not there.
func (c *Controller) announceTeam(ctx context.Context, team bundle.TeamName) error {
	key := c.teamMarkerPrefix() + string(team)
	_, err := c.get(ctx, key)
	if !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = c.swap(ctx, key, 0, teamMarker{Team: team})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// watchHeads tells the loop of versions that are rolling, while the term lasts.
func (r *replica) watchHeads(ctx context.Context, term *leadership) {
	for {
		revision, err := r.readHeads(ctx, term)
		if err == nil {
			r.followHeads(ctx, term, revision)
		}
		if !sleep(ctx, rollRetry) {
			return
		}
	}
}

// readHeads reads the heads of all teams of the cell and returns the highest
// revision seen.
func (r *replica) readHeads(ctx context.Context, term *leadership) (platform.Revision, error) {
	markers, err := r.list(ctx, r.teamMarkerPrefix())
	if err != nil {
		return 0, err
	}
	var highest platform.Revision
	for _, entry := range markers {
		var marker teamMarker
		if json.Unmarshal(entry.Value, &marker) != nil {
			continue
		}
		head, err := r.get(ctx, platform.HeadKey(marker.Team))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, err
		}
		highest = max(highest, entry.Revision, head.Revision)
		if err == nil {
			r.headSeen(ctx, term, head)
		}
	}
	return highest, nil
}

// followHeads watches for changes until the service fails, or for a bounded
// time, so that a change that a watch has missed is found by reading.
func (r *replica) followHeads(ctx context.Context, term *leadership, from platform.Revision) {
	ctx, cancel := context.WithTimeout(ctx, rereadHeads)
	defer cancel()
	err := r.store.Watch(ctx, platform.TeamsPrefix, from, func(event platform.Event) {
		if !event.Deleted && strings.HasSuffix(event.Entry.Key, headSuffix) {
			r.headSeen(ctx, term, event.Entry)
		}
	})
	if ctx.Err() == nil && err != nil {
		r.metrics.PlatformFailures.Inc()
	}
}

const headSuffix = "/head"

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
