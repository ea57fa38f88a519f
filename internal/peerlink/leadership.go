package peerlink

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// LeadershipStatus is a process's answer to the query whether it leads.
type LeadershipStatus struct {
	Leading bool
	// Process is unique to the incarnation of the process that answered.
	Process string
	// Leader is the address of the leader that the process follows, or empty if there is none.
	Leader string
	// Renewals are nil if the process doesn't report them.
	Renewals *Renewals
}

// Renewals are what a process knows about the holds that it and earlier leaders have granted. Times
// are sent as ages, which are too low by the time that the message takes.
type Renewals struct {
	// UptimeMillis is for how long the process has accepted links: an earlier process at the same
	// address had ended by then.
	UptimeMillis int64 `json:"u"`
	// GrantAgeMillis are the times since the process last sent a grant to a worker. Workers that it
	// has sent none for longer than any hold lasts may be missing.
	GrantAgeMillis map[workers.ID]int64 `json:"g,omitempty"`
	// Term is the last term for which the process knows when the holds of all leaders before end, and
	// HoldsLeftMillis is how long they last at most. Term is zero if there is none.
	Term            owner.Term `json:"t,omitempty"`
	HoldsLeftMillis int64      `json:"l,omitempty"`
	// HoldsLeft is the same for all terms of which the process knows it. Processes of earlier versions
	// don't report it.
	HoldsLeft []HoldsLeft `json:"e,omitempty"`
}

// HoldsLeft is for how much longer holds may last that leaders before a term granted.
type HoldsLeft struct {
	Term   owner.Term `json:"t"`
	Millis int64      `json:"l"`
}

// HoldEnds returns the hold ends that are reported, given when the report was received.
func (r *Renewals) HoldEnds(receivedAt time.Time) []owner.HoldEnd {
	reported := r.HoldsLeft
	if len(reported) == 0 && r.Term > 0 {
		reported = []HoldsLeft{{Term: r.Term, Millis: r.HoldsLeftMillis}}
	}
	ends := make([]owner.HoldEnd, 0, len(reported))
	for _, left := range reported {
		ends = append(ends, owner.HoldEnd{Term: left.Term, At: receivedAt.Add(time.Duration(left.Millis) * time.Millisecond)})
	}
	return ends
}

// QueryLeadership asks the process at an address whether it leads. It returns false if the process
// does not answer. term is the term of the calling leader, or zero if the caller does not lead; a
// leader also learns when the process last sent grants to holders.
func QueryLeadership(ctx context.Context, address string, term owner.Term, holders ...workers.ID) (LeadershipStatus, bool) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return LeadershipStatus{}, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if writeLine(conn, Hello{QueryOnly: true, Term: term, Holders: holders}) != nil {
		return LeadershipStatus{}, false
	}
	var update Update
	err = readLine(bufio.NewReader(conn), &update)
	return LeadershipStatus{
		Leading: update.Leading, Process: update.Process, Leader: update.FollowedLeader, Renewals: update.Renewals,
	}, err == nil
}

// AddHoldEnd records when all holds that leaders before a term granted have ended. The hub reports it to
// processes that follow it, and to later leaders.
func (h *Hub) AddHoldEnd(end owner.HoldEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holdEnds.Add(end.Term, end.At)
}

// HoldEnds returns what the process knows of when holds have ended.
func (h *Hub) HoldEnds() owner.HoldEnds {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.holdEnds)
}

// holdsLeftMillis returns for how much longer the holds may last that leaders before the hub's term
// granted, rounded up; zero if that is not known or they have ended. The caller holds mu.
func (h *Hub) holdsLeftMillis(now time.Time) int64 {
	if last := len(h.holdEnds) - 1; last >= 0 && h.holdEnds[last].Term == h.term {
		return leftMillis(now, h.holdEnds[last].At)
	}
	return 0
}

// leftMillis returns how long it is until a time, rounded up; zero if it has passed.
func leftMillis(now, at time.Time) int64 {
	if !at.After(now) {
		return 0
	}
	return at.Sub(now).Milliseconds() + 1
}

// renewals returns the answer to a leader's query.
func (h *Hub) renewals(holders []workers.ID) *Renewals {
	now := clock.Now()
	h.mu.Lock()
	answer := &Renewals{UptimeMillis: now.Sub(h.servingSince).Milliseconds()}
	for _, end := range h.holdEnds {
		answer.Term, answer.HoldsLeftMillis = end.Term, leftMillis(now, end.At)
		answer.HoldsLeft = append(answer.HoldsLeft, HoldsLeft{Term: end.Term, Millis: answer.HoldsLeftMillis})
	}
	h.mu.Unlock()
	if len(holders) == 0 {
		return answer
	}
	answer.GrantAgeMillis = map[workers.ID]int64{}
	for worker, age := range h.GrantAges(now, holders) {
		answer.GrantAgeMillis[worker] = age.Milliseconds()
	}
	return answer
}
