package lifecycle

import "github.com/shalefork/shalefork/internal/bundle"

// OperatorName names an operator, as in the settings' list of public keys.
type OperatorName string

// State is a step of a version's life.
type State string

// States of a version.
const (
	StateProposed State = "proposed"
	StateApproved State = "approved"
	StateRolling  State = "rolling"
	StateInForce  State = "in-force"
	StateRefused  State = "refused"
	// StateReplaced: a later version took its place, before or after it was in
	// force; the reason names the later one.
	StateReplaced State = "replaced"
)

// Status is what is known of one version.
type Status struct {
	Team       bundle.TeamName `json:"team"`
	Version    bundle.Version  `json:"version"`
	State      State           `json:"state"`
	Digest     string          `json:"digest"`
	ProposedBy OperatorName    `json:"proposed_by"`
	ApprovedBy OperatorName    `json:"approved_by,omitempty"`
	RolledBy   OperatorName    `json:"rolled_by,omitempty"`
	Reason     string          `json:"reason,omitempty"`
}
