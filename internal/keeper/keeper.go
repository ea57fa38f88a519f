// Package keeper assigns the keys of keyed services to workers in the process that leads: it loads
// and stores the ownership records, plans moves by measured load, and sends orders to workers.
package keeper

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// Error is the class of errors of this package.
var Error = errs.Class("keeper")

// Intervals and timeouts of the keeper.
const (
	tick         = 50 * time.Millisecond
	planInterval = 200 * time.Millisecond
	// metricsInterval is the interval at which the metrics of a ledger are updated.
	metricsInterval = time.Second
	// settleTime is how long the list of workers must be unchanged before initial owners are
	// assigned.
	settleTime = 1200 * time.Millisecond
	// maxSettleTime is the longest delay of the initial assignment by settleTime.
	maxSettleTime = 4 * time.Second
	// removedGrace is how long a worker whose entry was removed keeps its keys: entries come back
	// after a short disturbance of the key-value service.
	removedGrace = 700 * time.Millisecond
	// unreadableGrace is the same for an entry that another writer has overwritten: the worker
	// rewrites its entry about every second, and the change takes a moment to arrive.
	unreadableGrace = 1500 * time.Millisecond
	// failingAfter is how long all orders to a worker must fail before it loses its keys.
	failingAfter = time.Second
	grantTimeout = 600 * time.Millisecond
	// releaseTimeout includes the time of requests that still run on the keys.
	releaseTimeout = 1500 * time.Millisecond
	// storeTimeout is how long the key-value service may leave calls unanswered before the other
	// processes are notified to read changes themselves.
	storeTimeout = 1100 * time.Millisecond
	// staleAfter is the same for the data that this process follows there: a watch without changes
	// returns after 1.5 s, and one that the service dropped without notice is given up after 2 s.
	staleAfter = 2200 * time.Millisecond
	// retryDelay is the delay after a failed read or write of a record.
	retryDelay = 150 * time.Millisecond
)

// Keeper manages the owners of the keys of all keyed services while its process leads.
type Keeper struct {
	// SyncedAt returns the time as of which this process has read all changes of configuration and
	// workers. It is nil if that is not known.
	SyncedAt func() time.Time
	Store    coord.Store
	Prefix   string
	Orders   owner.OrderSender
	Workers  *workers.Directory
	Config   func() *routing.Config
	Hub      *peerlink.Hub
	Table    *keytable.Table
	Reports  <-chan peerlink.Report
	Log      *decision.Log
	Metrics  *Metrics
	Times    owner.Config
	// Nonce returns a unique string.
	Nonce func() string
	// Zone is the zone of this process's machine. Regions maps all zones to their regions.
	Zone    string
	Regions topology.Map
	// Limits returns the requests per second that a worker accepts if it has announced a limit. It
	// is nil if no worker does.
	Limits func(workers.Incarnation) (perSecond float64, limited bool)
	// OnWorkerLeaving is called for a worker that reports in its reply to an order that it is
	// leaving. It may be nil.
	OnWorkerLeaving func(workers.Incarnation)
	// DistrustsFailures reports whether orders may fail because this process is cut off from the workers, so
	// that failures show nothing about them. It is nil if that is not known.
	DistrustsFailures func(now time.Time) bool
	// QueryHoldEnds asks the processes that may have renewed holds which earlier leaders granted, and
	// returns when each of the given holds has ended. It is nil if none can be asked.
	QueryHoldEnds func(ctx context.Context, list []owner.InheritedHold) map[owner.InheritedHold]time.Time
}

// RecordKey returns the key of a service's ownership record.
func RecordKey(prefix string, service routing.ServiceName) string {
	return prefix + "keys/" + string(service)
}

// tenureKeeper is the state of a Keeper during one tenure.
type tenureKeeper struct {
	*Keeper
	ctx        context.Context
	tenure     *election.Tenure
	services   map[routing.ServiceName]*service
	replies    chan orderResult
	writes     chan writeResult
	loaded     chan loadResult
	renewers   chan storeRenewersResult
	holdEnds   chan holdEndsResult
	standbys   standbys
	holdsUntil time.Time
	startedAt  time.Time
	// suspendedFor checks for how long the machine was suspended since the last check.
	suspendedFor func() time.Duration
	// listChanged is the time of the last change of the list of workers.
	listChanged time.Time
}

// orderResult is an order with the reply to it.
type orderResult struct {
	service *service
	order   owner.Order
	reply   owner.Reply
}

// Lead manages the owners until ctx ends or the tenure is over. At holdsUntil all holds granted by
// earlier leaders have expired.
func (k *Keeper) Lead(ctx context.Context, tenure *election.Tenure, holdsUntil time.Time) {
	tenureCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &tenureKeeper{
		Keeper: k, ctx: tenureCtx, tenure: tenure, holdsUntil: holdsUntil, startedAt: clock.Now(), listChanged: clock.Now(),
		services: map[routing.ServiceName]*service{},
		replies:  make(chan orderResult, 64), writes: make(chan writeResult, 8), loaded: make(chan loadResult, 8),
		renewers: make(chan storeRenewersResult, 1), holdEnds: make(chan holdEndsResult, 1), suspendedFor: clock.Refresh,
	}
	t.standbys.stored = tenure.StoredRenewers()
	k.Hub.Open(tenure.Leader.Term)
	defer k.Hub.Close()
	defer k.Metrics.reset()
	t.run()
}

func (t *tenureKeeper) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		changed := t.Workers.Changed()
		if !t.step(clock.Now()) {
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-t.tenure.Ended():
			return
		case <-t.Hub.Superseded():
			return
		case <-ticker.C:
		case <-changed:
			t.listChanged = clock.Now()
		case report := <-t.Reports:
			t.handleReport(clock.Now(), report)
		case done := <-t.replies:
			t.handleReply(done)
		case done := <-t.writes:
			t.handleWritten(done)
		case done := <-t.loaded:
			t.handleLoaded(done)
		case done := <-t.renewers:
			t.handleRenewersStored(done)
		case done := <-t.holdEnds:
			done.apply()
		}
	}
}

// step performs the work that is due. It returns false once the tenure is over.
func (t *tenureKeeper) step(now time.Time) bool {
	authority := t.tenure.AuthorityUntil()
	if now.After(authority.Add(t.Times.RenewalGrace)) {
		return false
	}
	if !t.Hub.Leading() {
		return false
	}
	renewOnly := now.After(authority)
	t.Hub.SetLeadershipUncertain(renewOnly)
	t.Hub.SetStoreUnreachable(t.storeUnreachable(now))
	t.Hub.SetDelegationLimit(authority.Add(t.Times.RenewalGrace))
	t.checkLostStandbys(now)
	if !renewOnly {
		t.loadNewServices()
		t.appointStandbys(now)
	}
	for _, svc := range t.services {
		if svc.ledger == nil {
			continue
		}
		t.observeIncarnations(now, svc)
		if !renewOnly {
			if t.DistrustsFailures == nil || !t.DistrustsFailures(now) {
				t.plan(now, svc)
			} else {
				svc.ledger.DistrustFailures()
			}
			t.storeRecord(svc)
		}
		t.queryHoldEnds(now, svc)
		svc.ledger.SetDelegations(t.Hub.Delegations(svc.name))
		for _, order := range svc.ledger.Due(now, renewOnly) {
			go t.send(svc, order)
		}
		t.logDelayedGrants(svc)
		t.publish(svc)
		t.updateMetrics(now, svc)
	}
	return true
}

// storeUnreachable reports whether the routers must read changes themselves: the key-value service
// has not answered recently, or the data that this process follows there is out of date.
func (t *tenureKeeper) storeUnreachable(now time.Time) bool {
	if now.Sub(t.tenure.LastContact()) > storeTimeout {
		return true
	}
	return t.SyncedAt != nil && now.Sub(t.SyncedAt()) > staleAfter
}

// loadNewServices starts to load the records of keyed services that are new in the configuration.
func (t *tenureKeeper) loadNewServices() {
	config := t.Config()
	if config == nil {
		return
	}
	for name, service := range config.Services {
		if service.Keyed && t.services[name] == nil {
			t.services[name] = newService(name)
			go t.loadRecord(name)
		}
	}
}

// send sends one order and passes on the reply.
func (t *tenureKeeper) send(svc *service, order owner.Order) {
	var reply owner.Reply
	start := clock.Now()
	if t.suspendedFor() > 0 { // the order predates a suspension: another process may lead by now
		reply.Outcome = owner.OutcomeUnreachable
	} else if order.Release {
		bounded, cancel := context.WithTimeout(t.ctx, releaseTimeout)
		defer cancel()
		reply = t.Orders.Release(bounded, order.Target, order.Keys, order.Fence)
	} else {
		bounded, cancel := context.WithTimeout(t.ctx, grantTimeout)
		defer cancel()
		reply = t.Orders.Grant(bounded, order.Target, order.Grant)
	}
	t.Metrics.observeOrder(svc.name, order, reply.Outcome, clock.Since(start))
	if reply.Leaving && t.OnWorkerLeaving != nil {
		t.OnWorkerLeaving(workers.Incarnation{ID: order.Target.ID, StartTime: order.Target.StartTime})
	}
	select {
	case t.replies <- orderResult{service: svc, order: order, reply: reply}:
	case <-t.ctx.Done():
	}
}

func (t *tenureKeeper) handleReply(done orderResult) {
	done.service.ledger.HandleReply(clock.Now(), done.order, done.reply)
	if done.reply.Outcome != owner.OutcomeDone {
		t.Log.Line(decision.KindOrderFailed).Str("service", string(done.service.name)).
			Str("worker", string(done.order.Target.ID)).Bool("release", done.order.Release).
			Int("from", done.order.Keys.From).Int("to", done.order.Keys.To).
			Int64("fence", int64(done.order.Fence)).Str("outcome", string(done.reply.Outcome)).Msg("")
	}
}

// logDelayedGrants logs and counts for which previous owners keys wait, or no longer wait, because they may
// accept a grant with a delay.
func (t *tenureKeeper) logDelayedGrants(svc *service) {
	for _, wait := range svc.ledger.TakeDelayedGrantWaits() {
		t.Metrics.countDelayedGrant(svc.name, wait.Awaited)
		t.Log.Line(decision.KindDelayedGrant).Str("service", string(svc.name)).Str("worker", string(wait.Worker)).
			Int("from", wait.Keys.From).Int("to", wait.Keys.To).Bool("awaited", wait.Awaited).
			Float64("remaining", wait.Remaining.Seconds()).Msg("")
	}
}

// updateMetrics updates the metrics of a ledger once per metricsInterval: computing them takes a
// pass over the whole ledger, which costs as much as a step.
func (t *tenureKeeper) updateMetrics(now time.Time, svc *service) {
	if now.Before(svc.nextMetrics) {
		return
	}
	svc.nextMetrics = now.Add(metricsInterval)
	t.Metrics.setLedger(svc.name, svc.ledger.SpanCount(), svc.ledger.MinHoldRemaining(now))
}

// publish sends changed holds to the standbys and changed owners to the routers.
func (t *tenureKeeper) publish(svc *service) {
	if version := svc.ledger.HoldsVersion(); version != svc.publishedHolds {
		svc.publishedHolds = version
		t.Hub.PublishHolds(svc.name, version, svc.ledger.Holds())
	}
	if svc.ledger.AssignmentVersion() == svc.publishedAssignment {
		return
	}
	svc.publishedAssignment = svc.ledger.AssignmentVersion()
	owners := svc.ledger.Assignment()
	t.Table.Replace(t.tenure.Leader.Term, svc.name, owners)
	t.Hub.Publish(svc.name, owners)
}

// handleReport records the loads, response times and backoffs that a router reports.
func (t *tenureKeeper) handleReport(now time.Time, report peerlink.Report) {
	for name, pairs := range report.Keys {
		svc := t.services[name]
		if svc == nil {
			continue
		}
		counts := map[int]int{}
		for index := 0; index+1 < len(pairs); index += 2 {
			counts[pairs[index]] += pairs[index+1]
		}
		svc.loads.Add(now, counts)
	}
	for id, sum := range report.ResponseTimes {
		if worker, known := t.Workers.Get(id); known && t.services[worker.Service] != nil && sum[0] > 0 {
			t.services[worker.Service].addResponseTimes(now, worker, sum[0], time.Duration(sum[1])*time.Millisecond)
		}
		t.observeResponse(id)
	}
	for id, sum := range report.Backoffs {
		if worker, known := t.Workers.Get(id); known && t.services[worker.Service] != nil {
			t.services[worker.Service].addBackoffs(now, id, sum[0], time.Duration(sum[1])*time.Millisecond)
		}
	}
}

// observeResponse passes on that requests reach a worker. Its entry may have vanished, so its service is not
// looked up.
func (t *tenureKeeper) observeResponse(worker workers.ID) {
	for _, svc := range t.services {
		if svc.ledger != nil {
			svc.ledger.ObserveResponse(worker)
		}
	}
}
