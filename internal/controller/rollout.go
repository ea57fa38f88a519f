package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/wire"
)

// rollout is the highest version of a team that the platform's service holds as
// rolling or in force.
type rollout struct {
	team    bundle.TeamName
	version bundle.Version
	digest  string
	content bundle.Bundle
	// unread says that the content was not read, as the state held the version.
	unread bool
	// inForce says that the head calls it in force. The cell's state may know
	// only a lower version, if it came from an old checkpoint.
	inForce bool
	// problem says why the cell cannot serve it; empty if it can.
	problem string
	// proposed is the log index of its adoption, zero before.
	proposed consensus.Index
	// busy says that the head is being moved.
	busy bool
	// notBefore delays the next try to move the head.
	notBefore time.Duration
}

// rollouts are the versions that the leader still has work with, by team.
type rollouts map[bundle.TeamName]*rollout

func newRollouts() rollouts {
	return rollouts{}
}

// settled notes that the log rejected an adoption for good.
func (all rollouts) settled(entry consensus.Entry, rejection cellstate.Rejection) {
	for _, one := range all {
		if one.proposed != entry.Index {
			continue
		}
		one.proposed = 0
		if rejection != cellstate.Applied && rejection != cellstate.RejectedOldVersion {
			one.problem = fmt.Sprintf("the cell refused it: %s", rejection)
		}
	}
}

// activeVersion returns the highest version that is rolling or in force.
func activeVersion(head lifecycle.Head) (lifecycle.Entry, bool) {
	rolling, isRolling := head.Rolling()
	inForce, isInForce := head.InForce()
	if isRolling && rolling.Version > inForce.Version {
		return rolling, true
	}
	return inForce, isInForce
}

// readRollout reads the content of the active version and checks again what the
// controller that took the operators' writes has checked: neither that
// controller nor the platform's service is trusted with what is in force.
func (c *Controller) readRollout(ctx context.Context, head lifecycle.Head) (*rollout, error) {
	entry, active := activeVersion(head)
	if !active {
		return nil, nil
	}
	found := &rollout{
		team:    head.Team,
		version: entry.Version,
		digest:  entry.Digest,
		inForce: entry.State == adminapi.StateInForce,
	}
	if found.inForce && c.view.Load().state.Teams[head.Team].Bundle.Version >= found.version {
		found.unread = true // adopted already, and versions only rise
		return found, nil
	}
	content, err := c.readContent(ctx, head.Team, entry)
	if err != nil && !errors.Is(err, errContentMissing) {
		return nil, err
	}
	found.content = content
	switch {
	case err != nil:
		found.problem = err.Error()
	default:
		found.problem = c.whyNotRolled(head.Team, entry, content)
	}
	return found, nil
}

// whyNotRolled returns why a version may not come into force, or nothing.
func (c *Controller) whyNotRolled(team bundle.TeamName, entry lifecycle.Entry, content bundle.Bundle) string {
	approver, known := c.operators[entry.ApprovedBy]
	switch {
	case content.Team != team || content.Version != entry.Version:
		return "the content is of another team or version"
	case !known || !approver.may(team):
		return fmt.Sprintf("approver %q may not change the team", entry.ApprovedBy)
	case entry.ApprovedBy == entry.ProposedBy:
		return "the proposer approved it"
	case bundle.Verify(approver.key, content, entry.Signature) != nil:
		return "the approval's signature is not over the content"
	default:
		return c.whyUnservable(content)
	}
}

// rolloutRead takes in what a head holds; nil means that nothing is active.
func (r *replica) rolloutRead(team bundle.TeamName, found *rollout) {
	all := r.leadership.rollouts
	if found == nil {
		delete(all, team)
		return
	}
	if known := all[team]; known != nil && known.version >= found.version {
		return
	}
	if found.inForce && r.state.Teams[team].Bundle.Version >= found.version {
		delete(all, team)
		return
	}
	if found.unread {
		return // the state is another one by now: the next reading sees it
	}
	all[team] = found
}

// rollBundles drives every active version to be in force or refused.
func (r *replica) rollBundles() {
	l := r.leadership
	now := r.clock.Now().Lower
	for _, team := range slices.Sorted(maps.Keys(l.rollouts)) {
		one := l.rollouts[team]
		if !one.busy && one.proposed == 0 && now >= one.notBefore {
			r.rollOne(one)
		}
	}
}

func (r *replica) rollOne(one *rollout) {
	team := r.state.Teams[one.team]
	adopted := team.Bundle.Version
	switch {
	case adopted == one.version && team.Digest != one.digest:
		r.logger.Error().Str("team", string(one.team)).Msg("another content of the version is adopted")
		one.notBefore = r.clock.Now().Lower + rollRetry
	case adopted == one.version && team.InForce:
		r.settleRollout(one, func(head lifecycle.Head) (lifecycle.Head, lifecycle.Outcome) {
			return lifecycle.InForce(head, one.version)
		})
	case adopted >= one.version:
		// Adopted, and not yet carried by every grant; or a later one is.
	case one.problem != "" && !one.inForce:
		r.settleRollout(one, func(head lifecycle.Head) (lifecycle.Head, lifecycle.Outcome) {
			return lifecycle.Refuse(head, one.version, one.problem)
		})
	case one.problem != "":
		r.logger.Error().Str("team", string(one.team)).Str("problem", one.problem).Msg("the version in force cannot be adopted")
		one.notBefore = r.clock.Now().Lower + rereadHeads
	default:
		r.adopt(one)
	}
}

// adopt proposes the version, or notes the problem for which it is refused.
func (r *replica) adopt(one *rollout) {
	command := cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: one.content, Digest: one.digest}}
	one.problem = r.conflictOf(one)
	if one.problem == "" {
		one.problem = sizeProblem(r.state, command)
	}
	if one.problem != "" {
		return
	}
	one.proposed = r.proposeOnce(command)
}

// maxStateBytes bounds a cell's state with a new bundle. State and table go as
// one line each; half of what a line can hold is left for splits to come.
const maxStateBytes = wire.MaxLineBytes / 2

// sizeProblem says that the state would be too large after the command: no
// member, standby or gateway could read it any more. Empty if it is not.
func sizeProblem(state cellstate.State, command cellstate.Command) string {
	next, _ := cellstate.Apply(state, state.Index+1, command)
	size := len(encodeState(next))
	if size <= maxStateBytes {
		return ""
	}
	return fmt.Sprintf("the cell's state would take %d bytes, at most %d are allowed: too many slices, servers or services", size, maxStateBytes)
}

// conflictOf says which route or address another team has; empty if none.
func (r *replica) conflictOf(one *rollout) string {
	conflicts := r.state.Conflicts(one.content)
	if len(conflicts) == 0 {
		return ""
	}
	return conflicts[0].String()
}

// settleRollout moves the head in the background, and again until it worked.
func (r *replica) settleRollout(one *rollout, step headStep) {
	l := r.leadership
	one.busy = true
	r.background(func(ctx context.Context) {
		outcome, err := r.moveHead(ctx, one.team, step)
		r.postToTerm(ctx, l, func(r *replica) { r.rolloutSettled(one, outcome, err) })
	})
}

func (r *replica) rolloutSettled(one *rollout, outcome lifecycle.Outcome, err error) {
	one.busy = false
	if err != nil {
		one.notBefore = r.clock.Now().Lower + rollRetry
		return
	}
	if r.leadership.rollouts[one.team] == one {
		delete(r.leadership.rollouts, one.team)
	}
	if !outcome.OK() {
		r.logger.Warn().Str("team", string(one.team)).Str("message", outcome.Message).Msg("the head has moved on")
		return
	}
	if outcome.Status.State == adminapi.StateRefused {
		r.metrics.BundlesRefused.Inc()
	}
	r.logger.Info().Str("team", string(one.team)).Uint64("version", uint64(one.version)).
		Str("state", string(outcome.Status.State)).Str("reason", outcome.Status.Reason).Msg("bundle settled")
}
