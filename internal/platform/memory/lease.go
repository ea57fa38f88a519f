package memory

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
)

// lease lets its keys live until end.
type lease struct {
	ttl time.Duration
	end time.Time
	// timer lapses the lease even if nobody calls, so that watches see it.
	timer *time.Timer
}

// GrantLease implements platform.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (string, error) {
	if ttl <= 0 {
		return "", fmt.Errorf("%w: the TTL must be above zero", platform.ErrMalformed)
	}
	var id string
	err := s.call(ctx, writeCall, func() error {
		s.granted++
		id = "lease-" + strconv.FormatUint(s.granted, 10)
		s.leases[id] = &lease{
			ttl:   ttl,
			end:   time.Now().Add(ttl),
			timer: time.AfterFunc(ttl, s.lapse),
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// RenewLease implements platform.Store.
func (s *Store) RenewLease(ctx context.Context, id string) error {
	return s.call(ctx, writeCall, func() error {
		held := s.leases[id]
		if held == nil {
			return fmt.Errorf("%w: lease %s", platform.ErrNotFound, id)
		}
		held.end = time.Now().Add(held.ttl)
		held.timer.Reset(held.ttl)
		return nil
	})
}

// lapse ends the leases that are due.
func (s *Store) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapseLeases(time.Now())
}

// lapseLeases ends the leases that are due at now and deletes their keys, in
// the order of their ids; the caller holds the lock.
func (s *Store) lapseLeases(now time.Time) {
	var due []string
	for id, held := range s.leases {
		if !now.Before(held.end) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		s.leases[id].timer.Stop()
		delete(s.leases, id)
		s.removeKeysOf(id)
	}
}

func (s *Store) removeKeysOf(id string) {
	var keys []string
	for key, entry := range s.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
}
