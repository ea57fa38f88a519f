package peerlink

import "github.com/shalefork/shalefork/internal/quarantine"

// suspectsTold are the suspected and quarantined requests as they are told. They are few and
// change at crashes only, so all of them are told at each change.
type suspectsTold struct {
	// version counts the changes; zero: nothing is known.
	version uint64
	packed  []byte
}

// since returns them if a link has not been told; nil if it has.
func (s *suspectsTold) since(one *link) []byte {
	if one.suspects == s.version {
		return nil
	}
	one.suspects = s.version
	return s.packed
}

// PackSuspects writes suspects as an Update tells them.
func PackSuspects(snapshot quarantine.Snapshot) []byte { return pack(snapshot) }

// TellSuspects tells the links which requests are suspected or quarantined, packed: a relay
// passes on what it was told.
func (h *Hub) TellSuspects(packed []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects = suspectsTold{version: h.suspects.version + 1, packed: packed}
	h.wakeAll()
}

// OnEvidence sets what is called with what linked processes have seen of crashes, by a leader
// and by a relay.
func (h *Hub) OnEvidence(call func(quarantine.Evidence)) { h.evidence = call }

// SuspectsVersion counts how often the links were told of suspects.
func (h *Hub) SuspectsVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.suspects.version
}
