package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/quarantine"
)

const (
	// suspectsPause is the pause between messages to a link that tell of suspected requests,
	// and mostSuspects is how many of their changes one tells. A packed one takes some 100
	// bytes, so a burst of crashes costs a link 13 KB a second, while all of its traffic is to
	// take 20 KB a second at most. Told whole, 512 of them took 50 KB up to five times a second.
	suspectsPause = 500 * time.Millisecond
	mostSuspects  = 64
)

// SuspectsNews returns what an Update tells of suspected and quarantined requests; false if it
// tells nothing.
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

// tellSuspects adds to an update what the link has not been told of suspects. The caller holds
// mu.
func (h *Hub) tellSuspects(one *link, update *Update, now time.Time) {
	if one.suspects == h.suspects.Version() || now.Sub(one.suspectsAt) < suspectsPause {
		return
	}
	one.suspectsAt = now
	if !one.hello.SuspectChanges {
		changes, upTo := h.suspects.Since(now, 0, 0)
		update.Suspects, one.suspects = pack(changes.Updated), upTo
		return
	}
	changes, upTo := h.suspects.Since(now, one.suspects, mostSuspects)
	update.SuspectChanges, one.suspects = pack(changes), upTo
}

// TellSuspects tells the links which requests are suspected or quarantined, as a leader knows.
func (h *Hub) PublishSuspects(records []quarantine.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects.Set(records)
	h.wakeAll()
}

// HearSuspects takes what a leader or a relay tells of them, lets the links hear it, and returns
// all that were told.
func (h *Hub) ApplySuspects(changes quarantine.Changes) []quarantine.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects.Apply(clock.Now(), changes)
	h.wakeAll()
	return h.suspects.Records()
}

// OnEvidence sets what is called with what linked processes have seen of crashes, by a leader
// and by a relay.
func (h *Hub) OnEvidence(call func(quarantine.Evidence)) { h.evidence = call }

// SuspectsVersion counts the changes of the suspects that are told.
func (h *Hub) SuspectsVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspects.Version()
}
