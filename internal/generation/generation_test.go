package generation

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// group returns a membership; names in lower case are learners.
func group(names ...string) consensus.Membership {
	var membership consensus.Membership
	for _, name := range names {
		member := consensus.Member{ID: wire.Incarnation(name), Learner: name >= "a"}
		membership.Members = append(membership.Members, member)
	}
	return membership
}

func gone(names ...string) Evidence {
	evidence := Evidence{}
	for _, name := range names {
		evidence[wire.Incarnation(name)] = ProofSealed
	}
	return evidence
}

func TestEnded(t *testing.T) {
	three := group("A", "B", "C")
	smaller := group("A", "B")
	larger := group("A", "B", "C", "D")
	cases := map[string]struct {
		members  consensus.Membership
		next     *consensus.Membership
		evidence Evidence
		ended    bool
	}{
		"no evidence":             {three, nil, nil, false},
		"one of three":            {three, nil, gone("A"), false},
		"two of three":            {three, nil, gone("A", "C"), true},
		"half of four":            {larger, nil, gone("A", "B"), false},
		"three of four":           {larger, nil, gone("A", "B", "D"), true},
		"the only one":            {group("A"), nil, gone("A"), true},
		"strangers prove nothing": {three, nil, gone("A", "X", "Y"), false},
		"learners do not count":   {group("A", "B", "C", "d", "e"), nil, gone("A", "d", "e"), false},
		"voters besides learners": {group("A", "B", "C", "d", "e"), nil, gone("A", "B"), true},
		"no voters":               {group("d"), nil, gone("d"), false},
		"members but not next":    {three, &larger, gone("A", "B"), false},
		"next but not members":    {larger, &three, gone("A", "B"), false},
		"members and next":        {three, &larger, gone("A", "B", "C"), true},
		"next needs all of two":   {three, &smaller, gone("A", "C"), false},
		"empty proof":             {three, nil, Evidence{"A": ProofNone, "B": ProofNone}, false},
		"proofs of three kinds": {
			group("A", "B", "C", "D", "E"), nil,
			Evidence{"A": ProofSealed, "C": ProofReplaced, "E": ProofMachineGone}, true,
		},
	}
	for name, test := range cases {
		record := Record{Members: test.members, Next: test.next}
		assert.Equal(t, Ended(record, test.evidence), test.ended, name)
	}
}

// living returns the voters without proof against them.
func living(membership consensus.Membership, evidence Evidence) (alive, voters int) {
	for _, member := range membership.Members {
		if member.Learner {
			continue
		}
		voters++
		if evidence[member.ID] == ProofNone {
			alive++
		}
	}
	return alive, voters
}

func canCommit(membership consensus.Membership, evidence Evidence) bool {
	alive, voters := living(membership, evidence)
	return alive >= voters/2+1
}

// everyEvidence calls check for each set of proofs against A to E.
func everyEvidence(check func(Evidence)) {
	names := []string{"A", "B", "C", "D", "E"}
	for set := range 1 << len(names) {
		evidence := Evidence{}
		for i, name := range names {
			if set&(1<<i) != 0 {
				evidence[wire.Incarnation(name)] = ProofSealed
			}
		}
		check(evidence)
	}
}

// TestEndedLeavesNoMajorityAlive tries every evidence against memberships that
// differ in up to all voters.
func TestEndedLeavesNoMajorityAlive(t *testing.T) {
	pairs := [][2]consensus.Membership{
		{group("A", "B", "C"), group("A", "B", "C", "d")},
		{group("A", "B", "C", "D"), group("A", "B", "C")},
		{group("A", "B", "C"), group("A", "B", "C", "D")},
		{group("A", "B", "C"), group("C", "D", "E")},
	}
	for _, pair := range pairs {
		everyEvidence(func(evidence Evidence) {
			if Ended(Record{Members: pair[0], Next: &pair[1]}, evidence) {
				assert.Assert(t, !canCommit(pair[0], evidence))
				assert.Assert(t, !canCommit(pair[1], evidence))
			}
		})
	}
}

// TestOneMembershipAloneIsNotEnough: with A and B gone, Members has ended, but
// where Next shares one voter with it, D and E may commit without a trace in
// the evidence. Between memberships one voter apart, as ProposeMembership makes
// them, any two majorities meet, so there the second proof is a safeguard
// against a record that lags by more than one change.
func TestOneMembershipAloneIsNotEnough(t *testing.T) {
	members, next := group("A", "B", "C"), group("C", "D", "E")
	evidence := gone("A", "B")
	assert.Assert(t, Ended(Record{Members: members}, evidence))
	assert.Assert(t, canCommit(next, evidence))
	assert.Assert(t, !Ended(Record{Members: members, Next: &next}, evidence))

	larger := group("A", "B", "C", "D")
	everyEvidence(func(evidence Evidence) {
		if Ended(Record{Members: members}, evidence) {
			assert.Assert(t, !canCommit(larger, evidence))
		}
	})
}
