package memory

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
)

// Watch implements platform.Store. It returns ErrCompacted if changes after
// from are no longer kept, and ErrUnavailable when an outage begins or ctx
// ends.
func (s *Store) Watch(ctx context.Context, prefix string, from platform.Revision, handle func(platform.Event)) error {
	if _, err := s.admit(ctx); err != nil {
		return err
	}
	for {
		news, err := s.newsAfter(prefix, from)
		if err != nil {
			return err
		}
		for _, event := range news.events {
			handle(event)
		}
		from = news.upTo
		select {
		case <-ctx.Done():
			return unavailable(ctx.Err())
		case <-news.changed:
		}
	}
}

// news is what a watch has not handled yet.
type news struct {
	events []platform.Event
	// upTo is the revision from which to ask for the next news.
	upTo platform.Revision
	// changed is closed when there may be more.
	changed <-chan struct{}
}

func (s *Store) newsAfter(prefix string, from platform.Revision) (news, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.isDown(time.Now()) {
		return news{}, s.refuse()
	}
	if from < s.compacted {
		return news{}, fmt.Errorf("%w: %s", platform.ErrCompacted, formatRevision(from))
	}
	found := news{upTo: max(from, s.revision), changed: s.changed}
	for _, event := range s.history[s.firstAfter(from):] {
		if strings.HasPrefix(event.Entry.Key, prefix) {
			event.Entry.Value = slices.Clone(event.Entry.Value)
			found.events = append(found.events, event)
		}
	}
	return found, nil
}

// firstAfter returns the index in the history of the first change after from.
func (s *Store) firstAfter(from platform.Revision) int {
	index, _ := slices.BinarySearchFunc(s.history, from+1, func(event platform.Event, revision platform.Revision) int {
		return cmp.Compare(event.Entry.Revision, revision)
	})
	return index
}
