package router

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/keeper"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// Timing of leader election.
const (
	storeCallTimeout = 1500 * time.Millisecond
	// retryPause is the pause after the first failed lookup; it grows to maxRetryPause.
	retryPause    = 300 * time.Millisecond
	maxRetryPause = time.Second
	// configPollInterval is how often a process checks whether the first configuration has arrived.
	configPollInterval = 30 * time.Millisecond
	// campaignJitter spreads the campaigns of processes that start them together.
	campaignJitter = 150 * time.Millisecond
	// weakMachineDelay delays campaigns on weaker machines: after an outage of the service, strong
	// machines may look for a leader up to a second later.
	weakMachineDelay = 700 * time.Millisecond
	// distanceFactor times the latency of the fastest store call is the delay of a campaign. A
	// round trip that is 15 ms longer, as between two neighbouring regions, outweighs
	// campaignJitter. The delay is capped at maxDistanceDelay, since having no leader is worse than
	// a distant one.
	distanceFactor   = 10
	maxDistanceDelay = 500 * time.Millisecond
	// queryTimeout bounds queries to other processes: who leads, and whether the previous leader or
	// a standby has stopped.
	queryTimeout = 400 * time.Millisecond
	// selfReportInterval is how often a leader reports to itself.
	selfReportInterval = 200 * time.Millisecond
	resignTimeout      = 500 * time.Millisecond
	// listSizeTimeout is how long to wait for the first page of worker entries.
	listSizeTimeout = 500 * time.Millisecond
)

// lead follows the leader, or becomes it, until ctx ends. A starting process that finds no leader
// loads the stored owners.
func (r *Router) lead(ctx context.Context) {
	if r.settings.FirstStart {
		clock.Sleep(ctx, r.campaignDelay()) // most processes then find a leader at the first lookup
	}
	// The lookup that finds no leader has measured the distance to the store, on which the campaign
	// delay depends.
	paused := false
	backoff := clock.Backoff{Initial: retryPause, Max: maxRetryPause}
	for ctx.Err() == nil {
		began := clock.Now()
		leader, found, err := r.lookUpLeader(ctx)
		if err == nil {
			backoff.Reset()
		}
		switch {
		case err != nil:
			r.noLeader.close()
			if peerLeader, found := r.queryPeersForLeader(ctx, ""); found {
				r.followLeader(ctx, peerLeader)
				backoff.Reset()
				continue
			}
			backoff.SleepAfter(ctx, clock.Since(began))
		case found && r.leaderHasEnded(ctx, leader):
			r.proceedWithoutLeader(ctx)
			paused = r.campaign(ctx, leader.Revision, paused)
			continue
		case found:
			r.followLeader(ctx, leader)
			r.proceedWithoutLeader(ctx)
		default:
			if paused || !r.settings.FirstStart { // at the first start of the system, other processes may campaign by now
				r.proceedWithoutLeader(ctx)
			}
			paused = r.campaign(ctx, 0, paused)
			continue
		}
		paused = false
	}
}

// proceedWithoutLeader lets a starting process read the store itself, since no leader sends it the
// data. It waits for a configuration, which a process needs to lead.
func (r *Router) proceedWithoutLeader(ctx context.Context) {
	r.noLeader.close()
	r.awaitConfig(ctx)
	if !r.settings.FirstStart {
		r.ownersLoaded.Do(func() { r.loadOwnersIfNeeded(ctx) })
	}
}

// loadOwnersIfNeeded loads the stored owners for a process that has just started or can't reach the
// leader. With a long worker list it does so only if no leader sends the owners for a while: if
// hundreds of processes start together, each would otherwise read as much as all worker entries.
func (r *Router) loadOwnersIfNeeded(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listSizeTimeout)
	defer cancel()
	select {
	case <-r.listSizeKnown.closed:
	case <-bounded.Done():
	}
	if !r.largeList.Load() {
		r.loadOwners(ctx)
		return
	}
	go func() {
		never := make(chan struct{})
		if !r.awaitReceived(ctx, listTimeout, r.knowsOwners, never) {
			r.loadOwners(ctx)
		}
	}()
}

// knowsOwners reports whether owners of keys were received from a leader.
func (r *Router) knowsOwners() bool {
	term, _ := r.table.Age()
	return term > 0
}

// latch is a channel that is closed once. It is safe for concurrent use.
type latch struct {
	once   sync.Once
	closed chan struct{}
}

func newLatch() *latch { return &latch{closed: make(chan struct{})} }

func (l *latch) close() { l.once.Do(func() { close(l.closed) }) }

func (l *latch) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// awaitConfig waits for the first configuration.
func (r *Router) awaitConfig(ctx context.Context) {
	for ctx.Err() == nil && r.proxy.Config() == nil {
		clock.Sleep(ctx, configPollInterval)
	}
}

// leaderHasEnded reports whether another process, or a later incarnation of the same, answers at
// the leader's address: that proves that the leader's process has ended.
func (r *Router) leaderHasEnded(ctx context.Context, leader election.Leader) bool {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, ok := peerlink.QueryLeadership(bounded, leader.Address, 0)
	return ok && answer.Process != leader.Process
}

func (r *Router) lookUpLeader(ctx context.Context) (election.Leader, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.election.CurrentLeader(bounded)
}

// awaitLeaderChange waits until the service no longer names a lost leader, peers name another one,
// or a process answers at its address.
func (r *Router) awaitLeaderChange(ctx context.Context, leader election.Leader) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{}, 3)
	go func() {
		r.awaitOtherLeader(bounded, leader)
		changed <- struct{}{}
	}()
	go func() {
		r.election.AwaitLeaderChange(bounded, leader)
		changed <- struct{}{}
	}()
	go func() {
		for answered := false; !answered && bounded.Err() == nil; {
			clock.Sleep(bounded, retryPause)
			_, answered = peerlink.QueryLeadership(bounded, leader.Address, 0)
		}
		changed <- struct{}{}
	}()
	<-changed
}

// loadOwners reads the stored owners.
func (r *Router) loadOwners(ctx context.Context) {
	config := r.proxy.Config()
	if config == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	for name, service := range config.Services {
		if !service.Keyed {
			continue
		}
		item, found, err := r.adapter.Store.Get(bounded, keeper.RecordKey(KeyPrefix, name))
		if err != nil || !found {
			continue
		}
		if term, owners, err := owner.DecodeOwners(item.Value); err == nil {
			r.table.Replace(term, name, owners)
		}
	}
}

// campaign runs for leadership, and leads until the tenure ends. replace is the revision of the key
// of a leader that has ended, or zero. If paused is false, it only waits, so that processes do not
// campaign all at once, and returns true: the caller then looks for a leader again.
func (r *Router) campaign(ctx context.Context, replace coord.Revision, paused bool) bool {
	if !paused {
		clock.Sleep(ctx, r.campaignDelay())
		return true
	}
	r.tryToLead(ctx, replace)
	return false
}

// tryToLead campaigns once; if it wins, it leads until the tenure ends.
func (r *Router) tryToLead(ctx context.Context, replace coord.Revision) {
	tenure, err := r.election.Campaign(ctx, replace)
	if err != nil {
		if !errors.Is(err, election.ErrOtherLeader) {
			clock.Sleep(ctx, retryPause)
		}
		return
	}
	if !clock.Now().Before(tenure.AuthorityUntil()) { // the process was frozen during the campaign
		r.resign(ctx, tenure)
		return
	}
	tenureCtx, stop := context.WithCancel(ctx)
	defer stop()
	go tenure.KeepAlive(tenureCtx)
	r.stopRenewing(tenure.Leader.Term)
	until, unresolved := r.stopPastRenewers(ctx, tenure)
	r.log.Line(decision.KindElected).Int64("term", int64(tenure.Leader.Term)).Time("holds_until", until).
		Strs("unresolved", addresses(unresolved)).Msg("")
	go r.resignIfCutOff(tenureCtx, stop)
	go r.reportToSelf(tenureCtx)
	go r.keepSuspects(tenureCtx, tenure)
	go r.quotas.coordinate(tenureCtx, tenure)
	r.limits.lead(tenure)
	r.leaving.replica.SetLeading(true)
	r.leaderStoreUnreachable.Store(false) // it referred to the previous leader
	r.nodes.Store(int32(r.hub.Nodes()))
	r.keeper.Lead(tenureCtx, tenure, until)
	r.limits.stopLeading() // before another process may lead
	r.leaving.replica.SetLeading(false)
	r.resign(ctx, tenure)
}

// resign ends a tenure.
func (r *Router) resign(ctx context.Context, tenure *election.Tenure) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	tenure.Resign(bounded)
	r.log.Line(decision.KindResigned).Int64("term", int64(tenure.Leader.Term)).Msg("")
}

// stopRenewing stops all renewals of holds that leaders before a term granted.
func (r *Router) stopRenewing(term owner.Term) {
	r.grants.Supersede(term)
	r.standby.Revoke(term)
}

// campaignDelay staggers campaigns, strongest machines first, since the leader communicates with
// all other processes. A process that knows no others is delayed by how far its machine is below
// full strength. A process that can't open connections to the workers campaigns last, even if open ones
// still work: it could grant keys to few of them.
func (r *Router) campaignDelay() time.Duration {
	pause := jitter(campaignJitter)
	if r.reach.Unreachable() {
		pause += cutOffDelay
	}
	strongest := math.Float64frombits(r.strongest.Load())
	switch {
	case strongest == 0:
		pause += time.Duration((1 - r.hub.Strength) * float64(weakMachineDelay))
	case r.hub.Strength < strongest:
		pause += weakMachineDelay
	}
	return pause + r.distanceDelay()
}

// distanceDelay lets processes in the store's region campaign first. From another region, each
// lease renewal and all reads and writes of the leader would cross regions, and the leader would be
// lost if that region were cut off from the store. The latency of the fastest call indicates the
// region.
func (r *Router) distanceDelay() time.Duration {
	if r.zoneMap.RegionCount() <= 1 {
		return 0
	}
	return min(maxDistanceDelay, distanceFactor*r.store.roundTrip())
}

// jitter returns a random duration below limit, so that processes do not act all at once.
func jitter(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}
