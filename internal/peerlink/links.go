package peerlink

import (
	"bufio"
	"time"
)

func (h *Hub) drop(one *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, one)
	h.bulk.leave(one)
	h.quotas.drop(one)
	if h.relays[one.hello.Zone] == one {
		delete(h.relays, one.hello.Zone)
	}
	h.standbys.lost(one)
}

// receive passes the link's reports on. Reports that find no room are dropped:
// the next ones tell as much.
func (h *Hub) receive(one *link, reader *bufio.Reader) {
	defer func() { _ = one.conn.Close() }()
	for {
		_ = one.conn.SetReadDeadline(time.Now().Add(reportSilence))
		var report Report
		if err := readLine(reader, &report); err != nil {
			return
		}
		if report.Stamp > 0 {
			h.stamped(one, report)
		}
		h.take(one, report)
	}
}

// take passes a link's report on.
func (h *Hub) take(one *link, report Report) {
	if report.Evidence != nil && h.evidence != nil {
		h.evidence(*report.Evidence)
	}
	h.takeQuota(one, report.Quota)
	if len(report.Limits) > 0 && h.limitsTold != nil {
		h.limitsTold(report.Limits)
	}
	if len(report.Leaving) > 0 && h.leavingTold != nil {
		h.leavingTold(report.Leaving)
	}
	h.mu.Lock()
	one.followers = report.Followers
	leading := h.leading
	h.mu.Unlock()
	if !leading {
		if h.reported != nil {
			h.reported(report)
		}
		return
	}
	select {
	case h.reports <- report:
	default:
	}
}

func (h *Hub) send(one *link) {
	timer := time.NewTicker(heartbeat)
	defer timer.Stop()
	for {
		update, ok := h.update(one)
		if !ok || writeLine(one.conn, update) != nil || update.Redirect != "" {
			return
		}
		select {
		case <-one.wake:
		case <-timer.C:
		case <-h.nextPiece(one):
		}
	}
}
