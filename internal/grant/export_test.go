package grant

import (
	"fmt"
	"maps"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
)

// Clone returns a copy that can change apart from the book.
func (b *Book) Clone() *Book {
	copied := *b
	copied.leases = make(map[bundle.ServerName]*lease, len(b.leases))
	for name, held := range b.leases {
		other := *held
		other.former = maps.Clone(held.former)
		other.ends = maps.Clone(held.ends)
		other.released = maps.Clone(held.released)
		other.taken = maps.Clone(held.taken)
		copied.leases[name] = &other
	}
	return &copied
}

// Fingerprint describes everything that the book's later answers depend on, as
// of now. Times of the past that can make no difference any more are left out:
// in the model a tick is longer than the limits for pauses and requests.
func (b *Book) Fingerprint(now time.Duration) string {
	text := fmt.Sprint(b.lastCall < now, b.elected.Lower)
	for _, name := range b.names {
		held := b.leases[name]
		contact := held.contact
		contact.sentAt = max(0, contact.sentAt-now+b.config.Duration)
		contact.nextAt = max(0, contact.nextAt-now)
		contact.polls = min(contact.polls, maxPollDoublings)
		contact.unconfirmed = min(contact.unconfirmed, maxAtOnce+1)
		age := min(now-held.answeredAt.Upper, b.config.Duration)
		text += fmt.Sprint("|", contact, age, held.incarnation, held.former, held.reading, held.readingAt.Lower,
			held.drainAsked, held.set, held.grants, held.versionSet, held.confirmed, held.ends, held.released, held.taken)
	}
	return text
}
