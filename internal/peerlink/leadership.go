package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/owner"
)

// LeadershipStatus is a process's answer to the query whether it leads.
type LeadershipStatus struct {
	Leading bool
	// Process is unique to the incarnation of the process that answered.
	Process string
	// Leader is the address of the leader that the process follows, or empty if there is none.
	Leader string
}

// QueryLeadership asks the process at an address whether it leads. It returns false if the process
// does not answer. term is the term of the calling leader, or zero if the caller does not lead.
func QueryLeadership(ctx context.Context, address string, term owner.Term) (LeadershipStatus, bool) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return LeadershipStatus{}, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if writeLine(conn, Hello{QueryOnly: true, Term: term}) != nil {
		return LeadershipStatus{}, false
	}
	var update Update
	err = readLine(bufio.NewReader(conn), &update)
	return LeadershipStatus{Leading: update.Leading, Process: update.Process, Leader: update.FollowedLeader}, err == nil
}
