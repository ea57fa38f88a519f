// Package memory simulates the key-value service in memory, with the faults of a real one: outages,
// lost responses, changes that are applied late, watches that never return, discarded history, and
// leases that expire during an outage.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/coord"
)

// ErrDown is returned for a call that got no response.
var ErrDown = errs.New("the store does not answer")

// Store is a simulated key-value service. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision coord.Revision
	items    map[string]coord.Item
	history  []coord.Event
	// discardedUpTo is the revision up to which the history is discarded.
	discardedUpTo coord.Revision
	leases        map[coord.LeaseID]*lease
	lastLease     coord.LeaseID
	changed       chan struct{}
	down          bool
	watchesSilent bool
	loseCount     int
	applyDelay    time.Duration
	// Calls counts the received calls by name.
	Calls map[string]int
	// PageItems is the maximum number of items in a page of a list. With zero, a page has all items.
	PageItems int
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items: map[string]coord.Item{}, leases: map[coord.LeaseID]*lease{},
		changed: make(chan struct{}), Calls: map[string]int{},
	}
}

// SetDown sets whether the store leaves calls unanswered. Leases still expire during an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetWatchesSilent sets whether watches receive no changes. A watch that begins or would receive a
// change in this state never returns a result, even after the state has ended.
func (s *Store) SetWatchesSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesSilent = silent
}

// LoseAnswers drops the responses to the next count commits. If delay is not zero, the commits are
// applied after that delay, provided that their conditions still hold.
func (s *Store) LoseAnswers(count int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseCount, s.applyDelay = count, delay
}

// ForgetHistory discards the history of changes.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.discardedUpTo = nil, s.revision
}

// beginCall counts a call. If the store is down, it blocks until ctx ends. The caller holds mu.
func (s *Store) beginCall(ctx context.Context, name string) error {
	s.Calls[name]++
	if !s.down {
		return nil
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	return ErrDown
}

// Get implements coord.Store.
func (s *Store) Get(ctx context.Context, key string) (coord.Item, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx, "get"); err != nil {
		return coord.Item{}, false, err
	}
	item, found := s.items[key]
	return item, found, nil
}

// ListPage implements coord.Store.
func (s *Store) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx, "list"); err != nil {
		return coord.Page{}, err
	}
	page := coord.Page{At: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if s.PageItems > 0 && len(page.Items) > s.PageItems {
		page.Items, page.More = page.Items[:s.PageItems], true
	}
	return page, nil
}

// Watch implements coord.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after coord.Revision, wait time.Duration) ([]coord.Event, coord.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if s.watchesSilent || s.down {
			s.mu.Unlock()
			<-ctx.Done()
			s.mu.Lock()
			return nil, 0, ErrDown
		}
		if after < s.discardedUpTo {
			return nil, 0, coord.ErrNoHistory
		}
		if events := s.eventsAfter(prefix, after); len(events) > 0 {
			return events, s.revision, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			return nil, s.revision, nil
		case <-ctx.Done():
			s.mu.Lock()
			return nil, 0, ctx.Err()
		}
		s.mu.Lock()
	}
}

func (s *Store) eventsAfter(prefix string, after coord.Revision) []coord.Event {
	var events []coord.Event
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// Commit implements coord.Store.
func (s *Store) Commit(ctx context.Context, txn coord.Txn) (coord.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx, "commit"); err != nil {
		return 0, err
	}
	if s.loseCount > 0 {
		s.loseCount--
		if s.applyDelay > 0 {
			time.AfterFunc(s.applyDelay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				_, _ = s.apply(txn)
			})
		} else {
			_, _ = s.apply(txn)
		}
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return 0, ErrDown
	}
	return s.apply(txn)
}

// apply applies a transaction. The caller holds mu.
func (s *Store) apply(txn coord.Txn) (coord.Revision, error) {
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			return 0, coord.ErrConflict
		}
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return 0, coord.ErrNoLease
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		item := coord.Item{Key: put.Key, Value: put.Value, Revision: s.revision, Lease: put.Lease}
		s.items[put.Key] = item
		s.history = append(s.history, coord.Event{Item: item})
	}
	for _, key := range txn.Removes {
		s.remove(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, coord.Event{Item: coord.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// GrantLease implements coord.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (coord.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx, "lease"); err != nil {
		return 0, 0, err
	}
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id, ttl, nil
}

// KeepLease implements coord.Store.
func (s *Store) KeepLease(ctx context.Context, id coord.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx, "keep"); err != nil {
		return err
	}
	kept := s.leases[id]
	if kept == nil {
		return coord.ErrNoLease
	}
	kept.timer.Reset(kept.ttl)
	return nil
}

// EndLease implements coord.Store.
func (s *Store) EndLease(ctx context.Context, id coord.LeaseID) error {
	s.mu.Lock()
	if err := s.beginCall(ctx, "end"); err != nil {
		s.mu.Unlock()
		return err
	}
	s.mu.Unlock()
	s.endLease(id)
	return nil
}

func (s *Store) endLease(id coord.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.leases[id]
	if ended == nil {
		return
	}
	ended.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}
