package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/facts"
)

const (
	// factsInterval is the pause between messages to a link that contain facts of one kind, and
	// maxFacts is how many facts a message contains. This limits facts to 8 KB/s of the 20 KB/s
	// that a link may use.
	factsInterval = 500 * time.Millisecond
	maxFacts      = 64
	// maxFirstFacts is how many facts the first message to a link contains: a process that has just
	// started must know them before it sends requests.
	maxFirstFacts = 1024
)

// factsSent is the version up to which a link was sent facts of one kind, and when that was.
type factsSent struct {
	version uint64
	at      time.Time
}

// dueFacts returns the facts of a table that are due to be sent on a link, and records them as
// sent.
func dueFacts[F facts.Fact[F]](table *facts.Table[F], sent *factsSent, now time.Time) []F {
	if table == nil || now.Sub(sent.at) < factsInterval {
		return nil
	}
	limit := maxFacts
	if sent.version == 0 {
		limit = maxFirstFacts
	}
	list, upTo := table.Since(sent.version, limit)
	sent.version = upTo
	if len(list) > 0 {
		sent.at = now
	}
	return list
}

// encodeFacts converts facts to their message form.
func encodeFacts[F, T any](now time.Time, list []F, encode func(time.Time, F) T) []T {
	var encoded []T
	for _, fact := range list {
		encoded = append(encoded, encode(now, fact))
	}
	return encoded
}
