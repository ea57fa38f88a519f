package wire

import (
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// PathTable streams TableUpdate lines to a gateway, by GET on a controller.
// Query parameters: cell, generation and version that the gateway holds.
const PathTable = "/shalefork/v1/table"

// TableVersion orders the tables of a cell: by generation, then by log index.
type TableVersion struct {
	Generation Generation `json:"generation"`
	Index      uint64     `json:"index"`
}

// Newer reports whether v is later than other.
func (v TableVersion) Newer(other TableVersion) bool {
	if v.Generation != other.Generation {
		return v.Generation > other.Generation
	}
	return v.Index > other.Index
}

// TableUpdate is one line of the table stream. A snapshot replaces all; a delta
// replaces the named entries and applies only to a table of version From.
type TableUpdate struct {
	Cell     bundle.CellName `json:"cell"`
	Version  TableVersion    `json:"version"`
	Snapshot bool            `json:"snapshot,omitempty"`
	From     TableVersion    `json:"from"`
	// Bundles in force or rolling, one per team.
	Bundles []bundle.Bundle `json:"bundles,omitempty"`
	// Assignments added or changed.
	Assignments []TableEntry `json:"assignments,omitempty"`
	// Removed slices, by their exact range.
	Removed []keyspace.Slice `json:"removed,omitempty"`
	// Servers added or changed.
	Servers []TableServer `json:"servers,omitempty"`
	// RemovedServers are gone.
	RemovedServers []bundle.ServerName `json:"removed_servers,omitempty"`
	// Heartbeat marks a line without changes that only shows that the
	// controller is alive.
	Heartbeat bool `json:"heartbeat,omitempty"`
}

// TableEntry says which server owns a slice. For a pool, every server of the
// pool has an entry of its own with Shared set and the full range.
type TableEntry struct {
	Slice  keyspace.Slice    `json:"slice"`
	Server bundle.ServerName `json:"server,omitempty"` // empty: nobody owns it now
	Fence  Fence             `json:"fence"`
	Bundle bundle.Version    `json:"bundle"`
	State  SliceState        `json:"state"`
	Shared bool              `json:"shared,omitempty"`
	// Refusal is set when no server may own the slice, with the reason.
	Refusal Reason `json:"refusal,omitempty"`
}

// TableServer is what a gateway needs to know of a server.
type TableServer struct {
	Name    bundle.ServerName `json:"name"`
	Address string            `json:"address"`
	Zone    bundle.Zone       `json:"zone"`
	// Slots is how many requests the server runs at once, Connections how many
	// it takes from all gateways together; zero means unbounded.
	Slots       int  `json:"slots"`
	Connections int  `json:"connections"`
	Draining    bool `json:"draining,omitempty"`
	// Load is the last report that the leader has, as requests in flight.
	Load int `json:"load,omitempty"`
}
