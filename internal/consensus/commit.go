package consensus

import (
	"slices"
	"time"
)

// quorumValue returns the highest value that a majority of the voters reached.
// The leader's own value is given; it counts only while the leader is a voter.
func (n *Node) quorumValue(own time.Duration, of func(*memberProgress) time.Duration) time.Duration {
	var values []time.Duration
	for _, voter := range n.log.membership().voters() {
		if voter.ID == n.config.Self {
			values = append(values, own)
		} else {
			values = append(values, of(n.progressOf(voter.ID)))
		}
	}
	slices.Sort(values)
	return values[len(values)-quorum(len(values))]
}

// quorumMatch returns the highest index that a majority of the voters holds.
func (n *Node) quorumMatch() Index {
	var matches []Index
	for _, voter := range n.log.membership().voters() {
		if voter.ID == n.config.Self {
			matches = append(matches, n.log.lastIndex())
		} else {
			matches = append(matches, n.progressOf(voter.ID).match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-quorum(len(matches))]
}

// quorumLeaseEnd returns the end (Upper) of the promises of a majority. It
// counts from the Round that the leader sent, never from the answer's receipt:
// the promise began after the first and before the second.
func (n *Node) quorumLeaseEnd() (time.Duration, bool) {
	round := n.quorumValue(n.now.Upper, func(p *memberProgress) time.Duration { return p.round })
	if round == noRound {
		return 0, false
	}
	return round + n.config.Lease, true
}

func (n *Node) quorumLeaseValid() bool {
	end, ok := n.quorumLeaseEnd()
	return ok && !n.now.HolderExpired(end)
}

// committedOwnTerm reports whether the leader has committed an entry of its
// term, and so knows of all that was committed before.
func (n *Node) committedOwnTerm() bool {
	return n.log.term(n.log.commit) == n.term
}

// LeaseUntil returns the end (Upper) of the leadership lease, and false if the
// node is no leader or has not yet committed an entry of its own term.
func (n *Node) LeaseUntil() (time.Duration, bool) {
	if n.role != RoleLeader || !n.committedOwnTerm() {
		return 0, false
	}
	return n.quorumLeaseEnd()
}

// advanceCommit commits what a majority holds, if the newest of it is of the
// leader's own term: an older entry on a majority may still be overwritten
// (Raft, section 5.4.2). A leader without a majority's promise commits nothing,
// because answers that waited in a paused leader's sockets may come from
// members that have sealed since.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	match := n.quorumMatch()
	if match <= n.log.commit || n.log.term(match) != n.term || !n.quorumLeaseValid() {
		return
	}
	n.commitTo(match)
	if !n.isVoter() && !n.log.changePending() {
		n.becomeFollower(n.term, "")
	}
}

// commitTo hands out the entries up to index for applying.
func (n *Node) commitTo(index Index) {
	for n.log.commit < index {
		n.log.commit++
		n.pending.Committed = append(n.pending.Committed, n.log.entry(n.log.commit))
	}
}

// Compact tells the node that the state as of index can be had as a snapshot;
// it may drop the log before it. Term and membership are filled in from the
// log. A snapshot ahead of the commit index or behind the last one is ignored.
func (n *Node) Compact(snapshot Snapshot) {
	n.log.compact(snapshot, n.config.KeepEntries)
}
