// Package consensus is the replicated log of a control group: election with a
// pre-vote, majority commit, leadership lease, and one membership change at a
// time. It follows the Raft paper (Ongaro and Ousterhout, 2014) and its names.
//
// The log is in memory only. That is safe because a member is an incarnation,
// one run of a process: a process that lost its memory is a new member, which
// joins as a learner through a committed membership change and can never vote
// as its former self.
//
// Node is a pure state machine: Step, Tick and Propose change it, Ready hands
// out what the caller must send and apply. It does no I/O and reads no clock.
package consensus

import (
	"encoding/json"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// Term counts elections.
type Term uint64

// Index counts log entries from 1.
type Index uint64

// Role is what a node does in its group.
type Role string

// Roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	RoleLearner      Role = "learner"
	// RoleSealed has promised never to vote, acknowledge or commit again.
	RoleSealed Role = "sealed"
)

// Member is one incarnation in the group.
type Member struct {
	ID      wire.Incarnation `json:"id"`
	Address string           `json:"address"`
	Zone    string           `json:"zone"`
	Learner bool             `json:"learner,omitempty"`
}

// Membership is the group as of a log index.
type Membership struct {
	Members []Member `json:"members"`
}

// EntryKind says what an entry carries.
type EntryKind string

// Kinds of entries.
const (
	EntryCommand    EntryKind = "command"
	EntryMembership EntryKind = "membership"
	// EntryEmpty is committed by a new leader to learn the commit index.
	EntryEmpty EntryKind = "empty"
)

// Entry is one log entry.
type Entry struct {
	Index      Index           `json:"index"`
	Term       Term            `json:"term"`
	Kind       EntryKind       `json:"kind"`
	Command    json.RawMessage `json:"command,omitempty"`
	Membership *Membership     `json:"membership,omitempty"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index      Index           `json:"index"`
	Term       Term            `json:"term"`
	Membership Membership      `json:"membership"`
	State      json.RawMessage `json:"state"`
}

// MessageKind names a message between members.
type MessageKind string

// Kinds of messages.
const (
	MessagePreVote         MessageKind = "pre-vote"
	MessagePreVoteResponse MessageKind = "pre-vote-response"
	MessageVote            MessageKind = "vote"
	MessageVoteResponse    MessageKind = "vote-response"
	MessageAppend          MessageKind = "append"
	MessageAppendResponse  MessageKind = "append-response"
	MessageSnapshot        MessageKind = "snapshot"
)

// Message goes between two members of one generation of a group.
type Message struct {
	Kind       MessageKind      `json:"kind"`
	Cell       string           `json:"cell"`
	Generation wire.Generation  `json:"generation"`
	From       wire.Incarnation `json:"from"`
	To         wire.Incarnation `json:"to"`
	Term       Term             `json:"term"`
	// LogIndex and LogTerm name the entry before Entries, or the last entry of
	// a candidate's log.
	LogIndex Index   `json:"log_index,omitempty"`
	LogTerm  Term    `json:"log_term,omitempty"`
	Entries  []Entry `json:"entries,omitempty"`
	Commit   Index   `json:"commit,omitempty"`
	// Round is the leader's clock (Upper) when it sent an append; the response
	// echoes it, and the leadership lease counts from it.
	Round    time.Duration `json:"round,omitempty"`
	Reject   bool          `json:"reject,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
}

// Config holds a node's identity and times.
type Config struct {
	Cell       string
	Generation wire.Generation
	Self       wire.Incarnation
	Membership Membership
	// Initial is the snapshot to start from; its index may be zero.
	Initial Snapshot
	// Heartbeat is the period of a leader's appends.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the time without a leader after which
	// a follower starts an election. A follower grants no vote within
	// ElectionMin of the leader's last append: its promise.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is the leadership lease, counted from Round. It is shorter than
	// ElectionMin by more than the clocks' rates can differ.
	Lease time.Duration
	// KeepEntries is how many entries Compact keeps before a snapshot, so that a
	// member that lags a little is sent entries and no snapshot.
	KeepEntries Index
	// Random gives numbers in [0,1) for election times.
	Random func() float64
}

// Ready is what the caller must do after a Step, Tick or Propose.
type Ready struct {
	Messages []Message
	// Restore, when set, replaces the applied state before Committed.
	Restore *Snapshot
	// Committed entries in order, to be applied once each.
	Committed []Entry
}

// Status is a view for logs and operators.
type Status struct {
	Self       wire.Incarnation `json:"self"`
	Role       Role             `json:"role"`
	Term       Term             `json:"term"`
	Leader     wire.Incarnation `json:"leader,omitempty"`
	Commit     Index            `json:"commit"`
	Last       Index            `json:"last"`
	Membership Membership       `json:"membership"`
	// LeaseUntil is the end (Upper) of the leadership lease; zero if not leader.
	LeaseUntil time.Duration `json:"lease_until,omitempty"`
	// Match has, at a leader, the last index known to be at each member, and
	// the time (Upper) of its last answer.
	Match []MemberProgress `json:"match,omitempty"`
}

// MemberProgress is what a leader knows of one member.
type MemberProgress struct {
	ID        wire.Incarnation `json:"id"`
	Match     Index            `json:"match"`
	LastHeard time.Duration    `json:"last_heard"`
}

// ProposeOutcome says what became of a proposal.
type ProposeOutcome string

// Outcomes of a proposal.
const (
	ProposeAccepted  ProposeOutcome = "accepted"
	ProposeNotLeader ProposeOutcome = "not-leader"
	// ProposeChangePending: the last membership change is not yet committed, or
	// the leader has not yet committed an entry of its own term. Try again.
	ProposeChangePending ProposeOutcome = "change-pending"
	// ProposeInvalid: the change concerns more than one member, adds a voter
	// that was no learner, or leaves no voter.
	ProposeInvalid ProposeOutcome = "invalid-change"
)
