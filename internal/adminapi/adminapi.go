// Package adminapi holds the messages of the administration API, which
// operators' tools speak with any controller over HTTP and JSON.
//
// Every write is a Signed request. A controller refuses an unknown operator or
// a wrong signature with 403, and counts it.
package adminapi

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

// Paths of the API. Writes are POST with a Signed body, reads are GET.
const (
	PathPropose = "/shalefork/v1/admin/propose" // Signed Propose -> BundleStatus
	PathApprove = "/shalefork/v1/admin/approve" // Signed Approve -> BundleStatus
	PathRoll    = "/shalefork/v1/admin/roll"    // Signed Roll -> BundleStatus
	PathBundle  = "/shalefork/v1/admin/bundle"  // ?team= -> BundleStatus
	PathHistory = "/shalefork/v1/admin/history" // ?team= -> []BundleStatus
	PathStatus  = "/shalefork/v1/admin/status"  // -> Status
)

// OperatorName names an operator, as in the settings' list of public keys.
type OperatorName string

// Signed carries a write with its operator's ed25519 signature over Body.
type Signed struct {
	Operator OperatorName `json:"operator"`
	// Body is the JSON of Propose, Approve or Roll.
	Body []byte `json:"body"`
	// Signature of SignedPrefix + path + "\n" + Body.
	Signature []byte `json:"signature"`
}

// SignedPrefix separates these signatures from those for any other use.
const SignedPrefix = "shalefork-admin-v1\n"

// Propose offers a new version. Its version must be the head's plus one.
type Propose struct {
	Bundle bundle.Bundle `json:"bundle"`
	// Time of the operator's clock; a write older than a minute is refused.
	Time time.Time `json:"time"`
}

// Approve signs a proposed version off. The operator is not the proposer.
type Approve struct {
	Team    bundle.TeamName `json:"team"`
	Version bundle.Version  `json:"version"`
	Digest  string          `json:"digest"`
	// Signature is ed25519 over the bundle's canonical bytes.
	Signature []byte    `json:"signature"`
	Time      time.Time `json:"time"`
}

// Roll puts an approved version into force.
type Roll struct {
	// Cell is the one to roll it in. Without it the signed request could be
	// sent to another cell that knows the operator and has the version too.
	Cell    bundle.CellName `json:"cell"`
	Team    bundle.TeamName `json:"team"`
	Version bundle.Version  `json:"version"`
	Time    time.Time       `json:"time"`
}

// BundleState is a step of a version's life.
type BundleState string

// States of a version.
const (
	StateProposed BundleState = "proposed"
	StateApproved BundleState = "approved"
	StateRolling  BundleState = "rolling"
	StateInForce  BundleState = "in-force"
	StateRefused  BundleState = "refused"
	// StateReplaced: a later version took its place, before or after it was in
	// force; the reason names the later one.
	StateReplaced BundleState = "replaced"
)

// BundleStatus is what is known of one version.
type BundleStatus struct {
	Team       bundle.TeamName `json:"team"`
	Version    bundle.Version  `json:"version"`
	State      BundleState     `json:"state"`
	Digest     string          `json:"digest"`
	ProposedBy OperatorName    `json:"proposed_by"`
	ApprovedBy OperatorName    `json:"approved_by,omitempty"`
	RolledBy   OperatorName    `json:"rolled_by,omitempty"`
	Reason     string          `json:"reason,omitempty"`
	Bundle     *bundle.Bundle  `json:"bundle,omitempty"`
}

// Failure is the body of every answer that is not 200.
type Failure struct {
	Code    FailureCode `json:"code"`
	Message string      `json:"message"`
	// RetryAfter in seconds; zero when trying again does not help.
	RetryAfter int `json:"retry_after,omitempty"`
	// Winner tells the loser of a race which version won, and by whom.
	Winner *BundleStatus `json:"winner,omitempty"`
}

// FailureCode tells failures apart.
type FailureCode string

// Codes of failures.
const (
	FailureUnknownOperator FailureCode = "unknown-operator"
	FailureBadSignature    FailureCode = "bad-signature"
	FailureStale           FailureCode = "stale-request"
	FailureInvalid         FailureCode = "invalid"
	FailureConflict        FailureCode = "conflict"
	FailureWrongState      FailureCode = "wrong-state"
	FailureSameOperator    FailureCode = "same-operator"
	FailurePlatform        FailureCode = "platform-unavailable"
	FailureNoLeader        FailureCode = "no-leader"
	FailureNotFound        FailureCode = "not-found"
)

// Durability says what loss an assignment survives.
type Durability string

// Levels of durability.
const (
	// DurableMajority survives the loss of any minority of replicas.
	DurableMajority Durability = "majority"
	// DurableCheckpoint survives also the loss of all replicas.
	DurableCheckpoint Durability = "checkpoint"
)

// Status is the answer of PathStatus.
type Status struct {
	Cell       bundle.CellName    `json:"cell"`
	Generation wire.Generation    `json:"generation"`
	Group      consensus.Status   `json:"group"`
	State      cellstate.State    `json:"state"`
	Servers    []grant.ServerView `json:"servers"`
	// CheckpointIndex is the last log index saved in the platform's service.
	CheckpointIndex uint64 `json:"checkpoint_index"`
	// Counters of the answering process, by name.
	Counters []Counter `json:"counters"`
}

// Counter is one named count.
type Counter struct {
	Name  string `json:"name"`
	Value uint64 `json:"value"`
}
