package peerlink

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// Contact tells whether a process reaches the workers.
type Contact int

// Values of Contact.
const (
	// ContactUnknown means that the process sends too little to know.
	ContactUnknown Contact = iota
	// InContact means that workers have answered it lately.
	InContact
	// CutOff means that it reaches hardly any worker.
	CutOff
)

const (
	// contactLifetime is for how long a process's report on its contact counts.
	contactLifetime = 1500 * time.Millisecond
	// helpersInterval is the interval at which a process that is cut off is sent addresses of others,
	// and maxHelpers the most that are sent at once.
	helpersInterval = 500 * time.Millisecond
	maxHelpers      = 16
	// offersInterval is the interval at which a relay tells the leader of followers that reach the
	// workers, and maxOffers the most that it tells of at once.
	offersInterval = 2 * time.Second
	maxOffers      = 4
	// helpersLifetime is for how long addresses that were sent by another process are passed on.
	helpersLifetime = 5 * time.Second
)

// contactReport is what a link's process has reported of its contact with the workers.
type contactReport struct {
	contact    Contact
	seeksHelp  bool
	reportedAt time.Time
	// offers are addresses of the process's followers that reach the workers, as of offeredAt.
	offers    []string
	offeredAt time.Time
	// helpersSentAt is when addresses of processes that reach the workers were last sent.
	helpersSentAt time.Time
}

// current returns the reported contact while it counts. The caller holds the hub's mu.
func (c *contactReport) current(now time.Time) Contact {
	if now.Sub(c.reportedAt) > contactLifetime {
		return ContactUnknown
	}
	return c.contact
}

// needsHelp reports whether the process, or one that follows it, is cut off. The caller holds the hub's
// mu.
func (c *contactReport) needsHelp(now time.Time) bool {
	return now.Sub(c.reportedAt) <= contactLifetime && (c.contact == CutOff || c.seeksHelp)
}

// record records a report. The caller holds the hub's mu.
func (c *contactReport) record(now time.Time, report Report) {
	c.contact, c.seeksHelp, c.reportedAt = report.Contact, report.SeeksHelp, now
	if len(report.Offers) > 0 {
		c.offers, c.offeredAt = report.Offers, now
	}
}

// receivedHelpers are the addresses that a relay has received for itself and its followers.
type receivedHelpers struct {
	addresses []string
	at        time.Time
}

// SetHelpers records addresses of processes that reach the workers, for the followers of this relay.
func (h *Hub) SetHelpers(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.helpers = receivedHelpers{addresses: addresses, at: clock.Now()}
	h.wakeAll()
}

// AnyFollowerInContact reports whether a process that follows this one reaches the workers.
func (h *Hub) AnyFollowerInContact(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for l := range h.links {
		if l.contact.current(now) == InContact || now.Sub(l.contact.offeredAt) <= contactLifetime {
			return true
		}
	}
	return false
}

// AddContact adds to a report whether this process reaches the workers, and for a relay, whether followers
// need help and which may give it.
func (h *Hub) AddContact(report *Report, now time.Time) {
	if h.Contact != nil {
		report.Contact = h.Contact()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading || len(h.links) == 0 {
		return
	}
	for l := range h.links {
		report.SeeksHelp = report.SeeksHelp || l.contact.needsHelp(now)
	}
	if now.Sub(h.offeredAt) >= offersInterval {
		h.offeredAt = now
		report.Offers = h.reachingAddresses(nil, now, maxOffers)
	}
}

// ReachingAddresses returns addresses of processes that follow this one and reach the workers.
func (h *Hub) ReachingAddresses(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reachingAddresses(nil, now, maxHelpers)
}

// helpersFor returns addresses of processes that reach the workers, if the link's process needs them now.
// The caller holds mu.
func (h *Hub) helpersFor(l *link, now time.Time) []string {
	if !l.contact.needsHelp(now) || now.Sub(l.contact.helpersSentAt) < helpersInterval {
		return nil
	}
	addresses := h.reachingAddresses(l, now, maxHelpers)
	if now.Sub(h.helpers.at) < helpersLifetime {
		addresses = append(addresses, h.helpers.addresses...)
	}
	if h.Address != "" && len(addresses) < maxHelpers && h.Contact != nil && h.Contact() == InContact {
		addresses = append(addresses, h.Address) // only where few others reach the workers: leaders and relays are busy
	}
	if len(addresses) == 0 {
		return nil
	}
	l.contact.helpersSentAt = now
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxHelpers)]
}

// reachingAddresses returns addresses of linked processes that reach the workers, and of such followers of
// theirs, at most limit of them at random. The caller holds mu.
func (h *Hub) reachingAddresses(excluded *link, now time.Time, limit int) []string {
	var addresses []string
	for l := range h.links { // map order is random
		if len(addresses) >= limit {
			break
		}
		if l == excluded {
			continue
		}
		if l.contact.current(now) == InContact && l.hello.Address != "" {
			addresses = append(addresses, l.hello.Address)
		}
		if now.Sub(l.contact.offeredAt) < helpersLifetime {
			addresses = append(addresses, l.contact.offers...)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), limit)]
}
