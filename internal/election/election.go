// Package election elects one process as the leader by a lease in the key-value service. Leaders are
// numbered by terms.
//
// The authority of a tenure is computed as if the last renewal that was answered had arrived at the
// moment it was sent, so that the authority never outlasts the lease.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/owner"
)

// Error is the class of errors of this package.
var Error = errs.Class("election")

// ErrOtherLeader is returned if another process leads.
var ErrOtherLeader = errs.New("another process leads")

// Intervals and timeouts of the lease.
const (
	// LeaseTTL is how long the lease lasts without renewal, unless the service grants only longer
	// leases.
	LeaseTTL = 1500 * time.Millisecond
	// renewInterval is the interval between renewals. A renewal does not wait for the previous one.
	renewInterval = 400 * time.Millisecond
	// authorityMargin is how long before the end of the lease the authority ends.
	authorityMargin = 150 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 1200 * time.Millisecond
	// watchTimeout is the duration of one watch for a change of the leader. retryDelay is the delay
	// after a failed watch, maxRetryDelay the longest delay after repeated failures.
	watchTimeout  = 700 * time.Millisecond
	retryDelay    = 300 * time.Millisecond
	maxRetryDelay = time.Second
)

// Leader is the leader as stored in the key-value service.
type Leader struct {
	// Address is the address of its peer port.
	Address string `json:"address"`
	// Process is an ID unique to one run of the leading process.
	Process string `json:"process"`
	// Nonce is unique to the campaign that won.
	Nonce string     `json:"nonce"`
	Term  owner.Term `json:"term"`
	// Revision is the revision of the leader key.
	Revision coord.Revision `json:"-"`
}

// Election is the election of the leader of one cell.
type Election struct {
	store   coord.Store
	prefix  string
	address string
	process string
	nonce   func() string
	// TTL is how long the lease lasts without renewal.
	TTL time.Duration
}

// New returns an election whose keys are stored under prefix, for a process with the given peer
// address. process is an ID unique to one run of the process, and nonce returns a unique string.
func New(store coord.Store, prefix, address, process string, nonce func() string) *Election {
	return &Election{store: store, prefix: prefix, address: address, process: process, nonce: nonce, TTL: LeaseTTL}
}

// LeaderKey returns the key under which the leader is stored.
func (e *Election) LeaderKey() string { return e.prefix + "leader" }

func (e *Election) termKey() string { return e.prefix + "term" }

// CurrentLeader returns the leader; false if there is none.
func (e *Election) CurrentLeader(ctx context.Context) (Leader, bool, error) {
	item, found, err := e.store.Get(ctx, e.LeaderKey())
	if err != nil || !found {
		return Leader{}, false, err
	}
	leader, err := decode(item)
	return leader, err == nil, err
}

func decode(item coord.Item) (Leader, error) {
	leader := Leader{Revision: item.Revision}
	err := json.Unmarshal(item.Value, &leader)
	return leader, Error.Wrap(err)
}

// AwaitLeaderChange waits until the leader key differs from the given leader's; false if ctx ends
// first. It uses short watches, since a watch that the service dropped without notice reports no
// change.
func (e *Election) AwaitLeaderChange(ctx context.Context, leader Leader) bool {
	backoff := clock.Backoff{Initial: retryDelay, Max: maxRetryDelay}
	after := leader.Revision
	for ctx.Err() == nil {
		changed, at, err := e.watchLeader(ctx, leader, after)
		switch {
		case err != nil:
			backoff.Sleep(ctx)
		case changed:
			return true
		default:
			backoff.Reset()
			after = at
		}
	}
	return false
}

// watchLeader watches the leader key for a short time and reports whether it changed after a
// revision. If not, at is the revision up to which it is unchanged.
func (e *Election) watchLeader(ctx context.Context, leader Leader, after coord.Revision) (changed bool, at coord.Revision, err error) {
	bounded, cancel := context.WithTimeout(ctx, watchTimeout+retryDelay)
	defer cancel()
	events, at, err := e.store.Watch(bounded, e.LeaderKey(), after, watchTimeout)
	if !errors.Is(err, coord.ErrNoHistory) {
		return len(events) > 0, at, err
	}
	// The service no longer keeps the changes after that revision. The revision of the key shows
	// whether it was changed.
	items, at, err := coord.List(bounded, e.store, e.LeaderKey())
	unchanged := slices.ContainsFunc(items, func(item coord.Item) bool { return item.Revision == leader.Revision })
	return !unchanged, at, err
}

// Campaign tries once to become the leader. replace is the revision of the leader key that may be
// replaced; with zero, the key must not exist. The error is ErrOtherLeader if another process leads.
func (e *Election) Campaign(ctx context.Context, replace coord.Revision) (*Tenure, error) {
	term, termRevision, err := e.term(ctx)
	if err != nil {
		return nil, err
	}
	previous, renewersRevision, err := e.renewers(ctx)
	if err != nil {
		return nil, err
	}
	sent := clock.Now()
	lease, ttl, err := e.store.GrantLease(ctx, e.TTL)
	if err != nil {
		return nil, err
	}
	leader := Leader{Address: e.address, Process: e.process, Nonce: e.nonce(), Term: term + 1}
	value, err := json.Marshal(leader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	complete := term == 0 || len(previous) > 0
	leader.Revision, err = e.store.Commit(ctx, coord.Txn{
		Conditions: []coord.Condition{
			{Key: e.LeaderKey(), Revision: replace}, {Key: e.termKey(), Revision: termRevision},
			{Key: e.renewersKey(), Revision: renewersRevision},
		},
		Puts: []coord.Put{
			{Key: e.LeaderKey(), Value: value, Lease: lease},
			{Key: e.termKey(), Value: []byte(strconv.FormatInt(int64(leader.Term), 10))},
			{Key: e.renewersKey(), Value: encodeRenewers(withLeader(previous, leader, complete))},
		},
	})
	if err != nil && !e.resolveCommit(ctx, err, &leader) {
		_ = e.store.EndLease(ctx, lease)
		return nil, campaignError(err)
	}
	tenure := newTenure(e.store, leader, lease, ttl, sent)
	tenure.PreviousRenewers, tenure.RenewersComplete = previous, complete
	tenure.renewersKey, tenure.leaderKey = e.renewersKey(), e.LeaderKey()
	tenure.renewersRevision = leader.Revision
	return tenure, nil
}

// resolveCommit finds out whether a commit with an unknown outcome was applied.
func (e *Election) resolveCommit(ctx context.Context, err error, candidate *Leader) bool {
	if errors.Is(err, coord.ErrConflict) || errors.Is(err, coord.ErrRefused) || errors.Is(err, coord.ErrNoLease) {
		return false
	}
	leader, found, err := e.CurrentLeader(ctx)
	if err != nil || !found || leader.Nonce != candidate.Nonce {
		return false
	}
	candidate.Revision = leader.Revision
	return true
}

func campaignError(err error) error {
	if errors.Is(err, coord.ErrConflict) {
		return ErrOtherLeader
	}
	return err
}

func (e *Election) term(ctx context.Context) (owner.Term, coord.Revision, error) {
	item, found, err := e.store.Get(ctx, e.termKey())
	if err != nil || !found {
		return 0, 0, err
	}
	term, err := strconv.ParseInt(string(item.Value), 10, 64)
	return owner.Term(term), item.Revision, Error.Wrap(err)
}

// Tenure is the time during which one process is the leader. It is safe for concurrent use, except
// for StoreRenewers.
type Tenure struct {
	Leader Leader
	// PreviousRenewers are the processes that may still renew holds granted by earlier leaders.
	PreviousRenewers []Renewer
	// RenewersComplete is false if the stored list was missing or could not be decoded, though there were
	// earlier leaders: then processes that PreviousRenewers lack may still renew holds.
	RenewersComplete       bool
	renewersKey, leaderKey string
	// renewersRevision is the revision of the stored list of renewers. It is used by one call at a
	// time.
	renewersRevision coord.Revision
	store            coord.Store
	lease            coord.LeaseID
	ttl              time.Duration

	mu             sync.Mutex
	authorityUntil time.Time
	// lastContact is when the last lease call that was answered was sent.
	lastContact time.Time
	ended       bool
	done        chan struct{}
}

func newTenure(store coord.Store, leader Leader, lease coord.LeaseID, ttl time.Duration, sent time.Time) *Tenure {
	return &Tenure{
		Leader: leader, store: store, lease: lease, ttl: ttl,
		authorityUntil: sent.Add(ttl - authorityMargin), lastContact: sent, done: make(chan struct{}),
	}
}

// AuthorityUntil returns when the authority of the tenure ends unless the lease is renewed.
func (t *Tenure) AuthorityUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.authorityUntil
}

// LastContact returns when the last lease call that the service answered was sent.
func (t *Tenure) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact
}

// Ended returns a channel that is closed once the service reports that the lease has expired, or the
// process resigns.
func (t *Tenure) Ended() <-chan struct{} { return t.done }

// KeepAlive renews the lease until ctx ends or the tenure has ended.
func (t *Tenure) KeepAlive(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.done:
			return
		case <-ticker.C:
			go t.renew(ctx)
		}
	}
}

func (t *Tenure) renew(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := clock.Now()
	err := t.store.KeepLease(bounded, t.lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.lastContact = sent
		if until := sent.Add(t.ttl - authorityMargin); until.After(t.authorityUntil) {
			t.authorityUntil = until
		}
	case errors.Is(err, coord.ErrNoLease) && !t.ended:
		t.ended = true
		t.authorityUntil = time.Time{}
		close(t.done)
	}
}

// Resign ends the tenure, so that another process can lead at once.
func (t *Tenure) Resign(ctx context.Context) {
	t.mu.Lock()
	t.authorityUntil = time.Time{}
	if !t.ended {
		t.ended = true
		close(t.done)
	}
	t.mu.Unlock()
	_ = t.store.EndLease(ctx, t.lease)
}
