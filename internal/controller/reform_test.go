package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

func member(id, address string) consensus.Member {
	return consensus.Member{ID: wire.Incarnation(id), Address: address}
}

// What an answer, or silence, proves about an old member.
func TestProofs(t *testing.T) {
	attempt := &reform{
		machines: machineList{"10.0.0.1": platform.MachineLive, "10.0.0.9": platform.MachineLeaving},
		record:   generation.Record{Unlisted: []wire.Incarnation{"unlisted"}},
	}
	answer := func(run string, outcome sealOutcome) *sealResponse {
		return &sealResponse{Incarnation: wire.Incarnation(run), Outcome: outcome}
	}
	cases := []struct {
		member consensus.Member
		answer *sealResponse
		want   generation.Proof
	}{
		{member("sealed", "10.0.0.1:7"), answer("sealed", sealDone), generation.ProofSealed},
		{member("led", "10.0.0.1:7"), answer("led", sealLeaderLives), generation.ProofNone},
		{member("restarted", "10.0.0.1:7"), answer("other", sealNotMember), generation.ProofReplaced},
		{member("silent", "10.0.0.1:7"), nil, generation.ProofNone},
		{member("leaving", "10.0.0.9:7"), nil, generation.ProofNone},
		{member("gone", "10.0.0.2:7"), nil, generation.ProofMachineGone},
		{member("unlisted", "10.0.0.2:7"), nil, generation.ProofNone},
		{member("answers", "10.0.0.2:7"), answer("answers", sealLeaderLives), generation.ProofNone},
	}
	for _, c := range cases {
		attempt.collect([]consensus.Member{c.member}, []*sealResponse{c.answer})
		assert.Equal(t, attempt.evidence[c.member.ID], c.want, string(c.member.ID))
	}
	attempt.machines = machineList{}
	assert.Equal(t, attempt.machineProof(member("gone", "10.0.0.2:7")), generation.ProofNone)
}

// The freshest state is the one at the end of the log that an election would
// choose: the later term wins over the longer log.
func TestFreshest(t *testing.T) {
	sealed := func(term consensus.Term, index consensus.Index, state uint64) sealResponse {
		return sealResponse{Term: term, Index: index, State: &cellstate.State{Index: state}}
	}
	best, found := freshest([]sealResponse{sealed(1, 90, 90), sealed(2, 40, 39), {}, sealed(2, 41, 41)})
	assert.Assert(t, found)
	assert.Equal(t, best.Index, uint64(41))
	_, found = freshest([]sealResponse{{Outcome: sealDone}})
	assert.Assert(t, !found)
}

// Every fence of a new generation is higher than any of the old one, and what
// was being released is served again by its owner.
func TestNextGeneration(t *testing.T) {
	state := cellstate.State{Generation: 3, Index: 7, Assignments: []cellstate.Assignment{
		{Owner: "a", Fence: wire.NewFence(3, 1<<39), State: wire.SliceReleasing},
		{Fence: wire.NewFence(2, 5)},
	}}
	next := nextGeneration(state, 4)
	assert.Equal(t, next.Version(), wire.TableVersion{Generation: 4, Index: 10}) // one more, and one a slice
	assert.Equal(t, next.Assignments[0].State, wire.SliceServing)
	for i := range next.Assignments {
		assert.Assert(t, next.Assignments[i].Fence > wire.NewFence(3, 1<<40-1))
		assert.Equal(t, next.Assignments[i].Owner, state.Assignments[i].Owner)
	}
	assert.Equal(t, state.Assignments[0].State, wire.SliceReleasing)
}

// Members come from as many zones as there are, whatever the order.
func TestChooseMembers(t *testing.T) {
	candidates := []consensus.Member{
		{ID: "e", Zone: "1"}, {ID: "a", Zone: "1"}, {ID: "b", Zone: "1"}, {ID: "c", Zone: "2"}, {ID: "d", Zone: "3"},
	}
	chosen := chooseMembers(candidates, 3)
	assert.DeepEqual(t, chosen, []consensus.Member{{ID: "a", Zone: "1"}, {ID: "c", Zone: "2"}, {ID: "d", Zone: "3"}})
	assert.Equal(t, len(chooseMembers(candidates[:2], 3)), 2)
}
