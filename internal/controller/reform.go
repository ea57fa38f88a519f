package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
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
		if !clock.Sleep(ctx, pause) {
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
// the record, so that no member of the new generation can act earlier. It comes
// also before the start state is read: a leader that is left over may commit
// from answers on their way, and save a checkpoint, for as long as its
// leadership lease runs, which is shorter than the wait.
func (a *reform) form(ctx context.Context) {
	proved := a.clock.Now()
	if !a.waitUntil(ctx, proved.Lower+a.times.oldGrantsEnd()) {
		return
	}
	state, err := a.startState(ctx)
	if err != nil {
		return
	}
	members, err := a.newMembers(ctx)
	if err != nil || len(members) == 0 {
		return
	}
	a.write(ctx, state, members)
}

// waitUntil waits until the clock has surely passed the instant.
func (c *Controller) waitUntil(ctx context.Context, until time.Duration) bool {
	for !c.clock.Now().SurelyReached(until) {
		if !clock.Sleep(ctx, max(time.Millisecond, until-c.clock.Now().Lower)) {
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
	return chooseMembers(a.answering(ctx, present, a.record.Generation), a.settings.Replicas), nil
}

// answering returns the controllers whose present run answers now. A presence
// outlives its process by as much as the lease.
func (c *Controller) answering(ctx context.Context, present []consensus.Member, current wire.Generation) []consensus.Member {
	live := make([]bool, len(present))
	asked := sealRequest{Cell: c.settings.Cell, Generation: current, Probe: true}
	var asking sync.WaitGroup
	for i, member := range present {
		asking.Go(func() {
			answer, err := c.askSeal(ctx, member, asked)
			live[i] = err == nil && answer.Incarnation == member.ID
		})
	}
	asking.Wait()
	var found []consensus.Member
	for i, member := range present {
		if live[i] {
			found = append(found, member)
		}
	}
	return found
}
