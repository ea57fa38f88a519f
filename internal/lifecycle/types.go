package lifecycle

import "github.com/shalefork/shalefork/internal/bundle"

// OperatorName is the name of an operator in the routers' settings.
type OperatorName string

// State is the state of a version.
type State string

// States of a version.
const (
	StateProposed State = "proposed"
	StateApproved State = "approved"
	StateRolling  State = "rolling"
	StateInForce  State = "in-force"
	StateRefused  State = "refused"
	// StateReplaced: a later version has replaced it, before or after it came into force; the
	// reason names the later version.
	StateReplaced State = "replaced"
)

// Status describes one version to operators.
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
