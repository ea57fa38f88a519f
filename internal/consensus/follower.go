package consensus

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/clock"
)

// acceptLeader takes the sender for the leader of its term and renews the
// promise not to vote. It returns false for a leader of an older term.
func (n *Node) acceptLeader(message Message) bool {
	if message.Term < n.term {
		n.refuseAppend(message)
		return false
	}
	if n.role == RoleLeader && message.Term == n.term {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %s and %s", n.term, n.config.Self, message.From))
	}
	n.becomeFollower(message.Term, message.From)
	n.promisedAt = n.now.Lower
	return true
}

// handleAppend takes a leader's entries if they continue this log.
func (n *Node) handleAppend(message Message) {
	if !n.acceptLeader(message) {
		return
	}
	if !n.log.matches(message.LogIndex, message.LogTerm) {
		n.refuseAppend(message)
		return
	}
	n.log.merge(message.Entries)
	match := message.LogIndex + Index(len(message.Entries))
	n.commitTo(min(message.Commit, match))
	n.acknowledge(message, match)
}

// handleSnapshot replaces the state unless the log already has it committed.
func (n *Node) handleSnapshot(message Message) {
	if message.Snapshot == nil || !n.acceptLeader(message) {
		return
	}
	snapshot := *message.Snapshot
	if snapshot.Index > n.log.commit {
		n.log.restore(snapshot)
		n.pending.Restore = &snapshot
		n.pending.Committed = nil
	}
	n.acknowledge(message, snapshot.Index)
}

// acknowledge tells the leader up to where the logs are the same.
func (n *Node) acknowledge(message Message, match Index) {
	n.send(message.From, Message{
		Kind:     MessageAppendResponse,
		Term:     n.term,
		LogIndex: match,
		Round:    message.Round,
	})
}

// refuseAppend tells the leader the index up to which the logs surely agree.
func (n *Node) refuseAppend(message Message) {
	n.send(message.From, Message{
		Kind:     MessageAppendResponse,
		Term:     n.term,
		LogIndex: n.log.commit,
		Round:    message.Round,
		Reject:   true,
	})
}

// Seal makes the node promise never to vote, acknowledge or commit again. It
// refuses, and returns false, while the node knows of a leader that may live.
// What it was about to send is dropped.
func (n *Node) Seal(now clock.Instant) bool {
	n.now = now
	if n.role == RoleSealed {
		return true
	}
	if n.promiseHolds() {
		return false
	}
	n.role = RoleSealed
	n.leader = ""
	n.votes = nil
	n.progress = nil
	n.pending.Messages = nil
	return true
}
