// Package platform is the narrow interface to what the platform gives: a small
// key-value service with compare-and-swap, leases and watches, and a list of
// machines that lags.
//
// The client speaks HTTP and JSON; package memory beside it is the in-memory
// twin for tests. The service is rate-limited, may be down or slow for long,
// and may lose an answer after the change has taken effect.
package platform

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("platform")

// Errors that callers tell apart with errors.Is.
var (
	// ErrUnavailable: the service is down, slow past the deadline, or limits
	// the rate. Nothing is known about the effect of a write.
	ErrUnavailable = errs.New("platform service unavailable")
	// ErrNotFound: the key has no value.
	ErrNotFound = errs.New("key not found")
	// ErrConflict: the revision given is not the current one.
	ErrConflict = errs.New("revision conflict")
)

// Revision orders the writes to the store; zero means that the key is absent.
type Revision uint64

// Entry is one key's value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"` // base64 in JSON
	Revision Revision `json:"revision"`
	// WriteID is the id that the writer gave, to recognize its own write after
	// a lost answer.
	WriteID string `json:"write_id"`
	// Lease is the id of the lease that the key lives under; empty for none.
	Lease string `json:"lease,omitempty"`
}

// Listing is what lies under a prefix.
type Listing struct {
	// Revision is that of the whole store at the time. All changes up to it are
	// in Entries, and a watch from it misses none of the later ones, even where
	// the entries themselves are older than what the service remembers.
	Revision Revision `json:"revision"`
	Entries  []Entry  `json:"entries"` // ordered by key
}

// Event is one change seen by a watch. A deleted or lapsed key has a nil Value.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Write asks for a compare-and-swap.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Expect is the revision that must be current; zero: the key is absent.
	Expect  Revision `json:"expect"`
	WriteID string   `json:"write_id"`
	Lease   string   `json:"lease,omitempty"`
}

// Store is the key-value service.
type Store interface {
	// Get returns ErrNotFound or ErrUnavailable besides the entry.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap returns the new entry, ErrConflict, or ErrUnavailable,
	// after which the change may or may not have taken effect.
	CompareAndSwap(ctx context.Context, write Write) (Entry, error)
	// Delete removes the key if expect is its revision.
	Delete(ctx context.Context, key string, expect Revision) error
	// GrantLease returns the id of a new lease that lapses ttl after its last
	// renewal; its keys are then deleted.
	GrantLease(ctx context.Context, ttl time.Duration) (string, error)
	// RenewLease returns ErrNotFound for a lease that has lapsed.
	RenewLease(ctx context.Context, lease string) error
	// Watch calls handle for every change under prefix after revision from,
	// until ctx ends or the service fails.
	Watch(ctx context.Context, prefix string, from Revision, handle func(Event)) error
}

// MachineState is what the machine list says of a machine.
type MachineState string

// States of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the list. A machine that is gone has no entry.
type Machine struct {
	Address string       `json:"address"` // IP number, without port
	Name    string       `json:"name"`
	Zone    string       `json:"zone"`
	State   MachineState `json:"state"`
}

// MachineRevision names one state of the machine list. Only the platform can
// read it: a service that was started anew must know that a revision is not its
// own, so it is more than a number. It is empty for "none".
type MachineRevision string

// MachineChanges is what has changed on the machine list, or all of it.
type MachineChanges struct {
	// Revision is the state of the list that the changes lead to. A platform
	// that can only answer whole may leave it empty.
	Revision MachineRevision `json:"revision"`
	// Whole says that Machines is the whole list.
	Whole bool `json:"whole,omitempty"`
	// Machines that are new or changed, or all, ordered by address.
	Machines []Machine `json:"machines,omitempty"`
	// Removed are the addresses of machines that left the list.
	Removed []string `json:"removed,omitempty"`
}

// None reports whether nothing has changed.
func (c MachineChanges) None() bool {
	return !c.Whole && len(c.Machines) == 0 && len(c.Removed) == 0
}

// Machines is the list of live and leaving machines. It lags.
type Machines interface {
	// Machines returns the list as the platform last knew it.
	Machines(ctx context.Context) ([]Machine, error)
	// MachineChanges returns what has changed since a revision that it gave
	// before, or the whole list if it does not know that revision any more.
	MachineChanges(ctx context.Context, since MachineRevision) (MachineChanges, error)
}
