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

// Times of finding a leader.
const (
	storeCallTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed look, and maxRetryPause after many.
	retryPause    = 300 * time.Millisecond
	maxRetryPause = time.Second
	// configPollInterval is the pause between looks for the first configuration.
	configPollInterval = 30 * time.Millisecond
	// campaignJitter keeps processes from campaigning all at once.
	campaignJitter = 150 * time.Millisecond
	// weakMachineDelay is by how much later those on weaker machines campaign: after an outage
	// of the service the strong ones may look for a leader up to a second later.
	weakMachineDelay = 700 * time.Millisecond
	// distanceFactor times the quickest call to the store is by how much later a process campaigns: by
	// more than campaignJitter where the way there and back takes 15 ms longer, which is two
	// neighbouring regions, and no longer than maxDistanceDelay, since no leader is worse than a
	// far one.
	distanceFactor   = 10
	maxDistanceDelay = 500 * time.Millisecond
	// askTimeout bounds asking the leader before whether it has stopped.
	askTimeout = 400 * time.Millisecond
	// selfReportInterval is the pause between a leader's reports to itself.
	selfReportInterval = 200 * time.Millisecond
	// maxOrderDuration is how long an order may be under way.
	maxOrderDuration = 700 * time.Millisecond
	resignTimeout    = 500 * time.Millisecond
	// listSizeTimeout is how long the first page of the workers' entries is waited for.
	listSizeTimeout = 500 * time.Millisecond
)

// lead follows the leader, or becomes it, until ctx ends. A process that finds no leader when it
// starts finds the owners where they are stored.
func (r *Router) lead(ctx context.Context) {
	if r.settings.FirstStart {
		clock.Sleep(ctx, r.campaignDelay()) // most find a leader at their first look then
	}
	// Who finds none has measured by that look how far the store is, and pauses by that.
	paused := false
	backoff := clock.Backoff{First: retryPause, Longest: maxRetryPause}
	for ctx.Err() == nil {
		began := clock.Now()
		leader, found, err := r.lookUpLeader(ctx)
		if err == nil {
			backoff.Reset()
		}
		switch {
		case err != nil:
			r.noLeader.close()
			if peerLeader, found := r.askPeersForLeader(ctx, ""); found {
				r.followLeader(ctx, peerLeader)
				backoff.Reset()
				continue
			}
			backoff.SleepRest(ctx, clock.Since(began))
		case found && r.hasEnded(ctx, leader):
			r.proceedWithoutLeader(ctx)
			paused = r.campaign(ctx, leader.Revision, paused)
			continue
		case found:
			r.followLeader(ctx, leader)
			r.proceedWithoutLeader(ctx)
		default:
			if paused || !r.settings.FirstStart { // at the first start of all others may campaign by now
				r.proceedWithoutLeader(ctx)
			}
			paused = r.campaign(ctx, 0, paused)
			continue
		}
		paused = false
	}
}

// goOnUnled lets a process that has just started read for itself, since no leader tells it what
// there is. A process that knows no configuration yet can't lead.
func (r *Router) proceedWithoutLeader(ctx context.Context) {
	r.noLeader.close()
	r.awaitConfig(ctx)
	if !r.settings.FirstStart {
		r.ownersLoaded.Do(func() { r.loadOwnersIfNeeded(ctx) })
	}
}

// readRecords takes the owners from where they are stored, for a process that has just started or
// does not reach the leader. Where there are many workers it does so only if nobody tells the
// owners for a while: each of hundreds of processes that start together would read as much as all
// workers' entries take.
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

// knowsOwners reports whether a leader has told owners of keys.
func (r *Router) knowsOwners() bool {
	term, _ := r.table.Age()
	return term > 0
}

// latch is closed once. It is safe for concurrent use.
type latch struct {
	once   sync.Once
	closed chan struct{}
}

func newLatch() *latch { return &latch{closed: make(chan struct{})} }

func (l *latch) close() { l.once.Do(func() { close(l.closed) }) }

// awaitConfig waits for the first configuration.
func (r *Router) awaitConfig(ctx context.Context) {
	for ctx.Err() == nil && r.proxy.Config() == nil {
		clock.Sleep(ctx, configPollInterval)
	}
}

// hasEnded reports whether another process, or a later life of the same, answers
// where the leader was: that is proof that the leader's process has ended.
func (r *Router) hasEnded(ctx context.Context, leader election.Leader) bool {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, ok := peerlink.QueryLeadership(bounded, leader.Address, 0)
	return ok && answer.Process != leader.Process
}

func (r *Router) lookUpLeader(ctx context.Context) (election.Leader, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return r.election.Look(bounded)
}

// awaitChange waits until the service no longer names a leader that was lost, or
// something answers again where it was.
func (r *Router) awaitLeaderChange(ctx context.Context, leader election.Leader) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{}, 3)
	go func() {
		r.awaitOtherLeader(bounded, leader)
		changed <- struct{}{}
	}()
	go func() {
		r.election.AwaitAnother(bounded, leader)
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

// takeRecords takes the owners from where they are stored.
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

// campaign tries to lead, and leads until the tenure ends. replace is the
// revision of the key of a leader that has ended, or zero. Before a process has paused,
// so that not all of them campaign at once, it only does that: it then looks again.
func (r *Router) campaign(ctx context.Context, replace coord.Revision, paused bool) bool {
	if !paused {
		clock.Sleep(ctx, r.campaignDelay())
		return true
	}
	r.tryToLead(ctx, replace)
	return false
}

// tryToLead campaigns once, and leads until the tenure ends if it wins.
func (r *Router) tryToLead(ctx context.Context, replace coord.Revision) {
	tenure, err := r.election.Campaign(ctx, replace)
	if err != nil {
		if !errors.Is(err, election.ErrLost) {
			clock.Sleep(ctx, retryPause)
		}
		return
	}
	tenureCtx, stop := context.WithCancel(ctx)
	defer stop()
	go tenure.Keep(tenureCtx)
	r.standby.Stop(tenure.Leader.Term)
	until := r.holdsEndAt(ctx, tenure)
	r.log.Line(decision.KindElected).Int64("term", int64(tenure.Leader.Term)).Time("holds_until", until).Msg("")
	go r.reportToSelf(tenureCtx)
	go r.keepSuspects(tenureCtx, tenure)
	go r.quotas.coordinate(tenureCtx, tenure)
	r.limits.lead(tenure)
	r.leaving.member.SetLeading(true)
	r.leaderStoreUnreachable.Store(false) // that was the leader before
	r.nodes.Store(int32(r.hub.Nodes()))
	r.keeper.Lead(tenureCtx, tenure, until)
	r.limits.stopLeading() // before another may lead
	r.leaving.member.SetLeading(false)
	resign, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	tenure.Resign(resign)
	r.log.Line(decision.KindResigned).Int64("term", int64(tenure.Leader.Term)).Msg("")
}

// campaignPause lets processes campaign one after the other, and those on the strongest
// machines first: the leader speaks with all others. Who knows of no others waits by
// how far its machine is from strong.
func (r *Router) campaignDelay() time.Duration {
	pause := jitter(campaignJitter)
	strongest := math.Float64frombits(r.strongest.Load())
	switch {
	case strongest == 0:
		pause += time.Duration((1 - r.hub.Strength) * float64(weakMachineDelay))
	case r.hub.Strength < strongest:
		pause += weakMachineDelay
	}
	return pause + r.distanceDelay()
}

// farPause lets processes of the store's region campaign first: each renewal of the lease and
// all that the leader reads and writes would cross between regions, and a region that is cut off
// from the store would take the leader with it. Which region that is shows by how long the
// quickest call took.
func (r *Router) distanceDelay() time.Duration {
	if r.zoneMap.Regions() <= 1 {
		return 0
	}
	return min(maxDistanceDelay, distanceFactor*r.store.roundTrip())
}

// spread returns a random part of a time, so that processes do not act all at once.
func jitter(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit)))
}
