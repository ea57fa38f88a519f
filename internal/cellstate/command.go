package cellstate

import (
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Command is one entry of the log. Exactly one field is set.
type Command struct {
	AdoptBundle    *AdoptBundle    `json:"adopt_bundle,omitempty"`
	MarkInForce    *MarkInForce    `json:"mark_in_force,omitempty"`
	RegisterServer *RegisterServer `json:"register_server,omitempty"`
	DrainServer    *DrainServer    `json:"drain_server,omitempty"`
	RemoveServer   *RemoveServer   `json:"remove_server,omitempty"`
	Assign         *Assign         `json:"assign,omitempty"`
	BeginRelease   *BeginRelease   `json:"begin_release,omitempty"`
	Unassign       *Unassign       `json:"unassign,omitempty"`
	Refuse         *Refuse         `json:"refuse,omitempty"`
	Split          *Split          `json:"split,omitempty"`
	Merge          *Merge          `json:"merge,omitempty"`
}

// AdoptBundle makes the cell serve a version. It is rejected unless the
// version is higher than the one adopted. Slices and servers follow from it:
// new services get unowned slices, back ends that are gone are drained, and
// each remaining assignment takes the new version under its present fence.
type AdoptBundle struct {
	Bundle bundle.Bundle `json:"bundle"`
	Digest string        `json:"digest"`
}

// MarkInForce records that all live grants of the team carry Version.
type MarkInForce struct {
	Team    bundle.TeamName `json:"team"`
	Version bundle.Version  `json:"version"`
}

// RegisterServer adds a server that no bundle lists, such as a gateway that
// keeps idempotency records, or records a server's new incarnation.
type RegisterServer struct {
	Server Server `json:"server"`
}

// DrainServer starts or ends the draining of a server.
type DrainServer struct {
	Server   bundle.ServerName `json:"server"`
	Draining bool              `json:"draining"`
	// Machine says that the machine list wants it, not the server itself. The
	// two are kept apart, so that neither ends what the other began.
	Machine bool `json:"machine,omitempty"`
}

// RemoveServer forgets a server that owns nothing.
type RemoveServer struct {
	Server bundle.ServerName `json:"server"`
}

// Assign gives an unowned slice to a server. The fence is made from the log
// index. Rejected unless the slice exists exactly, is unowned, and the server
// is in a zone that the bundle allows for it.
type Assign struct {
	Slice       keyspace.Slice    `json:"slice"`
	Owner       bundle.ServerName `json:"owner"`
	Incarnation wire.Incarnation  `json:"incarnation"`
}

// BeginRelease asks the owner under Fence to give the slice up.
type BeginRelease struct {
	Slice keyspace.Slice `json:"slice"`
	Fence wire.Fence     `json:"fence"`
}

// Unassign makes a slice unowned. It may be proposed only after the owner
// under Fence has acknowledged the release or its grant has surely expired.
type Unassign struct {
	Slice keyspace.Slice `json:"slice"`
	Fence wire.Fence     `json:"fence"`
}

// Refuse records why no server may own an unowned slice; empty clears it.
type Refuse struct {
	Slice  keyspace.Slice `json:"slice"`
	Reason wire.Reason    `json:"reason"`
}

// Split divides an unowned slice at the hashes where each new range begins,
// in rising order.
type Split struct {
	Slice keyspace.Slice  `json:"slice"`
	At    []keyspace.Hash `json:"at"`
}

// Merge joins adjacent unowned slices of a partition into one.
type Merge struct {
	First keyspace.Slice `json:"first"`
	Last  keyspace.Slice `json:"last"`
}

// Rejection says why a command changed nothing; empty means that it applied.
type Rejection string

// Reasons for a command to change nothing.
const (
	Applied              Rejection = ""
	RejectedOldVersion   Rejection = "older-bundle"
	RejectedUnknownSlice Rejection = "unknown-slice"
	RejectedOwned        Rejection = "slice-is-owned"
	RejectedFence        Rejection = "other-fence"
	RejectedServer       Rejection = "unknown-server"
	RejectedZone         Rejection = "zone-not-allowed"
	RejectedDraining     Rejection = "server-draining"
	RejectedMalformed    Rejection = "malformed"
	// RejectedConflict says that another team has a route or an address of the
	// bundle.
	RejectedConflict Rejection = "taken-by-another-team"
	// RejectedKind says that a bundle changes the kind of a service while
	// slices of the former kind remain.
	RejectedKind Rejection = "service-kind-changed"
	// RejectedKeysHeld says that a server still owns keys of the service by a
	// former bundle's partitions.
	RejectedKeysHeld Rejection = "keys-are-held"
)
