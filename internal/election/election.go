// Package election makes one process the leader, by a lease in the key-value
// service, and numbers the leaders by terms.
//
// A tenure is trusted only until its lease would have ended had the last renewal
// that was answered arrived the moment it was sent.
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

// ErrOtherLeader: another process leads.
var ErrOtherLeader = errs.New("another process leads")

// Times of the lease.
const (
	// LeaseTTL is how long the lease lasts without renewal, unless the service
	// takes only longer ones.
	LeaseTTL = 1500 * time.Millisecond
	// renewEvery is the pause between renewals, which do not wait for one another.
	renewEvery = 400 * time.Millisecond
	// authorityMargin is kept from the end of the lease.
	authorityMargin = 150 * time.Millisecond
	// callTimeout bounds one renewal.
	callTimeout = 1200 * time.Millisecond
	// anotherWait is how long one wait for another leader lasts, and anotherPause is
	// the pause after one that failed, longestPause after many.
	anotherWait  = 700 * time.Millisecond
	anotherPause = 300 * time.Millisecond
	longestPause = time.Second
)

// Leader is what the service says of the leader.
type Leader struct {
	// Address of its peer port.
	Address string `json:"address"`
	// Process is unique to the life of the process that leads.
	Process string `json:"process"`
	// Nonce is unique to the attempt that won.
	Nonce string     `json:"nonce"`
	Term  owner.Term `json:"term"`
	// Revision of the leader's key.
	Revision coord.Revision `json:"-"`
}

// Election is one cell's election.
type Election struct {
	store   coord.Store
	prefix  string
	address string
	process string
	nonce   func() string
	// TTL is how long the lease lasts without renewal.
	TTL time.Duration
}

// New returns an election whose keys stand under a prefix, for a process with
// the given peer address and a name that is unique to its life. nonce returns a
// text that is never used twice.
func New(store coord.Store, prefix, address, process string, nonce func() string) *Election {
	return &Election{store: store, prefix: prefix, address: address, process: process, nonce: nonce, TTL: LeaseTTL}
}

// LeaderKey is the key that names the leader.
func (e *Election) LeaderKey() string { return e.prefix + "leader" }

func (e *Election) termKey() string { return e.prefix + "term" }

// Look returns the leader; false if there is none.
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

// AwaitAnother waits until the service no longer names a leader; false if ctx ends
// first. Waits are short: a watch that the service has lost unseen tells nothing.
func (e *Election) AwaitLeaderChange(ctx context.Context, leader Leader) bool {
	backoff := clock.Backoff{First: anotherPause, Longest: longestPause}
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

// watchLeader waits a moment for a change of the leader's key after a revision, and
// returns the revision up to which there was none.
func (e *Election) watchLeader(ctx context.Context, leader Leader, after coord.Revision) (changed bool, at coord.Revision, err error) {
	bounded, cancel := context.WithTimeout(ctx, anotherWait+anotherPause)
	defer cancel()
	events, at, err := e.store.Watch(bounded, e.LeaderKey(), after, anotherWait)
	if !errors.Is(err, coord.ErrNoHistory) {
		return len(events) > 0, at, err
	}
	// The service no longer keeps what happened after that revision: the key itself
	// shows whether it was changed.
	items, at, err := coord.List(bounded, e.store, e.LeaderKey())
	unchanged := slices.ContainsFunc(items, func(one coord.Item) bool { return one.Revision == leader.Revision })
	return !unchanged, at, err
}

// Campaign tries once to become the leader. replace is the revision of the
// leader's key that may be replaced; zero: there must be none. The error is
// ErrOtherLeader if another process leads.
func (e *Election) Campaign(ctx context.Context, replace coord.Revision) (*Tenure, error) {
	term, termRevision, err := e.term(ctx)
	if err != nil {
		return nil, err
	}
	before, beforeRevision, err := e.renewers(ctx)
	if err != nil {
		return nil, err
	}
	sent := clock.Now()
	lease, ttl, err := e.store.GrantLease(ctx, e.TTL)
	if err != nil {
		return nil, err
	}
	won := Leader{Address: e.address, Process: e.process, Nonce: e.nonce(), Term: term + 1}
	value, err := json.Marshal(won)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	won.Revision, err = e.store.Commit(ctx, coord.Txn{
		Conditions: []coord.Condition{
			{Key: e.LeaderKey(), Revision: replace}, {Key: e.termKey(), Revision: termRevision},
			{Key: e.renewersKey(), Revision: beforeRevision},
		},
		Puts: []coord.Put{
			{Key: e.LeaderKey(), Value: value, Lease: lease},
			{Key: e.termKey(), Value: []byte(strconv.FormatInt(int64(won.Term), 10))},
			{Key: e.renewersKey(), Value: encodeRenewers(append(before, Renewer{Address: e.address, Process: e.process}))},
		},
	})
	if err != nil && !e.wonAnyway(ctx, err, &won) {
		_ = e.store.EndLease(ctx, lease)
		return nil, lost(err)
	}
	tenure := newTenure(e.store, won, lease, ttl, sent)
	tenure.PreviousRenewers = before
	tenure.renewersKey, tenure.leaderKey = e.renewersKey(), e.LeaderKey()
	tenure.renewersRevision = won.Revision
	return tenure, nil
}

// wonAnyway resolves a commit whose outcome is unknown.
func (e *Election) wonAnyway(ctx context.Context, err error, won *Leader) bool {
	if errors.Is(err, coord.ErrConflict) || errors.Is(err, coord.ErrRefused) || errors.Is(err, coord.ErrNoLease) {
		return false
	}
	leader, found, err := e.CurrentLeader(ctx)
	if err != nil || !found || leader.Nonce != won.Nonce {
		return false
	}
	won.Revision = leader.Revision
	return true
}

func lost(err error) error {
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

// Tenure is one process's time as the leader. It is safe for concurrent use.
type Tenure struct {
	Leader Leader
	// Before are the processes that may still renew what earlier leaders gave.
	PreviousRenewers       []Renewer
	renewersKey, leaderKey string
	// renewersRevision is that of the record of renewers. One call at a time uses it.
	renewersRevision coord.Revision
	store            coord.Store
	lease            coord.LeaseID
	ttl              time.Duration

	mu    sync.Mutex
	until time.Time
	// reached is when the last call was sent that was answered.
	reached time.Time
	ended   bool
	done    chan struct{}
}

func newTenure(store coord.Store, leader Leader, lease coord.LeaseID, ttl time.Duration, sent time.Time) *Tenure {
	return &Tenure{
		Leader: leader, store: store, lease: lease, ttl: ttl,
		until: sent.Add(ttl - authorityMargin), reached: sent, done: make(chan struct{}),
	}
}

// Until returns when the tenure's authority ends if it is not renewed.
func (t *Tenure) AuthorityUntil() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// Reached returns when the last call was sent that the service has answered.
func (t *Tenure) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reached
}

// Ended is closed once the service says that the lease is over.
func (t *Tenure) Ended() <-chan struct{} { return t.done }

// Keep renews the lease until ctx ends or the lease is over.
func (t *Tenure) KeepAlive(ctx context.Context) {
	ticker := time.NewTicker(renewEvery)
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
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	err := t.store.KeepLease(bounded, t.lease)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.reached = sent
		if until := sent.Add(t.ttl - authorityMargin); until.After(t.until) {
			t.until = until
		}
	case errors.Is(err, coord.ErrNoLease) && !t.ended:
		t.ended = true
		t.until = time.Time{}
		close(t.done)
	}
}

// Resign ends the tenure, so that another may lead at once.
func (t *Tenure) Resign(ctx context.Context) {
	t.mu.Lock()
	t.until = time.Time{}
	if !t.ended {
		t.ended = true
		close(t.done)
	}
	t.mu.Unlock()
	_ = t.store.EndLease(ctx, t.lease)
}
