package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
)

// Timing for followers of a relay that has lost its leader.
const (
	// leaderlessTimeout is how long a process keeps following the relay. An election takes half as
	// long.
	leaderlessTimeout = 4 * time.Second
	// maxOwnSyncAge is how recently a process must have read everything from the service to count
	// as reaching it.
	maxOwnSyncAge = time.Second
	// maxRedirects is how many consecutive redirects without an update are followed: from the
	// leader to a relay and on to a sub-relay, from a stopping process to the leader, and on to the
	// next relay and its sub-relay.
	maxRedirects = 5
	// aheadTimeout is how long a process reaches the service, while its relay does not, before it
	// leaves the relay: after an outage, some processes reconnect sooner than others.
	aheadTimeout = 1500 * time.Millisecond
	// openTimeout is how long a new leader may take from its election until it accepts followers: it asks
	// the processes that may renew holds to stop first. openRetryPause is the pause between tries.
	openTimeout    = queryTimeout + 200*time.Millisecond
	openRetryPause = 50 * time.Millisecond
)

// followSession is the state of following a leader, directly or through a relay.
type followSession struct {
	r      *Router
	leader election.Leader
	// address is the process that is followed now.
	address string
	// avoid is a relay that was lost, or that has redirected this process.
	avoid string
	// began is when following the leader began.
	began time.Time
	// linked is set once any process has sent its owners, and updated once an update was received
	// on the current connection. redirects counts consecutive redirects without an update.
	linked, updated bool
	redirects       int
	// leaderlessSince is when the relay lost its leader; zero if it has one.
	leaderlessSince time.Time
	// aheadSince is since when this process reaches the service while a relay without a leader does
	// not; zero otherwise.
	aheadSince         time.Time
	awaitSuccessorOnce sync.Once
	stop               context.CancelFunc
}

// followLeader follows the leader until it is lost, then waits until the service names another one,
// or none.
func (r *Router) followLeader(ctx context.Context, leader election.Leader) {
	bounded, stop := context.WithCancel(ctx)
	defer stop()
	f := &followSession{r: r, leader: leader, address: leader.Address, began: clock.Now(), stop: stop}
	err := f.run(bounded)
	r.hub.SetFollowedLeader("")
	r.updates.invalidate() // what was not received by now is read from the service
	r.standby.LeaderLost()
	if ctx.Err() != nil {
		r.hub.RedirectFollowers(leader.Address)
		return
	}
	r.hub.MarkLeaderLost()
	if f.linked {
		r.log.Line(decision.KindLeaderLost).Str("leader", leader.Address).Int64("term", int64(leader.Term)).Err(err).Msg("")
	} else {
		r.noLeader.close()
		r.awaitConfig(ctx)
		r.loadOwnersIfNeeded(ctx)
	}
	r.awaitLeaderChange(ctx, leader)
}

// run follows the leader, or the relay to which it redirects. It returns when the leader is lost,
// when redirects exceed maxRedirects, or when one leads back to this process.
func (f *followSession) run(ctx context.Context) error {
	for {
		f.updated = false
		err := f.followOnce(ctx)
		var redirect *peerlink.RedirectError
		switch {
		case ctx.Err() != nil:
			return err
		case errors.As(err, &redirect):
			f.redirects++
			if f.updated {
				f.redirects = 1
			}
			if f.redirects > maxRedirects || redirect.Address == f.r.settings.PeerListen {
				return err
			}
			f.r.hub.RedirectFollowers(redirect.Address)
			f.switchTo(redirect.Address)
		case f.viaRelay():
			// The updates of a lost relay stay trusted for as long as those of a silent one.
			f.r.log.Line(decision.KindRelayLost).Str("relay", f.address).Err(err).Msg("")
			f.switchTo(f.leader.Address)
		case f.opensSoon(err):
			clock.Sleep(ctx, openRetryPause)
		default:
			return err
		}
	}
}

// opensSoon reports whether a leader that does not accept followers may have been elected just now. A
// process that took it for lost read the owners from the service, and found the leader up to 3 s later.
func (f *followSession) opensSoon(err error) bool {
	return errors.Is(err, peerlink.ErrNotLeading) && !f.linked && clock.Since(f.began) < openTimeout
}

func (f *followSession) viaRelay() bool { return f.address != f.leader.Address }

// switchTo continues with another process.
func (f *followSession) switchTo(address string) {
	if f.viaRelay() {
		f.avoid = f.address
	}
	f.address, f.leaderlessSince, f.aheadSince = address, time.Time{}, time.Time{}
}

// followOnce follows one process until the connection ends.
func (f *followSession) followOnce(ctx context.Context) error {
	r := f.r
	hello := r.hello()
	hello.Avoid, hello.Followers, hello.Nodes = f.avoid, r.hub.Followers(), int(r.nodes.Load())
	follower := peerlink.Follower{
		Hello: hello, Table: r.table, TakeReport: r.report, Urgent: r.quotas.holder.ReportTriggered(), TakeUrgentReport: r.quotas.report, Nodes: r.nodes,
		EntriesRevision: r.entriesView.revision, ListPosition: r.entriesView.partialListUpTo, ConfigRevision: r.config.coveredRevision,
		OnUpdate: f.handleUpdate, OnFirstUpdate: f.onLinked, OnLeadershipUncertain: func() { f.awaitSuccessor(ctx) }, KeepFollowing: f.keepsRelay, OnOwnersApplied: f.relayOwners,
	}
	return follower.Follow(ctx, f.address)
}

// handleUpdate applies an update from the followed process.
func (f *followSession) handleUpdate(update peerlink.Update) {
	f.updated = true
	if update.Leading && f.viaRelay() { // the relay has become the leader
		f.leader = election.Leader{Address: f.address, Term: update.Term}
	}
	f.r.handleUpdate(update)
}

// onLinked is called once the followed process has sent its owners.
func (f *followSession) onLinked() {
	f.linked = true
	f.r.hub.SetFollowedLeader(f.leader.Address)
	f.r.peers.Add(f.leader.Address, f.address)
	f.r.quotas.holder.Linked()
	f.r.limits.limiter.QueueAll()
	f.r.leaving.replica.QueueAll()
	line := f.r.log.Line(decision.KindLeaderFound).Str("leader", f.leader.Address).Int64("term", int64(f.leader.Term))
	if f.viaRelay() {
		line = line.Str("relay", f.address)
	}
	line.Msg("")
}

// awaitSuccessor waits for another leader, since this one reports that there may be one, and stops
// following once the service names it.
func (f *followSession) awaitSuccessor(ctx context.Context) {
	f.awaitSuccessorOnce.Do(func() {
		go func() {
			if f.r.election.AwaitLeaderChange(ctx, f.leader) {
				f.stop()
			}
		}()
	})
}

// relayOwners sends changed owners to the followers of this process.
func (f *followSession) relayOwners(service routing.ServiceName) {
	owners, term, version := f.r.table.Owners(service)
	f.r.hub.RelayOwners(service, owners, term, version)
}

// keepsRelay reports whether to keep following a relay that sent this update. A relay without a
// leader is followed for a limited time, and only while this process does not know more than the
// relay.
func (f *followSession) keepsRelay(update peerlink.Update) bool {
	now := clock.Now()
	ahead := update.Leaderless && update.Stale() && now.Sub(f.r.storeSyncedAt()) < maxOwnSyncAge
	trackSince(&f.leaderlessSince, update.Leaderless, now)
	trackSince(&f.aheadSince, ahead, now)
	return !(update.Leaderless && now.Sub(f.leaderlessSince) >= leaderlessTimeout) &&
		!(ahead && now.Sub(f.aheadSince) >= aheadTimeout)
}

// trackSince keeps the time since which a condition holds; zero while it does not.
func trackSince(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}
