// Package coord is a narrow interface to the key-value service that stores persistent state:
// versioned items, watches by revision, conditional transactions, and leases.
//
// Package platform implements it for a real service, coord/memory in memory for tests.
package coord

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Revision counts the changes of the whole service. In a condition, zero means that the key does not
// exist.
type Revision int64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Item is a key with its last written value.
type Item struct {
	Key string
	// Value is an arbitrary byte string.
	Value []byte
	// Revision is the revision of the last change.
	Revision Revision
	// Lease is the lease with which the item expires, or zero.
	Lease LeaseID
}

// Event is one change of an item.
type Event struct {
	Item
	// Deleted is true if the item was deleted. Value is then empty.
	Deleted bool
}

// Condition requires that a key has a revision, or with zero that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is the write of one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: all of its changes are applied if all conditions hold, otherwise none.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Errors of a store. After any other error of a call that changes data, the outcome is unknown: the
// change may have been applied, or may be applied seconds later.
var (
	// ErrConflict means that a condition of the transaction does not hold.
	ErrConflict = errs.New("a condition of the transaction does not hold")
	// ErrNoHistory means that the events after the requested revision are no longer kept.
	ErrNoHistory = errs.New("the events after the requested revision are no longer kept")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errs.New("the lease has ended")
	// ErrRefused means that the service refused the call and changed nothing.
	ErrRefused = errs.New("the service refused the call")
)

// Page is a part of the items under a prefix.
type Page struct {
	// Items are sorted by key.
	Items []Item
	// At is the revision of the service at which the page was read.
	At Revision
	// More is true if further items follow; the next page begins after the last key of this one.
	More bool
}

// Store is the key-value service.
type Store interface {
	// Get returns an item; found is false if there is none.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// ListPage returns a page of the items under a prefix whose keys follow after, or from the first
	// key if after is empty. Several pages do not form a snapshot (see List).
	ListPage(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits at most wait for changes under a prefix after a revision. The next watch continues
	// from at. After ErrNoHistory the items must be listed again.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (events []Event, at Revision, err error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease creates a lease, whose time counts from the arrival of the call, and returns the
	// TTL that applies.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepLease renews a lease from the arrival of the call.
	KeepLease(ctx context.Context, lease LeaseID) error
	// EndLease ends a lease and deletes its keys.
	EndLease(ctx context.Context, lease LeaseID) error
}

// List returns all items under a prefix, and the revision to watch from. That is the revision of the
// first page: watching from it returns all changes made while the other pages were read.
func List(ctx context.Context, store Store, prefix string) ([]Item, Revision, error) {
	var list PartialList
	for !list.Done {
		page, err := store.ListPage(ctx, prefix, list.After)
		if err != nil {
			return nil, 0, err
		}
		list.Add(page)
	}
	return list.Items, list.At, nil
}

// PartialList is a list of which some pages were read. The zero value has none. After a failed page,
// reading continues with that page, so that a long list is not restarted.
type PartialList struct {
	Items []Item
	// At is the revision of the first page. The next page begins after the key After.
	At    Revision
	After string
	// Done is true if there are no more pages.
	Done bool
}

// Add appends the next page.
func (l *PartialList) Add(page Page) {
	if l.After == "" {
		l.At = page.At
	}
	l.Items = append(l.Items, page.Items...)
	if len(page.Items) > 0 {
		l.After = page.Items[len(page.Items)-1].Key
	}
	l.Done = !page.More || len(page.Items) == 0
}
