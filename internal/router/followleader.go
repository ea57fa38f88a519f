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
	// orphanPatience is how long a process stays: an election takes half as long.
	orphanPatience = 4 * time.Second
	// ownReach is how recently a process must have read all from the service itself to
	// count as reaching it, and aheadPatience is for how long it must have done so, while
	// the relay has not, to leave: after an outage some are back sooner than others.
	ownReach = time.Second
	// mostRedirects is how often a process is sent on without being told anything: from
	// the leader to a relay and to one of its own, from one that stops to the leader, and to the
	// next relay and one of its own.
	mostRedirects = 5
	aheadPatience = 1500 * time.Millisecond
)

// following is how a process follows a leader: itself, or through a relay.
type following struct {
	r      *Router
	leader election.Leader
	// address is that of the process that is followed now.
	address string
	// avoid is a relay that was lost, or that has sent this process away.
	avoid string
	// linked says that anything was told, and heardAny that it was since the last
	// connection began; redirects are those without that.
	linked, heardAny bool
	redirects        int
	// orphanSince is since when the relay has no leader; zero: it has one.
	orphanSince time.Time
	// aheadSince is since when this process reaches the service and a relay without a
	// leader does not; zero: it is not so.
	aheadSince time.Time
	doubted    sync.Once
	stop       context.CancelFunc
}

// followLeader follows the leader until it is lost, then waits until the service names
// another, or none.
func (r *Router) followLeader(ctx context.Context, leader election.Leader) {
	bounded, stop := context.WithCancel(ctx)
	defer stop()
	f := &following{r: r, leader: leader, address: leader.Address, stop: stop}
	err := f.run(bounded)
	r.hub.SetFollowed("")
	r.told.end() // what was not told by now is read from the service
	r.standby.Lost()
	if ctx.Err() != nil {
		r.hub.LeaveTo(leader.Address)
		return
	}
	r.hub.LeaderLost()
	if f.linked {
		r.log.Line(decision.KindLeaderLost).Str("leader", leader.Address).Int64("term", int64(leader.Term)).Err(err).Msg("")
	} else {
		r.unled.close()
		r.awaitConfig(ctx)
		r.readRecords(ctx)
	}
	r.awaitChange(ctx, leader)
}

// run follows the leader, or the relay that it names, until the leader is lost, or nobody
// tells anything.
func (f *following) run(ctx context.Context) error {
	for {
		f.heardAny = false
		err := f.once(ctx)
		var redirect *peerlink.RedirectError
		switch {
		case ctx.Err() != nil:
			return err
		case errors.As(err, &redirect):
			f.redirects++
			if f.heardAny {
				f.redirects = 1
			}
			if f.redirects > mostRedirects || redirect.Address == f.r.settings.PeerListen {
				return err
			}
			f.r.hub.LeaveTo(redirect.Address)
			f.leave(redirect.Address)
		case f.viaRelay():
			// What it told stands for as long as that of one that is silent.
			f.r.log.Line(decision.KindRelayLost).Str("relay", f.address).Err(err).Msg("")
			f.leave(f.leader.Address)
		default:
			return err
		}
	}
}

func (f *following) viaRelay() bool { return f.address != f.leader.Address }

// leave goes on with another process.
func (f *following) leave(to string) {
	if f.viaRelay() {
		f.avoid = f.address
	}
	f.address, f.orphanSince, f.aheadSince = to, time.Time{}, time.Time{}
}

// once follows one process until its link breaks.
func (f *following) once(ctx context.Context) error {
	r := f.r
	hello := r.hello()
	hello.Avoid, hello.Followers, hello.Nodes = f.avoid, r.hub.Followers(), int(r.nodes.Load())
	follower := peerlink.Follower{
		Hello: hello, Table: r.table, Take: r.report, Urgent: r.quotas.holder.ReportTriggered(), TakeUrgent: r.quotas.report, Nodes: r.nodes,
		Entries: r.entriesView.revision, List: r.entriesView.collectedUpTo, Config: r.config.coveredUpTo,
		Heard: f.heard, Linked: f.told, Doubted: func() { f.doubt(ctx) }, Stays: f.stays, Applied: f.applied,
	}
	return follower.Follow(ctx, f.address)
}

// heard takes what the followed process says.
func (f *following) heard(update peerlink.Update) {
	f.heardAny = true
	if update.Leading && f.viaRelay() { // the relay has become the leader
		f.leader = election.Leader{Address: f.address, Term: update.Term}
	}
	f.r.heard(update)
}

// told notes that the process that is followed has told its owners.
func (f *following) told() {
	f.linked = true
	f.r.hub.SetFollowed(f.leader.Address)
	f.r.peers.Add(f.leader.Address, f.address)
	f.r.quotas.holder.Linked()
	f.r.limits.member.Linked()
	f.r.leaving.member.Linked()
	line := f.r.log.Line(decision.KindLeaderFound).Str("leader", f.leader.Address).Int64("term", int64(f.leader.Term))
	if f.viaRelay() {
		line = line.Str("relay", f.address)
	}
	line.Msg("")
}

// doubt waits for another leader, since this one says that there may be one, and stops
// following once the service names it.
func (f *following) doubt(ctx context.Context) {
	f.doubted.Do(func() {
		go func() {
			if f.r.election.AwaitAnother(ctx, f.leader) {
				f.stop()
			}
		}()
	})
}

// applied lets others that follow this process know of changed owners.
func (f *following) applied(service routing.ServiceName) {
	owners, term, version := f.r.table.Owners(service)
	f.r.hub.RelayOwners(service, owners, term, version)
}

// stays reports whether a relay is followed on that says this. Without a leader it is
// followed for a while only, and not if this process knows more than the relay.
func (f *following) stays(update peerlink.Update) bool {
	now := clock.Now()
	ahead := update.Leaderless && update.Stale() && now.Sub(f.r.readUpTo()) < ownReach
	lasts(&f.orphanSince, update.Leaderless, now)
	lasts(&f.aheadSince, ahead, now)
	return !(update.Leaderless && now.Sub(f.orphanSince) >= orphanPatience) &&
		!(ahead && now.Sub(f.aheadSince) >= aheadPatience)
}

// lasts keeps since when something is so; zero if it is not.
func lasts(since *time.Time, is bool, now time.Time) {
	switch {
	case !is:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}
