// Package memory is a twin in memory of the key-value service, with the faults
// that a real one has: outages, answers that are lost, changes that are done
// late, watches that are lost unseen, history that is forgotten, and leases that
// wait or run out meanwhile.
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

// ErrDown: the call had no answer.
var ErrDown = errs.New("the store does not answer")

// Store is the twin. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision coord.Revision
	items    map[string]coord.Item
	history  []coord.Event
	// oldest is the revision up to which the history is forgotten.
	oldest   coord.Revision
	leases   map[coord.LeaseID]*lease
	next     coord.LeaseID
	changed  chan struct{}
	down     bool
	deaf     bool
	loseNext int
	lateBy   time.Duration
	// Calls counts the calls that arrived, by name.
	Calls map[string]int
	// PageItems is how many items a page of a list has; zero: all.
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

// SetDown makes the store silent, or lets it answer again. Leases run on.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDeaf makes watches hear nothing until it is lifted; a watch that waits
// meanwhile never answers.
func (s *Store) SetWatchesSilent(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// LoseAnswers loses the answers of the next changes. With lateBy they are done
// that much later, if their conditions still hold.
func (s *Store) LoseAnswers(count int, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext, s.lateBy = count, lateBy
}

// Forget drops the history.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

// arrive counts a call and waits for ever, or until ctx ends, if the store is
// down. The caller holds mu.
func (s *Store) arrive(ctx context.Context, name string) error {
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
	if err := s.arrive(ctx, "get"); err != nil {
		return coord.Item{}, false, err
	}
	item, found := s.items[key]
	return item, found, nil
}

// ListPage implements coord.Store.
func (s *Store) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.arrive(ctx, "list"); err != nil {
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
	if err := s.arrive(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if s.deaf || s.down {
			s.mu.Unlock()
			<-ctx.Done()
			s.mu.Lock()
			return nil, 0, ErrDown
		}
		if after < s.oldest {
			return nil, 0, coord.ErrNoHistory
		}
		if events := s.since(prefix, after); len(events) > 0 {
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

func (s *Store) since(prefix string, after coord.Revision) []coord.Event {
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
	if err := s.arrive(ctx, "commit"); err != nil {
		return 0, err
	}
	if s.loseNext > 0 {
		s.loseNext--
		if s.lateBy > 0 {
			time.AfterFunc(s.lateBy, func() {
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

// apply does a transaction. The caller holds mu.
func (s *Store) apply(txn coord.Txn) (coord.Revision, error) {
	for _, demanded := range txn.Conditions {
		if s.items[demanded.Key].Revision != demanded.Revision {
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
	s.wake()
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, coord.Event{Item: coord.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// GrantLease implements coord.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (coord.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.arrive(ctx, "lease"); err != nil {
		return 0, 0, err
	}
	s.next++
	id := s.next
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.end(id) })}
	return id, ttl, nil
}

// KeepLease implements coord.Store.
func (s *Store) KeepLease(ctx context.Context, id coord.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.arrive(ctx, "keep"); err != nil {
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
	if err := s.arrive(ctx, "end"); err != nil {
		s.mu.Unlock()
		return err
	}
	s.mu.Unlock()
	s.end(id)
	return nil
}

func (s *Store) end(id coord.LeaseID) {
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
	s.wake()
}
