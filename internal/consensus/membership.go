package consensus

import (
	"slices"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// quorum is the least number of voters that any two sets of share one.
func quorum(voters int) int {
	return voters/2 + 1
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members)}
}

func (m Membership) voters() []Member {
	var voters []Member
	for _, member := range m.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// find returns the member with the id, and false if there is none.
func (m Membership) find(id wire.Incarnation) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (n *Node) isVoter() bool {
	self, found := n.log.membership().find(n.config.Self)
	return found && !self.Learner
}

// ProposeMembership appends a change of at most one member. A new member comes
// as a learner first and is promoted by a second change. Majorities of two
// memberships that differ in one voter always share a voter, which is why one
// change at a time is safe without a joint membership.
func (n *Node) ProposeMembership(now clock.Instant, next Membership) (Index, ProposeOutcome) {
	n.now = now
	if n.role != RoleLeader {
		return 0, ProposeNotLeader
	}
	if n.log.changePending() || !n.committedOwnTerm() {
		return 0, ProposeChangePending
	}
	if !isOneChange(n.log.membership(), next) {
		return 0, ProposeInvalid
	}
	next = next.clone()
	index := n.appendOwn(Entry{Kind: EntryMembership, Membership: &next})
	return index, ProposeAccepted
}

// isOneChange reports whether next adds one learner, or promotes, demotes,
// removes or readdresses one member, and leaves at least one voter.
func isOneChange(present, next Membership) bool {
	if len(next.voters()) == 0 || hasDuplicates(next) {
		return false
	}
	changes := 0
	for _, member := range next.Members {
		before, found := present.find(member.ID)
		if !found && !member.Learner {
			return false
		}
		if before != member {
			changes++
		}
	}
	for _, member := range present.Members {
		if _, found := next.find(member.ID); !found {
			changes++
		}
	}
	return changes <= 1
}

func hasDuplicates(membership Membership) bool {
	seen := map[wire.Incarnation]bool{}
	for _, member := range membership.Members {
		if member.ID == "" || seen[member.ID] {
			return true
		}
		seen[member.ID] = true
	}
	return false
}
