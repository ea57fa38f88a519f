package consensus

import (
	"slices"

	"github.com/shalefork/shalefork/internal/clock"
)

// Sealable reports whether Seal would succeed at now, without sealing.
func (n *Node) Sealable(now clock.Instant) bool {
	n.now = now
	return n.role == RoleSealed || !n.promiseHolds()
}

// Uncommitted returns the entries that the node holds beyond its commit index.
// Some may be committed: the leader that knew it may be lost.
func (n *Node) Uncommitted() []Entry {
	return slices.Clone(n.log.entries[n.log.commit-n.log.snapshot.Index:])
}
