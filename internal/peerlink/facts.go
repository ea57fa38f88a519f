package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/facts"
)

const (
	// factsPause is the pause between messages to a link that tell facts of one kind, and mostFacts is
	// how many one tells: 8 KB a second at most, of the 20 KB that a link may take.
	factsPause = 500 * time.Millisecond
	mostFacts  = 64
	// mostFirstFacts is how many the first message to a link tells: a process that has just started
	// is to know them before it sends anything.
	mostFirstFacts = 1024
)

// factsTold is what a link was told of facts of one kind: up to which version, and when.
type factsTold struct {
	version uint64
	at      time.Time
}

// factsFor returns what a link is to be told of a book now, and notes that it is.
func factsFor[F facts.Fact[F]](book *facts.Table[F], told *factsTold, now time.Time) []F {
	if book == nil || now.Sub(told.at) < factsPause {
		return nil
	}
	most := mostFacts
	if told.version == 0 {
		most = mostFirstFacts
	}
	list, upTo := book.Since(told.version, most)
	told.version = upTo
	if len(list) > 0 {
		told.at = now
	}
	return list
}

// tellAll describes facts.
func tellAll[F, T any](now time.Time, list []F, tell func(time.Time, F) T) []T {
	var told []T
	for _, fact := range list {
		told = append(told, tell(now, fact))
	}
	return told
}
