// Package generation decides when a new control group may be formed.
//
// The platform's service holds one Record a cell, changed only by
// compare-and-swap. A new generation is formed only on proof that the old one
// can never commit again: each of a majority of the old members is sealed, or
// its address answers with another incarnation, or its machine is off the
// machine list. No timer alone ever proves it. While a membership change is
// under way the record names both memberships and the proof must hold for
// both, because either may be the one that can commit.
package generation

import (
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// Record is the platform's record of a cell's control group.
type Record struct {
	Cell       bundle.CellName      `json:"cell"`
	Generation wire.Generation      `json:"generation"`
	Members    consensus.Membership `json:"members"`
	// Next is written before a change is proposed and cleared after the change
	// is committed and Members holds it.
	Next *consensus.Membership `json:"next,omitempty"`
	// Start is the key of the state that the generation starts from, so that
	// all its members start from the same. Empty: the empty state.
	Start string `json:"start,omitempty"`
	// Unlisted are the members whose machine was not on the machine list when
	// they were named. The list lags, so that a machine is missing from it
	// proves nothing unless it was there before.
	Unlisted []wire.Incarnation `json:"unlisted,omitempty"`
}

// Proof says why one old member can never vote or commit again.
type Proof string

// Proofs that a member is gone.
const (
	ProofNone        Proof = ""
	ProofSealed      Proof = "sealed"
	ProofReplaced    Proof = "other-incarnation"
	ProofMachineGone Proof = "machine-gone"
)

// Evidence maps the incarnations of old members to proofs.
type Evidence map[wire.Incarnation]Proof

// Ended reports whether the evidence proves that no group named by the record
// can commit again: a majority of the voters of Members, and of Next if set.
func Ended(record Record, evidence Evidence) bool {
	if !majorityGone(record.Members, evidence) {
		return false
	}
	return record.Next == nil || majorityGone(*record.Next, evidence)
}

func majorityGone(membership consensus.Membership, evidence Evidence) bool {
	voters := 0
	gone := 0
	for _, member := range membership.Members {
		if member.Learner {
			continue
		}
		voters++
		if evidence[member.ID] != ProofNone {
			gone++
		}
	}
	return gone > voters/2
}
