package controller

import (
	"context"
	"errors"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// startState is the freshest state that is left: the sealed member's with the
// last log entry, the checkpoint, or the old generation's own start.
func (a *reform) startState(ctx context.Context) (cellstate.State, error) {
	best := cellstate.New(a.settings.Cell, a.record.Generation)
	best.Index = startIndex
	if a.record.Start != "" {
		start, err := a.readStart(ctx, a.record.Start)
		if err != nil {
			return best, err
		}
		best = start
	}
	saved, revision, err := a.readCheckpoint(ctx)
	if err != nil {
		return best, err
	}
	if revision != 0 && saved.Version().Newer(best.Version()) {
		best = saved
	}
	if sealed, found := freshest(a.answers); found && !best.Version().Newer(sealed.Version()) {
		best = sealed
	}
	return nextGeneration(best, a.record.Generation+1), nil
}

// freshest compares the ends of the logs as an election does.
func freshest(answers []sealResponse) (cellstate.State, bool) {
	var best *sealResponse
	for i := range answers {
		answer := &answers[i]
		if answer.State == nil {
			continue
		}
		if best == nil || answer.Term > best.Term || (answer.Term == best.Term && answer.Index > best.Index) {
			best = answer
		}
	}
	if best == nil {
		return cellstate.State{}, false
	}
	return *best.State, true
}

// nextGeneration raises every fence to the new generation. The state may lag
// behind the old generation's last commits, so a fence of it may be lower than
// one already used; a fence of the new generation is higher than all. A fence
// names one grant, so each slice gets one of its own, as if a command for each
// had been applied. Owners keep their slices, save those whose keys another
// slice may have too, which they go on to release: the grants of the old
// generation have ended by the time that the new one grants anything.
func nextGeneration(state cellstate.State, next wire.Generation) cellstate.State {
	raised := state.Clone()
	raised.Generation = next
	raised.Index++
	for i := range raised.Assignments {
		raised.Index++
		raised.Assignments[i].Fence = wire.NewFence(next, raised.Index)
		if raised.Assignments[i].Owned() && !raised.Assignments[i].Divided {
			raised.Assignments[i].State = wire.SliceServing
		}
	}
	return raised
}

// write saves the start state under a key of its own, then moves the record by
// compare-and-swap: of several that try at once, one wins.
func (a *reform) write(ctx context.Context, state cellstate.State, members []consensus.Member) {
	key := a.startKey(state.Generation, platform.NewWriteID())
	if _, err := a.swap(ctx, key, 0, state); err != nil {
		return
	}
	record := generation.Record{
		Cell:       a.settings.Cell,
		Generation: state.Generation,
		Members:    consensus.Membership{Members: members},
		Start:      key,
		Unlisted:   a.machines.unlisted(members),
	}
	entry, err := a.swap(ctx, platform.GroupKey(a.settings.Cell), a.revision, record)
	if err == nil {
		a.metrics.GenerationsFormed.Inc()
		a.logger.Warn().Uint32("generation", uint32(record.Generation)).Int("members", len(members)).Msg("formed a new generation")
		a.groupRead(ctx, entry)
		a.discardStart(ctx, a.record.Start)
		return
	}
	if errors.Is(err, platform.ErrConflict) && !namesStart(entry, key) {
		a.discardStart(ctx, key)
	}
}

// namesStart reports whether a record that stands instead of the one written
// was made from it, as when the answer was lost and the group went on since.
func namesStart(entry platform.Entry, key string) bool {
	record, err := decodeRecord(entry)
	return err != nil || record.Start == key
}

// discardStart deletes a start state that no record names any more.
func (a *reform) discardStart(ctx context.Context, key string) {
	if key == "" {
		return
	}
	if entry, err := a.get(ctx, key); err == nil {
		a.remove(ctx, entry)
	}
}
