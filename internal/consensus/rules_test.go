package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

var threeMembers = Membership{Members: []Member{{ID: "A"}, {ID: "B"}, {ID: "C"}}}

func newTestNode() *Node {
	return NewNode(Config{
		Cell: "cell", Generation: 1, Self: "A", Membership: threeMembers,
		Heartbeat: 100, ElectionMin: 300, ElectionMax: 450, Lease: 250,
		Random: func() float64 { return 0 },
	}, clock.Instant{})
}

// step hands A a message with the address fields filled in.
func step(node *Node, at time.Duration, message Message) []Message {
	message.Cell, message.Generation, message.To = "cell", 1, "A"
	node.Step(clock.Exact(at), message)
	return node.Ready().Messages
}

// leaderWithOlderEntry returns A as leader of term 2, elected at 700. Its log
// has entry 1 of term 1, not known to be committed, and its own entry 2.
func leaderWithOlderEntry(t *testing.T) *Node {
	node := newTestNode()
	entries := []Entry{{Index: 1, Term: 1, Kind: EntryCommand}}
	step(node, 100, Message{Kind: MessageAppend, From: "B", Term: 1, Entries: entries})
	node.Tick(clock.Exact(700))
	step(node, 700, Message{Kind: MessagePreVoteResponse, From: "C", Term: 2})
	step(node, 700, Message{Kind: MessageVoteResponse, From: "C", Term: 2})
	assert.Equal(t, node.Status().Role, RoleLeader)
	return node
}

func TestOlderEntryIsNotCommittedByCounting(t *testing.T) {
	node := leaderWithOlderEntry(t)
	step(node, 710, Message{Kind: MessageAppendResponse, From: "C", Term: 2, LogIndex: 1, Round: 700})
	assert.Equal(t, node.Status().Commit, Index(0))
	step(node, 720, Message{Kind: MessageAppendResponse, From: "C", Term: 2, LogIndex: 2, Round: 700})
	assert.Equal(t, node.Status().Commit, Index(2))
}

func TestLeaseNeedsCommitOfOwnTermAndCountsFromRound(t *testing.T) {
	node := leaderWithOlderEntry(t)
	step(node, 710, Message{Kind: MessageAppendResponse, From: "C", Term: 2, LogIndex: 1, Round: 700})
	_, held := node.LeaseUntil()
	assert.Assert(t, !held, "nothing of the leader's own term is committed")
	step(node, 790, Message{Kind: MessageAppendResponse, From: "C", Term: 2, LogIndex: 2, Round: 700})
	until, held := node.LeaseUntil()
	assert.Assert(t, held)
	assert.Equal(t, until, time.Duration(700+250))
	elected, _ := node.Elected()
	assert.Equal(t, elected, clock.Exact(700))
}

// TestCommitNeedsLeaseByUpper: the leader's machine was frozen and only Upper
// moved, so that those who answered may have sealed since.
func TestCommitNeedsLeaseByUpper(t *testing.T) {
	node := leaderWithOlderEntry(t)
	answer := Message{
		Kind: MessageAppendResponse, Cell: "cell", Generation: 1,
		From: "C", To: "A", Term: 2, LogIndex: 2, Round: 700,
	}
	node.Step(clock.Instant{Upper: 950, Lower: 710}, answer)
	assert.Equal(t, node.Status().Commit, Index(0))
}

func TestAnswerOfAnOlderTermIsIgnored(t *testing.T) {
	node := leaderWithOlderEntry(t)
	step(node, 710, Message{Kind: MessageAppendResponse, From: "C", Term: 1, LogIndex: 2, Round: 700})
	assert.Equal(t, node.Status().Commit, Index(0))
}

// TestLeaderKeepsItsPromiseWhenItStepsDown: whoever was told of its lease may
// rely on it until its end.
func TestLeaderKeepsItsPromiseWhenItStepsDown(t *testing.T) {
	node := leaderWithOlderEntry(t)
	step(node, 710, Message{Kind: MessageAppendResponse, From: "C", Term: 2, LogIndex: 2, Round: 700})
	step(node, 720, Message{Kind: MessageAppendResponse, From: "B", Term: 3, Reject: true})
	assert.Equal(t, node.Status().Role, RoleFollower)
	answers := step(node, 949, Message{Kind: MessageVote, From: "B", Term: 4, LogIndex: 2, LogTerm: 3})
	assert.Assert(t, answers[0].Reject)
}

func TestQuorumsMeet(t *testing.T) {
	for voters := 1; voters <= 7; voters++ {
		assert.Assert(t, 2*quorum(voters) > voters)
		assert.Assert(t, 2*(quorum(voters)-1) <= voters, "no more than needed")
	}
}

func TestMembershipChangeWaitsForCommitOfOwnTerm(t *testing.T) {
	node := leaderWithOlderEntry(t)
	next := Membership{Members: append(threeMembers.clone().Members, Member{ID: "D", Learner: true})}
	_, outcome := node.ProposeMembership(clock.Exact(700), next)
	assert.Equal(t, outcome, ProposeChangePending)
}

func TestOnlyOneMemberChangesAtATime(t *testing.T) {
	cases := map[string]struct {
		next []Member
		one  bool
	}{
		"learner added":          {[]Member{{ID: "A"}, {ID: "B"}, {ID: "C"}, {ID: "D", Learner: true}}, true},
		"voter removed":          {[]Member{{ID: "A"}, {ID: "C"}}, true},
		"voter demoted":          {[]Member{{ID: "A"}, {ID: "B", Learner: true}, {ID: "C"}}, true},
		"voter was no learner":   {[]Member{{ID: "A"}, {ID: "B"}, {ID: "C"}, {ID: "D"}}, false},
		"one removed, one added": {[]Member{{ID: "A"}, {ID: "B"}, {ID: "D", Learner: true}}, false},
		"two removed":            {[]Member{{ID: "A"}}, false},
		"no voter left":          {[]Member{{ID: "A", Learner: true}}, false},
		"named twice":            {[]Member{{ID: "A"}, {ID: "B"}, {ID: "C"}, {ID: "C"}}, false},
	}
	for name, test := range cases {
		assert.Equal(t, isOneChange(threeMembers, Membership{Members: test.next}), test.one, name)
	}
}

// TestVoteWithinPromiseIsRefused also checks that the term is not taken over:
// else the leader's next append would be refused.
func TestVoteWithinPromiseIsRefused(t *testing.T) {
	for _, kind := range []MessageKind{MessagePreVote, MessageVote} {
		node := newTestNode()
		step(node, 100, Message{Kind: MessageAppend, From: "B", Term: 1})
		answers := step(node, 399, Message{Kind: kind, From: "C", Term: 2})
		assert.Assert(t, answers[0].Reject)
		assert.Equal(t, node.Status().Term, Term(1))
		answers = step(node, 400, Message{Kind: kind, From: "C", Term: 2})
		assert.Assert(t, !answers[0].Reject)
	}
}

// TestSplitVoteIsRepeatedSoon: a voter that did not vote for this candidate in
// its term will not change its mind, so waiting a whole election time for it
// only keeps the group without a leader.
func TestSplitVoteIsRepeatedSoon(t *testing.T) {
	node := newTestNode()
	step(node, 100, Message{Kind: MessageAppend, From: "B", Term: 1})
	node.Tick(clock.Exact(400))
	step(node, 400, Message{Kind: MessagePreVoteResponse, From: "C", Term: 2})
	assert.Equal(t, node.Status().Role, RoleCandidate)
	step(node, 410, Message{Kind: MessageVoteResponse, From: "C", Term: 2, Reject: true})
	assert.Equal(t, node.Status().Role, RoleCandidate)
	node.Tick(clock.Exact(510))
	messages := node.Ready().Messages
	assert.Equal(t, len(messages), 2)
	assert.Equal(t, messages[0].Kind, MessagePreVote)
	assert.Equal(t, messages[0].Term, Term(3))
}

// followerWith returns A with entries 1 to 3 of term 1, entry 1 committed.
func followerWith(t *testing.T) *Node {
	node := newTestNode()
	entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	step(node, 100, Message{Kind: MessageAppend, From: "B", Term: 1, Entries: entries, Commit: 1})
	assert.Equal(t, node.Status().Last, Index(3))
	return node
}

func TestVoteNeedsALogAsLong(t *testing.T) {
	for _, kind := range []MessageKind{MessagePreVote, MessageVote} {
		for _, last := range []struct {
			index  Index
			term   Term
			reject bool
		}{{2, 1, true}, {9, 0, true}, {3, 1, false}, {1, 2, false}} {
			ask := Message{Kind: kind, From: "C", Term: 3, LogIndex: last.index, LogTerm: last.term}
			answers := step(followerWith(t), 900, ask)
			assert.Equal(t, answers[0].Reject, last.reject, "%s: %v", kind, last)
		}
	}
}

// TestFollowerCommitsOnlyWhatIsKnownToMatch: its entries 2 and 3 may differ
// from those that the new leader has committed.
func TestFollowerCommitsOnlyWhatIsKnownToMatch(t *testing.T) {
	node := followerWith(t)
	step(node, 200, Message{Kind: MessageAppend, From: "C", Term: 2, LogIndex: 1, LogTerm: 1, Commit: 3})
	assert.Equal(t, node.Status().Commit, Index(1))
}

func TestLateAppendShortensNoLog(t *testing.T) {
	node := followerWith(t)
	late := []Entry{{Index: 2, Term: 1}}
	step(node, 200, Message{Kind: MessageAppend, From: "B", Term: 1, LogIndex: 1, LogTerm: 1, Entries: late})
	assert.Equal(t, node.Status().Last, Index(3))
}

func TestConflictingEntriesAreReplaced(t *testing.T) {
	node := followerWith(t)
	entries := []Entry{{Index: 2, Term: 2}}
	step(node, 200, Message{Kind: MessageAppend, From: "C", Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries})
	assert.Equal(t, node.Status().Last, Index(2))
	assert.Equal(t, node.log.lastTerm(), Term(2))
}

func TestNewNodeMakesThePromiseAtItsStart(t *testing.T) {
	answers := step(newTestNode(), 299, Message{Kind: MessageVote, From: "C", Term: 1})
	assert.Assert(t, answers[0].Reject)
}

// TestMessagesForOthersAreDropped: what was meant for another group, or for an
// earlier process at this address, changes nothing.
func TestMessagesForOthersAreDropped(t *testing.T) {
	good := Message{Kind: MessageAppend, Cell: "cell", Generation: 1, From: "B", To: "A", Term: 5}
	otherCell, otherGeneration, otherProcess := good, good, good
	otherCell.Cell = "other"
	otherGeneration.Generation = 2
	otherProcess.To = "A-before"
	for _, message := range []Message{otherCell, otherGeneration, otherProcess} {
		node := newTestNode()
		node.Step(clock.Exact(100), message)
		assert.Equal(t, node.Status().Term, Term(0))
		assert.Equal(t, len(node.Ready().Messages), 0)
	}
}

func TestVoteOfNonMemberIsIgnored(t *testing.T) {
	node := newTestNode()
	node.Tick(clock.Exact(300))
	step(node, 300, Message{Kind: MessagePreVoteResponse, From: "X", Term: 1})
	assert.Equal(t, node.Status().Role, RolePreCandidate)
	step(node, 300, Message{Kind: MessagePreVoteResponse, From: "B", Term: 1})
	step(node, 300, Message{Kind: MessageVoteResponse, From: "X", Term: 1})
	assert.Equal(t, node.Status().Role, RoleCandidate)
}

// TestSealedNodeStaysSilent: no vote, no acknowledgement, no lease, no proposal.
func TestSealedNodeStaysSilent(t *testing.T) {
	node := newTestNode()
	assert.Assert(t, !node.Seal(clock.Exact(299)))
	assert.Assert(t, node.Seal(clock.Exact(300)))
	for _, kind := range []MessageKind{MessagePreVote, MessageVote, MessageAppend} {
		assert.Equal(t, len(step(node, 900, Message{Kind: kind, From: "B", Term: 9})), 0)
	}
	node.Tick(clock.Exact(2000))
	_, outcome := node.Propose(clock.Exact(2000), nil)
	assert.Equal(t, outcome, ProposeNotLeader)
	assert.Equal(t, node.Status().Role, RoleSealed)
	assert.Equal(t, len(node.Ready().Messages), 0)
}

// TestSealDropsQueuedAnswers: an answer that was not yet handed out would break
// the promise to acknowledge no more.
func TestSealDropsQueuedAnswers(t *testing.T) {
	node := newTestNode()
	message := Message{Kind: MessageAppend, Cell: "cell", Generation: 1, From: "B", To: "A", Term: 1}
	node.Step(clock.Exact(100), message)
	assert.Assert(t, node.Seal(clock.Exact(400)))
	assert.Equal(t, len(node.Ready().Messages), 0)
}
