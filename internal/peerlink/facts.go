package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/facts"
)

const (
	// factsInterval is the pause between messages to a link that tell facts of one kind, and maxFacts is
	// how many one tells: 8 KB a second at most, of the 20 KB that a link may take.
	factsInterval = 500 * time.Millisecond
	maxFacts      = 64
	// maxFirstFacts is how many the first message to a link tells: a process that has just started
	// is to know them before it sends anything.
	maxFirstFacts = 1024
)

// factsSent is what a link was told of facts of one kind: up to which version, and when.
type factsSent struct {
	version uint64
	at      time.Time
}

// factsFor returns what a link is to be told of a book now, and notes that it is.
func factsFor[F facts.Fact[F]](book *facts.Book[F], sent *factsSent, now time.Time) []F {
	if book == nil || now.Sub(sent.at) < factsInterval {
		return nil
	}
	limit := maxFacts
	if sent.version == 0 {
		limit = maxFirstFacts
	}
	list, upTo := book.Since(sent.version, limit)
	sent.version = upTo
	if len(list) > 0 {
		sent.at = now
	}
	return list
}

// encodeFacts describes facts.
func encodeFacts[F, T any](now time.Time, list []F, encode func(time.Time, F) T) []T {
	var encoded []T
	for _, fact := range list {
		encoded = append(encoded, encode(now, fact))
	}
	return encoded
}
