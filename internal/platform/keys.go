package platform

import (
	"crypto/rand"
	"strconv"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// GroupKey holds the generation.Record of a cell.
func GroupKey(cell bundle.CellName) string {
	return "cells/" + string(cell) + "/group"
}

// CheckpointKey holds the last checkpoint of a cell's state.
func CheckpointKey(cell bundle.CellName) string {
	return "cells/" + string(cell) + "/checkpoint"
}

// ControllersPrefix is the prefix of the cell's ControllerKeys.
func ControllersPrefix(cell bundle.CellName) string {
	return "cells/" + string(cell) + "/controllers/"
}

// ControllerKey says, under a lease, where a controller can be reached.
func ControllerKey(cell bundle.CellName, incarnation wire.Incarnation) string {
	return ControllersPrefix(cell) + string(incarnation)
}

// HeadsPrefix is the prefix of the cell's HeadKeys and of nothing else, so that
// whoever lists or watches the heads gets no contents.
func HeadsPrefix(cell bundle.CellName) string {
	return "cells/" + string(cell) + "/heads/"
}

// HeadKey holds the lifecycle.Head of a team in a cell.
func HeadKey(cell bundle.CellName, team bundle.TeamName) string {
	return HeadsPrefix(cell) + string(team)
}

// BundleKey holds the canonical bytes of one version of a team's bundle for a
// cell. The digest belongs to the key because two operators may propose
// different bundles as the same version: each writes its own key, and the head
// names the winner.
func BundleKey(cell bundle.CellName, team bundle.TeamName, version bundle.Version, digest string) string {
	number := strconv.FormatUint(uint64(version), 10)
	return "cells/" + string(cell) + "/bundles/" + string(team) + "/" + number + "/" + digest
}

// NewWriteID returns a random id for a write.
func NewWriteID() string {
	return rand.Text()
}
