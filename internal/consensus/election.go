package consensus

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// preVotesPerHeartbeat is how often a pre-candidate asks again, so that it is
// elected soon after the last voter's promise has ended.
const preVotesPerHeartbeat = 4

// resetElectionTimer draws the next election time between ElectionMin and
// ElectionMax. It runs on Lower, so that the node's own promise has surely
// ended when it votes for itself.
func (n *Node) resetElectionTimer() {
	spread := float64(n.config.ElectionMax - n.config.ElectionMin)
	wait := n.config.ElectionMin + time.Duration(n.config.Random()*spread)
	n.electionAt = n.now.Lower + wait
}

// promiseHolds reports whether the node has promised a leader not to vote. A
// new node makes the promise at its start, and a leader to itself.
func (n *Node) promiseHolds() bool {
	if n.role == RoleLeader && n.quorumLeaseValid() {
		return true
	}
	return !n.now.SurelyReached(n.promisedAt + n.config.ElectionMin)
}

// tickElection starts an election when its time has come. A pre-candidate asks
// again, because voters may still be bound by their promise.
func (n *Node) tickElection() {
	if !n.isVoter() || !n.now.SurelyReached(n.electionAt) || n.promiseHolds() {
		return
	}
	n.becomePreCandidate()
}

func (n *Node) becomePreCandidate() {
	if n.role != RolePreCandidate {
		n.askedFirstAt = n.now.Lower
	}
	n.role = RolePreCandidate
	n.leader = ""
	n.electionAt = n.now.Lower + n.preVoteInterval()
	n.votes = map[wire.Incarnation]bool{n.config.Self: true}
	if n.hasVoteQuorum() {
		n.becomeCandidate()
		return
	}
	n.askForVotes(MessagePreVote, n.term+1)
}

// preVoteInterval is short while the voters' promises may be ending, and longer
// after, so that a node cut off for long sends little.
func (n *Node) preVoteInterval() time.Duration {
	if n.now.SurelyReached(n.askedFirstAt + n.config.ElectionMin) {
		return n.config.ElectionMin
	}
	return n.config.Heartbeat / preVotesPerHeartbeat
}

func (n *Node) becomeCandidate() {
	n.role = RoleCandidate
	n.term++
	n.votedFor = n.config.Self
	n.resetElectionTimer()
	n.votes = map[wire.Incarnation]bool{n.config.Self: true}
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.askForVotes(MessageVote, n.term)
}

func (n *Node) askForVotes(kind MessageKind, term Term) {
	for _, member := range n.log.membership().Members {
		if member.Learner || member.ID == n.config.Self {
			continue
		}
		n.send(member.ID, Message{
			Kind:     kind,
			Term:     term,
			LogIndex: n.log.lastIndex(),
			LogTerm:  n.log.lastTerm(),
		})
	}
}

// handlePreVote says whether a vote would be granted; it changes nothing. The
// answer to a granted pre-vote has the term asked for, a refusal has our own.
func (n *Node) handlePreVote(message Message) {
	grant := message.Term > n.term &&
		!n.promiseHolds() &&
		n.log.isUpToDate(message.LogIndex, message.LogTerm)
	term := n.term
	if grant {
		term = message.Term
	}
	n.send(message.From, Message{Kind: MessagePreVoteResponse, Term: term, Reject: !grant})
}

func (n *Node) handlePreVoteResponse(message Message) {
	if message.Reject {
		if message.Term > n.term {
			n.becomeFollower(message.Term, "")
		}
		return
	}
	if n.role != RolePreCandidate || message.Term != n.term+1 {
		return
	}
	n.votes[message.From] = true
	if n.hasVoteQuorum() {
		n.becomeCandidate()
	}
}

// handleVote grants at most one vote a term, and none within the promise: not
// even the term is taken over then, so the present leader is not disturbed.
// A learner may grant, since the candidate may know of its promotion first;
// only a voter of the candidate's own membership is counted.
func (n *Node) handleVote(message Message) {
	if n.promiseHolds() {
		n.sendVoteResponse(message.From, false)
		return
	}
	if message.Term > n.term {
		n.becomeFollower(message.Term, "")
	}
	grant := message.Term == n.term &&
		(n.votedFor == "" || n.votedFor == message.From) &&
		n.log.isUpToDate(message.LogIndex, message.LogTerm)
	if grant {
		n.votedFor = message.From
		n.resetElectionTimer()
	}
	n.sendVoteResponse(message.From, grant)
}

func (n *Node) sendVoteResponse(to wire.Incarnation, grant bool) {
	n.send(to, Message{Kind: MessageVoteResponse, Term: n.term, Reject: !grant})
}

func (n *Node) handleVoteResponse(message Message) {
	if message.Term > n.term {
		n.becomeFollower(message.Term, "")
		return
	}
	if n.role != RoleCandidate || message.Term != n.term {
		return
	}
	if message.Reject {
		n.repeatElectionSoon()
		return
	}
	n.votes[message.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// repeatElectionSoon shortens the time to the next election after a refusal.
// The voter has voted for another candidate of this term, most likely itself,
// and waits for a quorum as vainly. Each draws a time within one Heartbeat, so
// that they hardly meet again. Elections are safe at any time: the promise is
// checked when the time has come, by this node and by each voter.
func (n *Node) repeatElectionSoon() {
	interval := n.config.Heartbeat / preVotesPerHeartbeat
	wait := interval + time.Duration(n.config.Random()*float64(n.config.Heartbeat-interval))
	n.electionAt = min(n.electionAt, n.now.Lower+wait)
}

// hasVoteQuorum counts only voters of the node's own membership.
func (n *Node) hasVoteQuorum() bool {
	granted := 0
	voters := n.log.membership().voters()
	for _, voter := range voters {
		if n.votes[voter.ID] {
			granted++
		}
	}
	return granted >= quorum(len(voters))
}

// Elected returns the instant at which the node became leader of its term.
func (n *Node) Elected() (clock.Instant, bool) {
	if n.role != RoleLeader {
		return clock.Instant{}, false
	}
	return n.elected, true
}
