// Package cellstate is the replicated state of one cell: which bundles it
// serves, which servers it knows, and which server owns each slice.
//
// The state changes only by applying committed commands in log order, so every
// replica of the control group holds the same. Apply is a pure function.
package cellstate

import (
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// State is everything that a control group decides together.
type State struct {
	Cell       bundle.CellName `json:"cell"`
	Generation wire.Generation `json:"generation"`
	// Index of the last command applied.
	Index uint64 `json:"index"`
	// Teams by name: the bundle that the cell serves for each.
	Teams map[bundle.TeamName]Team `json:"teams"`
	// Servers by name: every back end and gateway that can hold grants.
	Servers map[bundle.ServerName]Server `json:"servers"`
	// Assignments ordered by service, partition and range. The assignments of
	// a partition never overlap. Those of a partition that the adopted bundle
	// has together cover every hash; of a partition that is gone only the
	// slices remain that are still owned, until they are released.
	Assignments []Assignment `json:"assignments"`
}

// Team is one team's configuration in a cell.
type Team struct {
	// Bundle is the adopted one. Its version never falls.
	Bundle bundle.Bundle `json:"bundle"`
	// Digest is the SHA-256 of the bundle's canonical bytes, in hexadecimal.
	Digest string `json:"digest"`
	// InForce says that every live grant of the team carries this version.
	InForce bool `json:"in_force"`
}

// Server is a process that can hold grants.
type Server struct {
	Name    bundle.ServerName    `json:"name"`
	Service keyspace.ServiceName `json:"service"`
	Address string               `json:"address"`
	Zone    bundle.Zone          `json:"zone"`
	// Slots and Connections bound the work sent to it; zero means unbounded.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Draining servers get no new slices and lose those that they own. It is
	// set while Leaving, DrainRequested or MachineLeaving is.
	Draining bool `json:"draining,omitempty"`
	// Leaving says that the bundle wants the server gone: it marks the back
	// end as leaving, lists it no more, or lists it at another place.
	Leaving bool `json:"leaving,omitempty"`
	// DrainRequested says that the server itself asked to be drained.
	DrainRequested bool `json:"drain_requested,omitempty"`
	// MachineLeaving says that the machine list calls its machine leaving.
	MachineLeaving bool `json:"machine_leaving,omitempty"`
	// Incarnation that the current grants are for; empty before contact.
	Incarnation wire.Incarnation `json:"incarnation,omitempty"`
}

// Assignment says who owns a slice.
type Assignment struct {
	Slice keyspace.Slice `json:"slice"`
	// Owner is empty while nobody owns the slice.
	Owner            bundle.ServerName `json:"owner,omitempty"`
	OwnerIncarnation wire.Incarnation  `json:"owner_incarnation,omitempty"`
	Fence            wire.Fence        `json:"fence"`
	Bundle           bundle.Version    `json:"bundle"`
	State            wire.SliceState   `json:"state"`
	// Shared assignments belong to a pool: the partition is the back end's own
	// name, and any back end of the pool may serve any request.
	Shared bool `json:"shared,omitempty"`
	// Divided says that keys of the slice may be owned by way of another slice
	// of the service, too, since a bundle has changed the partitions. An owned
	// one is being released; an unowned one waits for those.
	Divided bool `json:"divided,omitempty"`
	// Refusal says why no server may own the slice.
	Refusal wire.Reason `json:"refusal,omitempty"`
}

// Owned reports whether a server owns the slice.
func (a Assignment) Owned() bool {
	return a.Owner != ""
}

// New returns the empty state of a cell.
func New(cell bundle.CellName, generation wire.Generation) State {
	return State{
		Cell:       cell,
		Generation: generation,
		Teams:      map[bundle.TeamName]Team{},
		Servers:    map[bundle.ServerName]Server{},
	}
}
