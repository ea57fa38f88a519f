package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// membershipChange is one change of the group, which goes through three steps:
// the record is written with Next, the change is committed, the record is
// written with Members. The record so names, at every moment, each membership
// that could be the one that commits; whoever forms a new generation needs
// proof against both.
type membershipChange struct {
	// busy says that a read or write of the platform's service is under way.
	busy bool
	// notBefore delays the next try after a failure.
	notBefore time.Duration
}

// standbysRetry is the pause between two reads of who is present.
const standbysRetry = 2 * time.Second

// changeRetry is the pause after a step that failed, as while the platform's
// service is down.
const changeRetry = 500 * time.Millisecond

// replaceMembers takes the next step of a membership change, if one is due.
func (r *replica) replaceMembers() {
	l := r.leadership
	now := r.clock.Now()
	if l == nil || l.change.busy || now.Lower < l.change.notBefore || !r.recordIsOurs() {
		return
	}
	record := r.group.record
	if record.Next != nil {
		r.finishChange(now, record)
		return
	}
	next, wanted := r.wantedChange(now)
	if !wanted {
		return
	}
	record.Next = &next
	record.Unlisted = r.stillUnlisted(record, next)
	r.writeRecord(record)
}

// stillUnlisted returns the members of both memberships whose machine was not
// listed when they were named. One that was unlisted stays so.
func (r *replica) stillUnlisted(record generation.Record, next consensus.Membership) []wire.Incarnation {
	var ids []wire.Incarnation
	for _, member := range oldMembers(record) {
		if slices.Contains(record.Unlisted, member.ID) {
			ids = append(ids, member.ID)
		}
	}
	added := slices.DeleteFunc(slices.Clone(next.Members), func(member consensus.Member) bool {
		_, known := findMember(record.Members, member.ID)
		return known
	})
	return append(ids, r.leadership.machines.unlisted(added)...)
}

// recordIsOurs reports whether the record as last read is of this generation.
func (r *replica) recordIsOurs() bool {
	return r.group.known && r.group.record.Generation == r.generation
}

// finishChange drives a change that the record announces. A change that the
// former leader announced and did not commit is taken up again here.
func (r *replica) finishChange(now clock.Instant, record generation.Record) {
	if sameMembers(r.committed, *record.Next) {
		record.Members = *record.Next
		record.Next = nil
		r.writeRecord(record)
		return
	}
	latest := r.node.Status().Membership
	if sameMembers(latest, *record.Next) {
		return // proposed, not yet committed
	}
	r.leadership.change.notBefore = now.Lower + r.times.heartbeat
	_, outcome := r.node.ProposeMembership(now, *record.Next)
	if outcome == consensus.ProposeInvalid {
		record.Next = nil
		r.writeRecord(record)
	}
}

// writeRecord writes the record in the background. A failure is not resolved
// here: the record is read again and the step is decided anew.
func (r *replica) writeRecord(record generation.Record) {
	l := r.leadership
	l.change.busy = true
	expect := r.group.revision
	r.background(func(ctx context.Context) {
		entry, err := r.swap(ctx, platform.GroupKey(r.settings.Cell), expect, record)
		if err == nil || (errors.Is(err, platform.ErrConflict) && entry.Revision > 0) {
			r.groupRead(ctx, entry)
		}
		r.postToTerm(ctx, l, func(r *replica) { r.changeWritten(err) })
	})
}

func (r *replica) changeWritten(err error) {
	change := &r.leadership.change
	change.busy = false
	if err != nil {
		change.notBefore = r.clock.Now().Lower + changeRetry
	}
}

// wantedChange decides the next change: first promote a learner that has caught
// up, then remove a silent member that is no longer needed for the number of
// voters, then bring a standby in.
func (r *replica) wantedChange(now clock.Instant) (consensus.Membership, bool) {
	status := r.node.Status()
	live := r.liveMembers(now, status)
	voters := votersOf(r.committed)
	learners := learnersOf(r.committed)
	for _, learner := range learners {
		if !live[learner.ID] {
			return without(r.committed, learner.ID), true
		}
		if caughtUp(status, learner.ID) {
			return promoted(r.committed, learner.ID), true
		}
	}
	silent, lost := firstSilent(voters, live)
	if lost && len(voters) > r.settings.Replicas {
		return without(r.committed, silent.ID), true
	}
	if len(learners) > 0 || (!lost && len(voters) >= r.settings.Replicas) {
		return consensus.Membership{}, false
	}
	standby, found := r.pickStandby(now, live)
	if !found {
		return consensus.Membership{}, false
	}
	standby.Learner = true
	return with(r.committed, standby), true
}

// liveMembers holds the members heard within ReplaceAfter, this one included. A
// member never heard counts from the election.
func (r *replica) liveMembers(now clock.Instant, status consensus.Status) map[wire.Incarnation]bool {
	live := map[wire.Incarnation]bool{r.self(): true}
	elected, _ := r.node.Elected()
	for _, progress := range status.Match {
		heard := max(progress.LastHeard, elected.Upper)
		if now.Upper-heard < r.times.replaceAfter {
			live[progress.ID] = true
		}
	}
	return live
}

// catchUpGap is how many entries a learner may lack to be promoted.
const catchUpGap = 16

func caughtUp(status consensus.Status, id wire.Incarnation) bool {
	for _, progress := range status.Match {
		if progress.ID == id {
			return progress.Match > 0 && progress.Match+catchUpGap >= status.Last
		}
	}
	return false
}

func firstSilent(voters []consensus.Member, live map[wire.Incarnation]bool) (consensus.Member, bool) {
	for _, voter := range voters {
		if !live[voter.ID] {
			return voter, true
		}
	}
	return consensus.Member{}, false
}

// pickStandby returns a present controller that is no member, from a zone with
// the fewest live voters. Presences are read again when none is known.
func (r *replica) pickStandby(now clock.Instant, live map[wire.Incarnation]bool) (consensus.Member, bool) {
	inZone := map[string]int{}
	memberAt := map[string]bool{}
	for _, member := range r.committed.Members {
		if live[member.ID] {
			inZone[member.Zone]++
			memberAt[member.Address] = true
		}
	}
	var candidates []consensus.Member
	for _, standby := range r.standbys {
		_, member := findMember(r.committed, standby.ID)
		if !member && !memberAt[standby.Address] {
			candidates = append(candidates, standby)
		}
	}
	r.standbys = nil
	if len(candidates) == 0 {
		r.readStandbys(now)
		return consensus.Member{}, false
	}
	return candidates[fewestInZone(candidates, inZone)], true
}

// readStandbys asks the platform's service who is present.
func (r *replica) readStandbys(now clock.Instant) {
	l := r.leadership
	l.change.busy = true
	l.change.notBefore = now.Lower + standbysRetry
	current := r.generation
	r.background(func(ctx context.Context) {
		present, err := r.presences(ctx)
		if err != nil {
			present = nil
		}
		live := r.answering(ctx, present, current)
		r.postToTerm(ctx, l, func(r *replica) { r.standbysRead(live) })
	})
}

// standbysRead takes in who is present. If anybody is, the change goes on at
// once; whoever is a member already is sorted out when a standby is picked.
func (r *replica) standbysRead(live []consensus.Member) {
	r.leadership.change.busy = false
	r.standbys = live
	for _, present := range live {
		if _, member := findMember(r.committed, present.ID); !member {
			r.leadership.change.notBefore = 0
		}
	}
}

// membershipCommitted takes in a membership that the log has committed.
func (r *replica) membershipCommitted(membership consensus.Membership) {
	if len(votersOf(membership)) < len(votersOf(r.committed)) {
		r.metrics.MembersReplaced.Inc()
	}
	r.committed = membership
	addresses := map[string]bool{}
	for _, member := range membership.Members {
		addresses[member.Address] = true
	}
	r.outbox.keepOnly(addresses)
	r.logger.Info().Int("members", len(membership.Members)).Int("voters", len(votersOf(membership))).Msg("the control group has changed")
}

func votersOf(membership consensus.Membership) []consensus.Member {
	return slices.DeleteFunc(slices.Clone(membership.Members), func(m consensus.Member) bool { return m.Learner })
}

func learnersOf(membership consensus.Membership) []consensus.Member {
	return slices.DeleteFunc(slices.Clone(membership.Members), func(m consensus.Member) bool { return !m.Learner })
}

func with(membership consensus.Membership, member consensus.Member) consensus.Membership {
	members := append(slices.Clone(membership.Members), member)
	sortMembers(members)
	return consensus.Membership{Members: members}
}

func without(membership consensus.Membership, id wire.Incarnation) consensus.Membership {
	members := slices.DeleteFunc(slices.Clone(membership.Members), func(m consensus.Member) bool { return m.ID == id })
	return consensus.Membership{Members: members}
}

func promoted(membership consensus.Membership, id wire.Incarnation) consensus.Membership {
	members := slices.Clone(membership.Members)
	for i := range members {
		if members[i].ID == id {
			members[i].Learner = false
		}
	}
	return consensus.Membership{Members: members}
}

func sameMembers(a, b consensus.Membership) bool {
	return slices.Equal(a.Members, b.Members)
}
