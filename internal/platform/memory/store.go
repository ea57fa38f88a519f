// Package memory is the platform's service and machine list in one process's
// memory: the twin of package platform's client for tests, and the core of the
// stand-in that internal/lab/kv serves over HTTP.
//
// Its faults (outage, slow answers, lost answers, rate limit, lag of the
// machine list) can be changed while it runs. It takes the time from package
// time, so that inside a testing/synctest bubble it runs in virtual time.
package memory

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
)

// historyLength is how many changes are kept for watches.
const historyLength = 8192

// Store holds all state. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision platform.Revision
	entries  map[string]platform.Entry
	leases   map[string]*lease
	granted  uint64
	// history of changes in rising order; those up to compacted are forgotten.
	history   []platform.Event
	compacted platform.Revision
	// changed is closed and replaced whenever a watch may have news.
	changed  chan struct{}
	faults   faults
	machines machineList
	counts   Counts
}

var (
	_ platform.Store    = (*Store)(nil)
	_ platform.Machines = (*Store)(nil)
)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		entries: map[string]platform.Entry{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
		// Random text has no "-".
		machines: machineList{run: rand.Text()},
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry platform.Entry
	err := s.call(ctx, readCall, func() error {
		found := false
		entry, found = s.entries[key]
		if !found {
			return fmt.Errorf("%w: %s", platform.ErrNotFound, key)
		}
		entry.Value = slices.Clone(entry.Value)
		return nil
	})
	return entry, err
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	listing := platform.Listing{Entries: []platform.Entry{}}
	err := s.call(ctx, readCall, func() error {
		listing.Revision = s.revision
		for key, entry := range s.entries {
			if strings.HasPrefix(key, prefix) {
				entry.Value = slices.Clone(entry.Value)
				listing.Entries = append(listing.Entries, entry)
			}
		}
		return nil
	})
	if err != nil {
		return platform.Listing{}, err
	}
	slices.SortFunc(listing.Entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

// CompareAndSwap implements platform.Store. A lease that is unknown or has
// lapsed gives ErrNotFound.
func (s *Store) CompareAndSwap(ctx context.Context, write platform.Write) (platform.Entry, error) {
	if err := checkWrite(write); err != nil {
		return platform.Entry{}, err
	}
	var entry platform.Entry
	err := s.call(ctx, writeCall, func() error {
		if write.Lease != "" && s.leases[write.Lease] == nil {
			return fmt.Errorf("%w: lease %s", platform.ErrNotFound, write.Lease)
		}
		if err := s.expect(write.Key, write.Expect); err != nil {
			return err
		}
		entry = s.put(write)
		return nil
	})
	if err != nil {
		return platform.Entry{}, err
	}
	return entry, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expect platform.Revision) error {
	return s.call(ctx, writeCall, func() error {
		if _, found := s.entries[key]; !found {
			return fmt.Errorf("%w: %s", platform.ErrNotFound, key)
		}
		if err := s.expect(key, expect); err != nil {
			return err
		}
		s.remove(key)
		return nil
	})
}

func checkWrite(write platform.Write) error {
	switch {
	case write.Key == "" || len(write.Key) > platform.MaxKeyBytes:
		return fmt.Errorf("%w: key must have 1 to %d bytes", platform.ErrMalformed, platform.MaxKeyBytes)
	case len(write.Value) > platform.MaxValueBytes:
		return fmt.Errorf("%w: value is over %d bytes", platform.ErrMalformed, platform.MaxValueBytes)
	case write.WriteID == "":
		return fmt.Errorf("%w: write_id is missing", platform.ErrMalformed)
	default:
		return nil
	}
}

// expect returns ErrConflict unless the key is at the revision; the caller
// holds the lock.
func (s *Store) expect(key string, revision platform.Revision) error {
	current := s.entries[key].Revision
	if current == revision {
		return nil
	}
	return fmt.Errorf("%w: %s is at %s", platform.ErrConflict, key, formatRevision(current))
}

func formatRevision(revision platform.Revision) string {
	return "revision " + strconv.FormatUint(uint64(revision), 10)
}

func (s *Store) put(write platform.Write) platform.Entry {
	s.revision++
	entry := platform.Entry{
		Key:      write.Key,
		Value:    slices.Clone(write.Value),
		Revision: s.revision,
		WriteID:  write.WriteID,
		Lease:    write.Lease,
	}
	s.entries[write.Key] = entry
	s.record(platform.Event{Entry: entry})
	entry.Value = slices.Clone(entry.Value)
	return entry
}

func (s *Store) remove(key string) {
	s.revision++
	gone := platform.Entry{Key: key, Revision: s.revision}
	delete(s.entries, key)
	s.record(platform.Event{Entry: gone, Deleted: true})
}

// record adds a change to the history and wakes the watches.
func (s *Store) record(event platform.Event) {
	s.history = append(s.history, event)
	if excess := len(s.history) - historyLength; excess > 0 {
		s.compacted = s.history[excess-1].Entry.Revision
		s.history = slices.Delete(s.history, 0, excess)
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// callKind says whether a call has an effect whose answer can be lost.
type callKind int

const (
	readCall callKind = iota
	writeCall
)

// call runs operation under the lock, with the faults that are set.
func (s *Store) call(ctx context.Context, kind callKind, operation func() error) error {
	delay, err := s.admit(ctx)
	if err != nil {
		return err
	}
	if err := pause(ctx, delay/2); err != nil {
		return err
	}
	lost, err := s.apply(kind, operation)
	if err != nil {
		return err
	}
	if lost {
		return ErrAnswerLost
	}
	// The second half comes after the effect, so that a caller that gives up
	// in between does not learn of it.
	return pause(ctx, delay-delay/2)
}

func (s *Store) apply(kind callKind, operation func() error) (lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lapseLeases(now)
	if s.faults.isDown(now) { // the outage began during the delay
		return false, s.refuse()
	}
	if err := operation(); err != nil {
		return false, err
	}
	if kind == writeCall {
		s.counts.Writes++
		lost = s.faults.loses()
	}
	if lost {
		s.counts.AnswersLost++
	}
	return lost, nil
}

// pause waits, and returns ErrUnavailable if ctx ends first.
func pause(ctx context.Context, length time.Duration) error {
	if err := ctx.Err(); err != nil {
		return unavailable(err)
	}
	if length <= 0 {
		return nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return unavailable(ctx.Err())
	case <-timer.C:
		return nil
	}
}

func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}
