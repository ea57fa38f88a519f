package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// sealTimeout bounds one seal request.
const sealTimeout = time.Second

// watchForEnd looks, while no leader is known, for proof that the group has
// ended, and then forms the next generation. Standbys do it as well, since all
// members may be lost. Nothing is sealed while the platform's service is down:
// a group that may yet come back by itself must not be ended when no new one
// can be formed.
func (c *Controller) watchForEnd(ctx context.Context) error {
	for {
		pause := c.times.reformAfter + time.Duration(c.randomFraction()*float64(c.times.reformAfter)/2)
		if !sleep(ctx, pause) {
			return nil
		}
		if c.suspectsEnd() {
			c.tryReform(ctx)
		}
	}
}

// suspectsEnd is true for a member without a leader for ReformAfter, and always
// for a standby, which knows of no leader: it asks the members.
func (c *Controller) suspectsEnd() bool {
	current := c.view.Load()
	if !current.record.known {
		return false
	}
	return !current.member || current.leaderless >= c.times.reformAfter
}

// reform is one attempt to form the next generation.
type reform struct {
	*Controller
	record   generation.Record
	revision platform.Revision
	machines machineList
	evidence generation.Evidence
	answers  []sealResponse
	// lives is set when a member knows of a live leader.
	lives bool
}

// tryReform makes one attempt. It costs the platform's service nothing while
// one member that is asked knows of a leader.
func (c *Controller) tryReform(ctx context.Context) {
	if c.leaderLives(ctx) {
		return
	}
	attempt, ok := c.beginReform(ctx)
	if !ok {
		return
	}
	attempt.round(ctx, true)
	if attempt.lives || !generation.Ended(attempt.record, attempt.evidence) {
		return
	}
	attempt.round(ctx, false)
	if attempt.lives || !generation.Ended(attempt.record, attempt.evidence) {
		return
	}
	attempt.form(ctx)
}

// leaderLives asks one member of the record as last read, drawn at random.
func (c *Controller) leaderLives(ctx context.Context) bool {
	record := c.view.Load().record.record
	members := votersOf(record.Members)
	if len(members) == 0 {
		return false
	}
	member := members[c.random()%uint64(len(members))]
	asked := sealRequest{Cell: c.settings.Cell, Generation: record.Generation, Probe: true}
	answer, err := c.askSeal(ctx, member, asked)
	return err == nil && answer.Outcome == sealLeaderLives
}

// beginReform reads the record and the machine list afresh. Without both there
// is no attempt.
func (c *Controller) beginReform(ctx context.Context) (*reform, bool) {
	entry, err := c.get(ctx, platform.GroupKey(c.settings.Cell))
	if err != nil {
		return nil, false
	}
	record, err := decodeRecord(entry)
	if err != nil {
		return nil, false
	}
	c.groupRead(ctx, entry)
	machines, err := c.listMachines(ctx)
	if err != nil {
		return nil, false
	}
	return &reform{Controller: c, record: record, revision: entry.Revision, machines: machines}, true
}

// round asks all old members at once and collects the proofs.
func (a *reform) round(ctx context.Context, probe bool) {
	members := oldMembers(a.record)
	answers := make([]*sealResponse, len(members))
	asked := sealRequest{Cell: a.settings.Cell, Generation: a.record.Generation, Probe: probe}
	var asking sync.WaitGroup
	for i, member := range members {
		asking.Go(func() {
			if answer, err := a.askSeal(ctx, member, asked); err == nil {
				answers[i] = &answer
			}
		})
	}
	asking.Wait()
	a.collect(members, answers)
}

func (a *reform) collect(members []consensus.Member, answers []*sealResponse) {
	a.evidence = generation.Evidence{}
	a.answers = nil
	for i, member := range members {
		answer := answers[i]
		if answer == nil {
			a.evidence[member.ID] = a.machineProof(member)
			continue
		}
		a.evidence[member.ID] = answer.proof(member.ID)
		a.answers = append(a.answers, *answer)
		a.lives = a.lives || answer.Outcome == sealLeaderLives
	}
}

// machineProof is proof only against a member that did not answer, since the
// list lags and a live answer outvotes it, and whose machine was on the list
// before. An empty list proves nothing.
func (a *reform) machineProof(member consensus.Member) generation.Proof {
	listed := a.machines.stateOf(member.Address) != ""
	if listed || len(a.machines) == 0 || slices.Contains(a.record.Unlisted, member.ID) {
		return generation.ProofNone
	}
	return generation.ProofMachineGone
}

// oldMembers returns all that the record names, each once.
func oldMembers(record generation.Record) []consensus.Member {
	members := append([]consensus.Member(nil), record.Members.Members...)
	if record.Next == nil {
		return members
	}
	for _, member := range record.Next.Members {
		if _, known := findMember(record.Members, member.ID); !known {
			members = append(members, member)
		}
	}
	return members
}

// form waits until every grant of the old generation has surely ended, then
// writes the next generation's start state and record. The wait comes before
// the record, so that no member of the new generation can act earlier.
func (a *reform) form(ctx context.Context) {
	proved := a.clock.Now()
	state, err := a.startState(ctx)
	if err != nil {
		return
	}
	members, err := a.newMembers(ctx)
	if err != nil || len(members) == 0 {
		return
	}
	if !a.waitUntil(ctx, proved.Lower+a.times.oldGrantsEnd()) {
		return
	}
	a.write(ctx, state, members)
}

// waitUntil waits until the clock has surely passed the instant.
func (c *Controller) waitUntil(ctx context.Context, until time.Duration) bool {
	for !c.clock.Now().SurelyReached(until) {
		if !sleep(ctx, max(time.Millisecond, until-c.clock.Now().Lower)) {
			return false
		}
	}
	return true
}

// newMembers picks the new group from the controllers that answer now. A group
// smaller than wanted is formed rather than none, and grows later.
func (a *reform) newMembers(ctx context.Context) ([]consensus.Member, error) {
	present, err := a.presences(ctx)
	if err != nil {
		return nil, err
	}
	live := make([]bool, len(present))
	var asking sync.WaitGroup
	for i, member := range present {
		asking.Go(func() {
			answer, err := a.askSeal(ctx, member, sealRequest{Cell: a.settings.Cell, Generation: a.record.Generation, Probe: true})
			live[i] = err == nil && answer.Incarnation == member.ID
		})
	}
	asking.Wait()
	var candidates []consensus.Member
	for i, member := range present {
		if live[i] {
			candidates = append(candidates, member)
		}
	}
	return chooseMembers(candidates, a.settings.Replicas), nil
}

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
// one already used; a fence of the new generation is higher than all. Owners
// keep their slices: the grants of the old generation have ended by the time
// that the new one grants anything.
func nextGeneration(state cellstate.State, next wire.Generation) cellstate.State {
	raised := state.Clone()
	raised.Generation = next
	raised.Index++
	fence := wire.NewFence(next, raised.Index)
	for i := range raised.Assignments {
		raised.Assignments[i].Fence = fence
		if raised.Assignments[i].Owned() {
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

// discardStart deletes a start state that no record names.
func (a *reform) discardStart(ctx context.Context, key string) {
	if entry, err := a.get(ctx, key); err == nil {
		a.remove(ctx, entry)
	}
}
