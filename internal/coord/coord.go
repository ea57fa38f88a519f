// Package coord is the narrow interface to the key-value service that keeps
// what must last: versioned items, watches by revision, transactions under a
// condition, and leases.
//
// Implementations: platform/ speaks to a real service, coord/memory is a twin
// in memory for tests.
package coord

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Revision counts the changes of the whole service. Zero stands for "absent"
// in a condition.
type Revision int64

// LeaseID names a lease. Zero: none.
type LeaseID int64

// Item is one key with its value as it was last written.
type Item struct {
	Key string
	// Value is any bytes.
	Value []byte
	// Revision of the last change.
	Revision Revision
	// Lease that the item ends with, or zero.
	Lease LeaseID
}

// Event is one change of an item.
type Event struct {
	Item
	// Deleted says that the item is gone; Value is then empty.
	Deleted bool
}

// Condition demands that a key has a revision; zero: that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a change that is done whole if all conditions hold, else not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Errors of a store. Any other error of a changing call leaves its outcome
// unknown: it may have been done, or may be done seconds later.
var (
	// ErrConflict: a condition of the transaction does not hold.
	ErrConflict = errs.New("a condition of the transaction does not hold")
	// ErrNoHistory: the events after the asked revision are no longer kept.
	ErrNoHistory = errs.New("the history is gone")
	// ErrNoLease: the lease is over.
	ErrNoLease = errs.New("the lease is over")
	// ErrRefused: the service refused the call and did nothing.
	ErrRefused = errs.New("the service refused the call")
)

// Page is a part of the items under a prefix.
type Page struct {
	// Items in the order of their keys.
	Items []Item
	// At is the revision of the service at which the page was read.
	At Revision
	// More says that items follow; the next page begins after the last key of this one.
	More bool
}

// Store is the key-value service.
type Store interface {
	// Get returns an item; found is false if there is none.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// ListPage returns the items under a prefix whose keys come after one; empty: from the
	// first. Pages are no snapshot (see List).
	ListPage(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits at most wait for changes under a prefix after a revision. The
	// next watch goes on from at. ErrNoHistory: list anew.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (events []Event, at Revision, err error)
	// Commit does a transaction.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease opens a lease, which counts from the arrival of the call, and
	// returns the time that holds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepLease renews a lease from the arrival of the call.
	KeepLease(ctx context.Context, lease LeaseID) error
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, lease LeaseID) error
}

// List returns all items under a prefix, and the revision to watch from: that of the first page,
// since what changed while the others were read is told by the changes after it.
func List(ctx context.Context, store Store, prefix string) ([]Item, Revision, error) {
	var reading PartialList
	for !reading.Done {
		page, err := store.ListPage(ctx, prefix, reading.After)
		if err != nil {
			return nil, 0, err
		}
		reading.Add(page)
	}
	return reading.Items, reading.At, nil
}

// Reading is a list of which some pages were read. The zero value has none. It goes on after a
// page that failed, so that a list that takes long is not begun again.
type PartialList struct {
	Items []Item
	// At is the revision of the first page, and After is where the next one begins.
	At    Revision
	After string
	// Done says that there are no more pages.
	Done bool
}

// Add takes the next page.
func (r *PartialList) Add(page Page) {
	if r.After == "" {
		r.At = page.At
	}
	r.Items = append(r.Items, page.Items...)
	if len(page.Items) > 0 {
		r.After = page.Items[len(page.Items)-1].Key
	}
	r.Done = !page.More || len(page.Items) == 0
}
