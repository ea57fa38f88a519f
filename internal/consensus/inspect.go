package consensus

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Clone returns a deep copy, so that a model checker can go on from one state
// in several ways. Entries are shared, because they never change.
func (n *Node) Clone() *Node {
	copied := *n
	copied.log.entries = slices.Clone(n.log.entries)
	copied.log.memberships = slices.Clone(n.log.memberships)
	copied.votes = maps.Clone(n.votes)
	copied.pending.Messages = slices.Clone(n.pending.Messages)
	copied.pending.Committed = slices.Clone(n.pending.Committed)
	copied.progress = maps.Clone(n.progress)
	for id, progress := range copied.progress {
		own := *progress
		copied.progress[id] = &own
	}
	return &copied
}

// Role returns the node's role; a learner counts as a follower here.
func (n *Node) Role() Role { return n.role }

// Term returns the node's term.
func (n *Node) Term() Term { return n.term }

// AppendState appends the bytes of all that decides what the node does after
// now. Times are relative to now and those too old to matter count as equal, so
// that states which differ only in the time of day are the same.
func (n *Node) AppendState(buffer []byte, now clock.Instant) []byte {
	buffer = appendTexts(buffer, string(n.role), string(n.votedFor), string(n.leader))
	buffer = binary.AppendUvarint(buffer, uint64(n.term))
	buffer = appendTime(buffer, n.promisedAt-now.Lower, -n.config.ElectionMin)
	buffer = appendTime(buffer, n.electionAt-now.Lower, 0)
	if n.role == RolePreCandidate {
		buffer = appendTime(buffer, n.askedFirstAt-now.Lower, -n.config.ElectionMin)
	}
	if n.role == RoleLeader {
		buffer = appendTime(buffer, n.heartbeatAt-now.Upper, 0)
	}
	for _, member := range n.log.membership().Members {
		buffer = n.appendMember(buffer, member, now)
	}
	buffer = binary.AppendUvarint(buffer, uint64(n.log.base.index))
	buffer = binary.AppendUvarint(buffer, uint64(n.log.snapshot.Index))
	buffer = binary.AppendUvarint(buffer, uint64(n.log.commit))
	return AppendEntries(buffer, n.log.entries)
}

func (n *Node) appendMember(buffer []byte, member Member, now clock.Instant) []byte {
	vote := byte(0)
	if n.votes[member.ID] {
		vote = 1
	}
	buffer = append(buffer, vote)
	progress := n.progress[member.ID]
	if progress == nil || member.ID == n.config.Self {
		return append(buffer, 0)
	}
	buffer = append(buffer, 1)
	buffer = binary.AppendUvarint(buffer, uint64(progress.match))
	buffer = binary.AppendUvarint(buffer, uint64(progress.next))
	buffer = appendTime(buffer, progress.round-now.Upper, -n.config.Lease)
	buffer = appendTime(buffer, progress.lastHeard-now.Upper, -n.config.ElectionMax)
	return appendTime(buffer, progress.snapshotAt-now.Upper, -n.config.ElectionMax)
}

// AppendEntries appends what tells entries apart: in one term one leader gives
// an index to one entry only.
func AppendEntries(buffer []byte, entries []Entry) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(entries)))
	for _, entry := range entries {
		buffer = binary.AppendUvarint(buffer, uint64(entry.Index))
		buffer = binary.AppendUvarint(buffer, uint64(entry.Term))
	}
	return buffer
}

// appendTime appends a time relative to now, but nothing below least.
func appendTime(buffer []byte, relative, least time.Duration) []byte {
	return binary.AppendVarint(buffer, int64(max(relative, least)))
}

func appendTexts(buffer []byte, texts ...string) []byte {
	for _, text := range texts {
		buffer = append(buffer, text...)
		buffer = append(buffer, 0)
	}
	return buffer
}
