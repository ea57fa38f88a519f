package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/quarantine"
)

const (
	// suspectsInterval is the pause between messages to a link that contain suspected requests, and
	// maxSuspects is how many of their changes a message contains. A packed change takes some 100
	// bytes, so a burst of crashes uses 13 KB/s of a link, whose total traffic is limited to 20
	// KB/s. Full lists of 512 suspects took 50 KB up to five times a second.
	suspectsInterval = 500 * time.Millisecond
	maxSuspects      = 64
)

// DecodeSuspects returns the changes of suspected and quarantined requests in an Update, and false
// if there are none.
func (u Update) DecodeSuspects() (quarantine.Changes, bool, error) {
	var changes quarantine.Changes
	switch {
	case len(u.SuspectChanges) > 0:
		err := unpack(u.SuspectChanges, &changes)
		return changes, err == nil, err
	case len(u.Suspects) > 0:
		changes.Full = true
		err := unpack(u.Suspects, &changes.Updated)
		return changes, err == nil, err
	}
	return changes, false, nil
}

// addSuspects adds the changes of suspects that the link was not sent yet to an update. The caller
// holds mu.
func (h *Hub) addSuspects(l *link, update *Update, now time.Time) {
	if l.suspectsVersion == h.suspects.Version() || now.Sub(l.suspectsSentAt) < suspectsInterval {
		return
	}
	l.suspectsSentAt = now
	if !l.hello.SuspectChanges {
		changes, upTo := h.suspects.Since(now, 0, 0)
		update.Suspects, l.suspectsVersion = pack(changes.Updated), upTo
		return
	}
	changes, upTo := h.suspects.Since(now, l.suspectsVersion, maxSuspects)
	update.SuspectChanges, l.suspectsVersion = pack(changes), upTo
}

// PublishSuspects sets the requests that the leader knows to be suspected or quarantined, and
// notifies the links.
func (h *Hub) PublishSuspects(records []quarantine.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects.Set(records)
	h.wakeAll()
}

// ApplySuspects applies changes from a leader or a relay, forwards them to the links, and returns
// all current records.
func (h *Hub) ApplySuspects(changes quarantine.Changes) []quarantine.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects.Apply(clock.Now(), changes)
	h.wakeAll()
	return h.suspects.Records()
}

// OnEvidence sets the function that is called with the evidence of crashes that linked processes
// report. Leaders and relays use it.
func (h *Hub) OnEvidence(call func(quarantine.Evidence)) { h.onEvidence = call }

// SuspectsVersion returns the version of the suspects, which counts their changes.
func (h *Hub) SuspectsVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspects.Version()
}
