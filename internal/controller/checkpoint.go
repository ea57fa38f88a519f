package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/platform"
)

// checkpointState is what the leader knows of its checkpoints.
type checkpointState struct {
	// index of the last checkpoint that was surely written.
	index uint64
	busy  bool
	// notBefore bounds the rate.
	notBefore time.Duration
}

// saveCheckpoint writes the committed state to the platform's service, at most
// once a second and only when it has changed.
func (r *replica) saveCheckpoint() {
	l := r.leadership
	now := r.clock.Now().Lower
	if l == nil || r.checkpoint.busy || now < r.checkpoint.notBefore || r.state.Index <= r.checkpoint.index {
		return
	}
	r.checkpoint.busy = true
	r.checkpoint.notBefore = now + checkpointEvery
	state := r.state
	r.background(func(ctx context.Context) {
		err := r.writeCheckpoint(ctx, state)
		r.post(ctx, func(r *replica) { r.checkpointWritten(state, err) })
	})
}

func (r *replica) checkpointWritten(state cellstate.State, err error) {
	r.checkpoint.busy = false
	if err != nil || state.Generation != r.generation {
		return
	}
	r.checkpoint.index = state.Index
	r.metrics.Checkpoints.Inc()
	r.metrics.CheckpointIndex.Set(float64(state.Index))
}

// writeCheckpoint replaces the checkpoint unless it is as young already. An
// older leader that is late so never overwrites a younger one's.
func (c *Controller) writeCheckpoint(ctx context.Context, state cellstate.State) error {
	current, revision, err := c.readCheckpoint(ctx)
	if err != nil {
		return err
	}
	if revision != 0 && !state.Version().Newer(current.Version()) {
		return nil
	}
	_, err = c.swap(ctx, platform.CheckpointKey(c.settings.Cell), revision, state)
	return err
}

// readCheckpoint returns the checkpoint and its revision, which is zero if
// there is none.
func (c *Controller) readCheckpoint(ctx context.Context) (cellstate.State, platform.Revision, error) {
	entry, err := c.get(ctx, platform.CheckpointKey(c.settings.Cell))
	if errors.Is(err, platform.ErrNotFound) {
		return cellstate.State{}, 0, nil
	}
	if err != nil {
		return cellstate.State{}, 0, err
	}
	var state cellstate.State
	err = json.Unmarshal(entry.Value, &state)
	return state, entry.Revision, Error.Wrap(err)
}
