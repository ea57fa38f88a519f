package registry

import (
	"crypto/ed25519"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lifecycle"
)

// Signer is an operator whose signatures a router accepts.
type Signer struct {
	Key ed25519.PublicKey
	// Teams are the teams whose bundles the operator may change. Empty means all teams.
	Teams []bundle.TeamName
}

// Signers are the trusted operators of a router.
type Signers map[lifecycle.OperatorName]Signer

// InForce returns the version of a team that routers use; nil if none was rolled. It fails unless the
// operators who proposed, approved and rolled it are trusted for the team and have signed exactly
// this content, and the approver is not the proposer.
func (r Record) InForce(signers Signers) (*bundle.Bundle, error) {
	entry, found := r.Head.InForce()
	if !found {
		return nil, nil
	}
	used, kept := r.Bundles[entry.Version]
	switch {
	case !kept:
		return nil, Error.New("team %s: the content of version %d is not stored", r.Head.Team, entry.Version)
	case used.Team != r.Head.Team || used.Version != entry.Version:
		return nil, Error.New("team %s: the bundle stored as version %d is version %d of team %s", r.Head.Team, entry.Version, used.Version, used.Team)
	case entry.ProposedBy == entry.ApprovedBy:
		return nil, Error.New("team %s: version %d was approved by its proposer, %s", used.Team, used.Version, entry.ApprovedBy)
	}
	for _, step := range []struct {
		by        lifecycle.OperatorName
		purpose   bundle.Purpose
		signature []byte
	}{
		{entry.ProposedBy, bundle.PurposeProposal, entry.ProposalSignature},
		{entry.ApprovedBy, bundle.PurposeApproval, entry.ApprovalSignature},
		{entry.RolledBy, bundle.PurposeRoll, entry.RollSignature},
	} {
		if err := signers.verify(used, step.by, step.purpose, step.signature); err != nil {
			return nil, err
		}
	}
	if problems := bundle.Check(used); len(problems) > 0 {
		return nil, Error.New("team %s: version %d: %s: %s", used.Team, used.Version, problems[0].Field, problems[0].Message)
	}
	return &used, nil
}

func (s Signers) verify(used bundle.Bundle, by lifecycle.OperatorName, purpose bundle.Purpose, signature []byte) error {
	signer, known := s[by]
	if !known || (len(signer.Teams) > 0 && !slices.Contains(signer.Teams, used.Team)) {
		return Error.New("team %s: version %d: %s by %q, who is not an operator of the team", used.Team, used.Version, purpose, by)
	}
	if err := bundle.Verify(signer.Key, purpose, used, signature); err != nil {
		return Error.New("team %s: version %d: %s by %s: %w", used.Team, used.Version, purpose, by, err)
	}
	return nil
}
