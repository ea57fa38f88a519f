package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

func (h *Hub) drop(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, l)
	h.bulkTransfers.release(l)
	h.quotaRoutes.drop(l)
	if h.relays[l.hello.Zone] == l {
		delete(h.relays, l.hello.Zone)
	}
	h.standbys.markLinkLost(l)
}

// receive handles the link's reports until the link breaks or is silent for reportSilence. Reports
// that the receiver has no room for are dropped, as the following ones contain similar counts.
func (h *Hub) receive(l *link, lines *lineReader) {
	defer func() { _ = l.conn.Close() }()
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add(reportSilence))
		var report Report
		if err := lines.read(&report); err != nil {
			return
		}
		if report.Stamp > 0 {
			h.recordStandbyReport(l, report)
		}
		h.handleReport(l, report)
	}
}

// handleReport passes the contents of a link's report to their receivers.
func (h *Hub) handleReport(l *link, report Report) {
	if report.Evidence != nil && h.onEvidence != nil {
		h.onEvidence(*report.Evidence)
	}
	h.handleQuota(l, report.Quota)
	if len(report.Limits) > 0 && h.onLimits != nil {
		h.onLimits(report.Limits)
	}
	if len(report.Leaving) > 0 && h.onLeaving != nil {
		h.onLeaving(report.Leaving)
	}
	h.mu.Lock()
	l.followers = report.Followers
	l.contact.record(clock.Now(), report)
	if l.contact.needsHelp(clock.Now()) && l.contact.helpersSentAt.IsZero() {
		l.signal()
	}
	leading := h.leading
	h.mu.Unlock()
	if !leading {
		if h.onFollowerReport != nil {
			h.onFollowerReport(report)
		}
		return
	}
	select {
	case h.reports <- report:
	default:
	}
}

func (h *Hub) send(l *link) {
	timer := time.NewTicker(heartbeatInterval)
	defer timer.Stop()
	for {
		update, ok := h.update(l)
		if !ok || writeLine(l.conn, update) != nil || update.Redirect != "" {
			return
		}
		select {
		case <-l.wake:
		case <-timer.C:
		case <-h.pieceTimer(l):
		}
	}
}
