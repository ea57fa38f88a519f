package consensus

import (
	"encoding/json"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// maxAppendBytes bounds the commands in one append message.
const maxAppendBytes = 64 << 10

// noRound marks a member that has not answered in this term.
const noRound time.Duration = -1

// memberProgress is what a leader knows of one other member.
type memberProgress struct {
	match Index
	next  Index
	// round is the newest Round that the member echoed in this term.
	round time.Duration
	// lastHeard is Upper when its last answer came.
	lastHeard time.Duration
	// snapshotAt is Upper when a snapshot was last sent; it is not sent again
	// within ElectionMax unless the member answered.
	snapshotAt time.Duration
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.Self
	n.votes = nil
	n.elected = n.now
	n.progress = map[wire.Incarnation]*memberProgress{}
	n.appendOwn(Entry{Kind: EntryEmpty})
}

// progressOf returns the progress of a member, made at first use.
func (n *Node) progressOf(id wire.Incarnation) *memberProgress {
	found := n.progress[id]
	if found == nil {
		found = &memberProgress{
			next:       n.log.lastIndex() + 1,
			round:      noRound,
			lastHeard:  n.now.Upper,
			snapshotAt: noRound,
		}
		n.progress[id] = found
	}
	return found
}

// Propose appends a command at the leader and returns its index.
func (n *Node) Propose(now clock.Instant, command json.RawMessage) (Index, ProposeOutcome) {
	n.now = now
	if n.role != RoleLeader {
		return 0, ProposeNotLeader
	}
	index := n.appendOwn(Entry{Kind: EntryCommand, Command: command})
	return index, ProposeAccepted
}

// appendOwn appends an entry of the leader's term and sends it to the others.
func (n *Node) appendOwn(entry Entry) Index {
	for _, member := range n.log.membership().Members {
		n.progressOf(member.ID)
	}
	entry.Index = n.log.lastIndex() + 1
	entry.Term = n.term
	n.log.append(entry)
	n.broadcast()
	n.advanceCommit()
	return entry.Index
}

// tickLeader steps down when no majority answers, and sends heartbeats.
func (n *Node) tickLeader() {
	heard := n.quorumValue(n.now.Upper, func(p *memberProgress) time.Duration { return p.lastHeard })
	if n.now.Upper-heard >= n.config.ElectionMax {
		n.becomeFollower(n.term, "")
		return
	}
	if n.now.Upper >= n.heartbeatAt {
		n.broadcast()
	}
	n.advanceCommit()
}

func (n *Node) broadcast() {
	n.heartbeatAt = n.now.Upper + n.config.Heartbeat
	for _, member := range n.log.membership().Members {
		if member.ID != n.config.Self {
			n.sendAppend(member.ID)
		}
	}
}

// sendAppend sends what the member lacks as far as is known. It counts the
// entries as received; a refusal sets the count back.
func (n *Node) sendAppend(to wire.Incarnation) {
	progress := n.progressOf(to)
	if progress.next <= n.log.base.index {
		n.sendSnapshot(to, progress)
		return
	}
	previous := progress.next - 1
	entries := n.log.after(previous, maxAppendBytes)
	n.send(to, Message{
		Kind:     MessageAppend,
		Term:     n.term,
		LogIndex: previous,
		LogTerm:  n.log.term(previous),
		Entries:  entries,
		Commit:   n.log.commit,
		Round:    n.now.Upper,
	})
	progress.next += Index(len(entries))
}

func (n *Node) sendSnapshot(to wire.Incarnation, progress *memberProgress) {
	snapshot := n.log.snapshot
	snapshot.Membership = snapshot.Membership.clone()
	n.send(to, Message{
		Kind:     MessageSnapshot,
		Term:     n.term,
		Commit:   n.log.commit,
		Round:    n.now.Upper,
		Snapshot: &snapshot,
	})
	progress.next = snapshot.Index + 1
	progress.snapshotAt = n.now.Upper
}

// handleAppendResponse takes what a member says it has. Every answer of this
// term renews the member's promise from the round it echoes, refusals too.
func (n *Node) handleAppendResponse(message Message) {
	if message.Term > n.term {
		n.becomeFollower(message.Term, "")
		return
	}
	_, isMember := n.log.membership().find(message.From)
	if n.role != RoleLeader || message.Term != n.term || !isMember {
		return
	}
	progress := n.progressOf(message.From)
	progress.lastHeard = n.now.Upper
	progress.round = max(progress.round, message.Round)
	if message.Reject {
		n.resend(message, progress)
	} else {
		progress.match = max(progress.match, message.LogIndex)
		progress.next = max(progress.next, progress.match+1)
		if progress.next <= n.log.lastIndex() {
			n.sendAppend(message.From)
		}
	}
	n.advanceCommit()
}

// resend goes back to what the refusing member surely holds: its commit index.
func (n *Node) resend(message Message, progress *memberProgress) {
	next := max(progress.match, message.LogIndex) + 1
	needsSnapshot := next <= n.log.base.index
	snapshotOnItsWay := progress.snapshotAt != noRound &&
		n.now.Upper-progress.snapshotAt < n.config.ElectionMax
	if needsSnapshot && snapshotOnItsWay {
		return
	}
	progress.next = next
	n.sendAppend(message.From)
}

// memberProgress is the operators' view of the other members, in order.
func (n *Node) memberProgress() []MemberProgress {
	var all []MemberProgress
	for _, member := range n.log.membership().Members {
		if member.ID == n.config.Self {
			continue
		}
		progress := n.progressOf(member.ID)
		all = append(all, MemberProgress{
			ID:        member.ID,
			Match:     progress.match,
			LastHeard: progress.lastHeard,
		})
	}
	return all
}
