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
	lookTimeout = 1500 * time.Millisecond
	// lookPause is the pause after a failed look, and longestLookPause after many.
	lookPause        = 300 * time.Millisecond
	longestLookPause = time.Second
	// configPause is the pause between looks for the first configuration.
	configPause = 30 * time.Millisecond
	// campaignSpread keeps processes from campaigning all at once.
	campaignSpread = 150 * time.Millisecond
	// weakPause is by how much later those on weaker machines campaign: after an outage
	// of the service the strong ones may look for a leader up to a second later.
	weakPause = 700 * time.Millisecond
	// farFactor times the quickest call to the store is by how much later a process campaigns: by
	// more than campaignSpread where the way there and back takes 15 ms longer, which is two
	// neighbouring regions, and no longer than longestFarPause, since no leader is worse than a
	// far one.
	farFactor       = 10
	longestFarPause = 500 * time.Millisecond
	// askTimeout bounds asking the leader before whether it has stopped.
	askTimeout = 400 * time.Millisecond
	// ownReportEvery is the pause between a leader's reports to itself.
	ownReportEvery = 200 * time.Millisecond
	// orderTime is how long an order may be under way.
	orderTime     = 700 * time.Millisecond
	resignTimeout = 500 * time.Millisecond
	// sizePatience is how long the first page of the workers' entries is waited for.
	sizePatience = 500 * time.Millisecond
)

// lead follows the leader, or becomes it, until ctx ends. A process that finds no leader when it
// starts finds the owners where they are stored.
func (r *Router) lead(ctx context.Context) {
	if r.settings.FirstStart {
		clock.Sleep(ctx, r.campaignPause()) // most find a leader at their first look then
	}
	// Who finds none has measured by that look how far the store is, and pauses by that.
	paused := false
	backoff := clock.Backoff{First: lookPause, Longest: longestLookPause}
	for ctx.Err() == nil {
		began := clock.Now()
		leader, found, err := r.look(ctx)
		if err == nil {
			backoff.Reset()
		}
		switch {
		case err != nil:
			r.unled.close()
			if told, found := r.askAround(ctx, ""); found {
				r.followLeader(ctx, told)
				backoff.Reset()
				continue
			}
			backoff.SleepRest(ctx, clock.Since(began))
		case found && r.hasEnded(ctx, leader):
			r.goOnUnled(ctx)
			paused = r.campaign(ctx, leader.Revision, paused)
			continue
		case found:
			r.followLeader(ctx, leader)
			r.goOnUnled(ctx)
		default:
			if paused || !r.settings.FirstStart { // at the first start of all others may campaign by now
				r.goOnUnled(ctx)
			}
			paused = r.campaign(ctx, 0, paused)
			continue
		}
		paused = false
	}
}

// goOnUnled lets a process that has just started read for itself, since no leader tells it what
// there is. A process that knows no configuration yet can't lead.
func (r *Router) goOnUnled(ctx context.Context) {
	r.unled.close()
	r.awaitConfig(ctx)
	if !r.settings.FirstStart {
		r.recordsRead.Do(func() { r.readRecords(ctx) })
	}
}

// readRecords takes the owners from where they are stored, for a process that has just started or
// does not reach the leader. Where there are many workers it does so only if nobody tells the
// owners for a while: each of hundreds of processes that start together would read as much as all
// workers' entries take.
func (r *Router) readRecords(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, sizePatience)
	defer cancel()
	select {
	case <-r.sized.closed:
	case <-bounded.Done():
	}
	if !r.large.Load() {
		r.takeRecords(ctx)
		return
	}
	go func() {
		never := make(chan struct{})
		if !r.awaitWhile(ctx, listPatience, r.knowsOwners, never) {
			r.takeRecords(ctx)
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
		clock.Sleep(ctx, configPause)
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

func (r *Router) look(ctx context.Context) (election.Leader, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	return r.election.Look(bounded)
}

// awaitChange waits until the service no longer names a leader that was lost, or
// something answers again where it was.
func (r *Router) awaitChange(ctx context.Context, leader election.Leader) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{}, 3)
	go func() {
		r.awaitOther(bounded, leader)
		changed <- struct{}{}
	}()
	go func() {
		r.election.AwaitAnother(bounded, leader)
		changed <- struct{}{}
	}()
	go func() {
		for answered := false; !answered && bounded.Err() == nil; {
			clock.Sleep(bounded, lookPause)
			_, answered = peerlink.QueryLeadership(bounded, leader.Address, 0)
		}
		changed <- struct{}{}
	}()
	<-changed
}

// takeRecords takes the owners from where they are stored.
func (r *Router) takeRecords(ctx context.Context) {
	config := r.proxy.Config()
	if config == nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
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
		clock.Sleep(ctx, r.campaignPause())
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
			clock.Sleep(ctx, lookPause)
		}
		return
	}
	tenureCtx, stop := context.WithCancel(ctx)
	defer stop()
	go tenure.Keep(tenureCtx)
	r.standby.Stop(tenure.Leader.Term)
	until := r.holdsEnd(ctx, tenure)
	r.log.Line(decision.KindElected).Int64("term", int64(tenure.Leader.Term)).Time("holds_until", until).Msg("")
	go r.reportToSelf(tenureCtx)
	go r.keepSuspects(tenureCtx, tenure)
	go r.quotas.coordinate(tenureCtx, tenure)
	r.limits.lead(tenure)
	r.leaving.member.Lead(true)
	r.leaderDeaf.Store(false) // that was the leader before
	r.nodes.Store(int32(r.hub.Nodes()))
	r.keeper.Lead(tenureCtx, tenure, until)
	r.limits.stopLeading() // before another may lead
	r.leaving.member.Lead(false)
	resign, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	tenure.Resign(resign)
	r.log.Line(decision.KindResigned).Int64("term", int64(tenure.Leader.Term)).Msg("")
}

// campaignPause lets processes campaign one after the other, and those on the strongest
// machines first: the leader speaks with all others. Who knows of no others waits by
// how far its machine is from strong.
func (r *Router) campaignPause() time.Duration {
	pause := spread(campaignSpread)
	strongest := math.Float64frombits(r.strongest.Load())
	switch {
	case strongest == 0:
		pause += time.Duration((1 - r.hub.Strength) * float64(weakPause))
	case r.hub.Strength < strongest:
		pause += weakPause
	}
	return pause + r.farPause()
}

// farPause lets processes of the store's region campaign first: each renewal of the lease and
// all that the leader reads and writes would cross between regions, and a region that is cut off
// from the store would take the leader with it. Which region that is shows by how long the
// quickest call took.
func (r *Router) farPause() time.Duration {
	if r.places.Regions() <= 1 {
		return 0
	}
	return min(longestFarPause, farFactor*r.store.distance())
}

// spread returns a random part of a time, so that processes do not act all at once.
func spread(most time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(most)))
}
