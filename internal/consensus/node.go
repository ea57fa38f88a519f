package consensus

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// Node is one member. Not safe for concurrent use.
type Node struct {
	config Config
	log    memoryLog
	now    clock.Instant

	// role is never RoleLearner: a follower without a vote is reported as one.
	role     Role
	term     Term
	votedFor wire.Incarnation
	leader   wire.Incarnation

	// promisedAt is Lower when the node last promised not to vote.
	promisedAt time.Duration
	// electionAt is Lower when the node starts or repeats an election.
	electionAt time.Duration
	// askedFirstAt is Lower when the node became a pre-candidate.
	askedFirstAt time.Duration
	// votes has the voters that granted the present pre-vote or vote.
	votes map[wire.Incarnation]bool

	// The rest is used by a leader only.
	elected     clock.Instant
	heartbeatAt time.Duration // Upper
	progress    map[wire.Incarnation]*memberProgress

	pending Ready
}

// NewNode returns a follower, or a learner if the membership says so. A process
// that joins a running group gives a membership without itself and an initial
// snapshot with index zero; it learns both from the leader.
func NewNode(config Config, now clock.Instant) *Node {
	initial := config.Initial
	if len(config.Membership.Members) > 0 {
		initial.Membership = config.Membership
	}
	initial.Membership = initial.Membership.clone()
	node := &Node{
		config:     config,
		log:        newMemoryLog(initial),
		now:        now,
		role:       RoleFollower,
		term:       initial.Term,
		promisedAt: now.Lower,
	}
	node.resetElectionTimer()
	return node
}

// Step takes a message from another member.
func (n *Node) Step(now clock.Instant, message Message) {
	n.now = now
	if n.role == RoleSealed || !n.isForMe(message) {
		return
	}
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessagePreVoteResponse:
		n.handlePreVoteResponse(message)
	case MessageVote:
		n.handleVote(message)
	case MessageVoteResponse:
		n.handleVoteResponse(message)
	case MessageAppend:
		n.handleAppend(message)
	case MessageAppendResponse:
		n.handleAppendResponse(message)
	case MessageSnapshot:
		n.handleSnapshot(message)
	}
}

// isForMe drops what belongs to another cell or generation, or was meant for
// an earlier process at this address.
func (n *Node) isForMe(message Message) bool {
	return message.Cell == n.config.Cell &&
		message.Generation == n.config.Generation &&
		message.To == n.config.Self &&
		message.From != n.config.Self
}

// Tick lets time pass. Call it at least every quarter of Heartbeat.
func (n *Node) Tick(now clock.Instant) {
	n.now = now
	switch n.role {
	case RoleSealed:
	case RoleLeader:
		n.tickLeader()
	default:
		n.tickElection()
	}
}

// Ready returns the work that has piled up and forgets it.
func (n *Node) Ready() Ready {
	ready := n.pending
	n.pending = Ready{}
	return ready
}

// Status returns the node's view.
func (n *Node) Status() Status {
	status := Status{
		Self:       n.config.Self,
		Role:       n.role,
		Term:       n.term,
		Leader:     n.leader,
		Commit:     n.log.commit,
		Last:       n.log.lastIndex(),
		Membership: n.log.membership().clone(),
	}
	if n.role == RoleFollower && !n.isVoter() {
		status.Role = RoleLearner
	}
	if n.role == RoleLeader {
		status.Match = n.memberProgress()
	}
	if until, ok := n.LeaseUntil(); ok {
		status.LeaseUntil = until
	}
	return status
}

// send queues a message with the fields that all messages share.
func (n *Node) send(to wire.Incarnation, message Message) {
	message.Cell = n.config.Cell
	message.Generation = n.config.Generation
	message.From = n.config.Self
	message.To = to
	n.pending.Messages = append(n.pending.Messages, message)
}

// becomeFollower enters a term, which may be the present one.
func (n *Node) becomeFollower(term Term, leader wire.Incarnation) {
	if n.role == RoleLeader && n.quorumLeaseValid() {
		// The leader's own promise is part of its lease. Whoever was told of
		// the lease may rely on it until its end.
		n.promisedAt = n.now.Lower
	}
	if term > n.term {
		n.votedFor = ""
	}
	n.term = term
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.resetElectionTimer()
}
