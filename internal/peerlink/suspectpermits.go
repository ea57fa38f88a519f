package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/quarantine"
)

// SuspectPermitRequest asks the leader whether an attempt of a suspected request may run, or reports
// that it has ended.
type SuspectPermitRequest struct {
	Request quarantine.Fingerprint `json:"f"`
	// Holder names the attempt.
	Holder string `json:"h"`
	// RunMillis is for how long the attempt may run at most.
	RunMillis int64 `json:"r,omitempty"`
	// Ended is set if the attempt has ended; it may have crashed its worker until AfterMillis from
	// now.
	Ended       bool  `json:"e,omitempty"`
	AfterMillis int64 `json:"a,omitempty"`
}

// SuspectPermit is the leader's answer.
type SuspectPermit struct {
	Granted bool `json:"g,omitempty"`
	// WaitMillis is when to ask again if the permit is not granted.
	WaitMillis int64 `json:"w,omitempty"`
	// Quarantined is set if the request must not run at all.
	Quarantined bool `json:"q,omitempty"`
}

// OnSuspectPermit sets the function that answers permit requests of other processes while this process
// leads. It returns nil if this process does not lead.
func (h *Hub) OnSuspectPermit(call func(SuspectPermitRequest) *SuspectPermit) {
	h.answerSuspectPermit = call
}

// QuerySuspectPermit sends a request to the leader at an address. It returns false if no leader answers
// there, or one that doesn't know such requests.
func QuerySuspectPermit(ctx context.Context, address string, request SuspectPermitRequest) (SuspectPermit, bool) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return SuspectPermit{}, false
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if writeLine(conn, Hello{QueryOnly: true, SuspectPermit: &request}) != nil {
		return SuspectPermit{}, false
	}
	var update Update
	if readLine(bufio.NewReader(conn), &update) != nil || update.SuspectPermit == nil {
		return SuspectPermit{}, false
	}
	return *update.SuspectPermit, true
}
