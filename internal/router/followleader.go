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

// Times of following a relay that has lost its leader.
const (
	// leaderlessTimeout is how long a process stays: an election takes half as long.
	leaderlessTimeout = 4 * time.Second
	// maxOwnSyncAge is how recently a process must have read all from the service itself to
	// count as reaching it, and aheadTimeout is for how long it must have done so, while
	// the relay has not, to leave: after an outage some are back sooner than others.
	maxOwnSyncAge = time.Second
	// maxRedirects is how often a process is sent on without being told anything: from
	// the leader to a relay and to one of its own, from one that stops to the leader, and to the
	// next relay and one of its own.
	maxRedirects = 5
	aheadTimeout = 1500 * time.Millisecond
)

// following is how a process follows a leader: itself, or through a relay.
type followSession struct {
	r      *Router
	leader election.Leader
	// address is that of the process that is followed now.
	address string
	// avoid is a relay that was lost, or that has sent this process away.
	avoid string
	// linked says that anything was told, and heardAny that it was since the last
	// connection began; redirects are those without that.
	linked, updated bool
	redirects       int
	// orphanSince is since when the relay has no leader; zero: it has one.
	leaderlessSince time.Time
	// aheadSince is since when this process reaches the service and a relay without a
	// leader does not; zero: it is not so.
	aheadSince time.Time
	doubtOnce  sync.Once
	stop       context.CancelFunc
}

// followLeader follows the leader until it is lost, then waits until the service names
// another, or none.
func (r *Router) followLeader(ctx context.Context, leader election.Leader) {
	bounded, stop := context.WithCancel(ctx)
	defer stop()
	f := &followSession{r: r, leader: leader, address: leader.Address, stop: stop}
	err := f.run(bounded)
	r.hub.SetFollowedLeader("")
	r.updates.invalidate() // what was not told by now is read from the service
	r.standby.Lost()
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

// run follows the leader, or the relay that it names, until the leader is lost, or nobody
// tells anything.
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
			// What it told stands for as long as that of one that is silent.
			f.r.log.Line(decision.KindRelayLost).Str("relay", f.address).Err(err).Msg("")
			f.switchTo(f.leader.Address)
		default:
			return err
		}
	}
}

func (f *followSession) viaRelay() bool { return f.address != f.leader.Address }

// leave goes on with another process.
func (f *followSession) switchTo(address string) {
	if f.viaRelay() {
		f.avoid = f.address
	}
	f.address, f.leaderlessSince, f.aheadSince = address, time.Time{}, time.Time{}
}

// once follows one process until its link breaks.
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

// heard takes what the followed process says.
func (f *followSession) handleUpdate(update peerlink.Update) {
	f.updated = true
	if update.Leading && f.viaRelay() { // the relay has become the leader
		f.leader = election.Leader{Address: f.address, Term: update.Term}
	}
	f.r.handleUpdate(update)
}

// told notes that the process that is followed has told its owners.
func (f *followSession) onLinked() {
	f.linked = true
	f.r.hub.SetFollowedLeader(f.leader.Address)
	f.r.peers.Add(f.leader.Address, f.address)
	f.r.quotas.holder.Linked()
	f.r.limits.member.QueueAll()
	f.r.leaving.member.QueueAll()
	line := f.r.log.Line(decision.KindLeaderFound).Str("leader", f.leader.Address).Int64("term", int64(f.leader.Term))
	if f.viaRelay() {
		line = line.Str("relay", f.address)
	}
	line.Msg("")
}

// doubt waits for another leader, since this one says that there may be one, and stops
// following once the service names it.
func (f *followSession) awaitSuccessor(ctx context.Context) {
	f.doubtOnce.Do(func() {
		go func() {
			if f.r.election.AwaitAnother(ctx, f.leader) {
				f.stop()
			}
		}()
	})
}

// applied lets others that follow this process know of changed owners.
func (f *followSession) relayOwners(service routing.ServiceName) {
	owners, term, version := f.r.table.Owners(service)
	f.r.hub.RelayOwners(service, owners, term, version)
}

// stays reports whether a relay is followed on that says this. Without a leader it is
// followed for a while only, and not if this process knows more than the relay.
func (f *followSession) keepsRelay(update peerlink.Update) bool {
	now := clock.Now()
	ahead := update.Leaderless && update.Stale() && now.Sub(f.r.storeSyncedAt()) < maxOwnSyncAge
	trackSince(&f.leaderlessSince, update.Leaderless, now)
	trackSince(&f.aheadSince, ahead, now)
	return !(update.Leaderless && now.Sub(f.leaderlessSince) >= leaderlessTimeout) &&
		!(ahead && now.Sub(f.aheadSince) >= aheadTimeout)
}

// lasts keeps since when something is so; zero if it is not.
func trackSince(since *time.Time, holds bool, now time.Time) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}
