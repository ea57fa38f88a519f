package peerlink

import (
	"bufio"
	"context"
	"net"
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

// SetHoldsEnd records when all holds that leaders before a term granted have ended. The hub reports it
// to processes that follow it, and to later leaders.
func (h *Hub) SetHoldsEnd(term owner.Term, end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term > h.holdsEnd.term || (term == h.holdsEnd.term && end.Before(h.holdsEnd.at)) {
		h.holdsEnd = holdsEnd{term: term, at: end}
	}
}

// holdsEnd is when all holds that leaders before a term granted have ended.
type holdsEnd struct {
	term owner.Term
	at   time.Time
}

// leftMillis returns for how much longer the holds may last, rounded up.
func (e holdsEnd) leftMillis(now time.Time) int64 {
	if !e.at.After(now) {
		return 0
	}
	return e.at.Sub(now).Milliseconds() + 1
}

// HoldsEnd returns the last term for which it is known when all holds of the leaders before have ended,
// and that time. The term is zero if none is known.
func (h *Hub) HoldsEnd() (owner.Term, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holdsEnd.term, h.holdsEnd.at
}

// renewals returns the answer to a leader's query.
func (h *Hub) renewals(holders []workers.ID) *Renewals {
	now := clock.Now()
	h.mu.Lock()
	answer := &Renewals{UptimeMillis: now.Sub(h.servingSince).Milliseconds(), Term: h.holdsEnd.term, HoldsLeftMillis: h.holdsEnd.leftMillis(now)}
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
