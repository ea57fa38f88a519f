// Package keeper drives the books of ownership in the process that leads: it
// loads and stores them, plans moves by measured load, and sends orders.
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

// Times of the keeper.
const (
	tick      = 50 * time.Millisecond
	planEvery = 200 * time.Millisecond
	// gaugeEvery is the pause between looks at the books for metrics.
	gaugeEvery = time.Second
	// settleTime is how long the first list of workers must stand still.
	settleTime = 1200 * time.Millisecond
	// settleLimit is the longest that the first owners wait for that.
	settleLimit = 4 * time.Second
	// goneGrace is how long a worker whose entry went keeps its keys: entries
	// come back when the service was only disturbed.
	goneGrace = 700 * time.Millisecond
	// unreadableGrace is the same where the entry stands, but was written by somebody else: the
	// worker writes its own again about every second, and the news takes a moment.
	unreadableGrace = 1500 * time.Millisecond
	// failingAfter is how long a worker must fail all orders to lose its keys.
	failingAfter = time.Second
	grantTimeout = 600 * time.Millisecond
	// releaseTimeout includes the work that still runs on the keys.
	releaseTimeout = 1500 * time.Millisecond
	// deafAfter is for how long the key-value service may not answer until the
	// other processes are told to look for changes themselves.
	deafAfter = 1100 * time.Millisecond
	// unreadAfter is the same for what the process follows there: a watch that is silent
	// answers after 1.5 s, and one that was lost unseen is given up after 2 s.
	unreadAfter = 2200 * time.Millisecond
	// loadPause is the wait after a failed read of a record.
	loadPause = 150 * time.Millisecond
)

// Keeper keeps the owners of all keyed services while its process leads.
type Keeper struct {
	// ReadUpTo returns as of when this process has read all changes of configuration and
	// workers. Nil: not known.
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
	// Nonce returns a text that is never used twice.
	Nonce func() string
	// Zone of this process's machine, and Regions those of all zones.
	Zone    string
	Regions topology.Map
	// Limits returns how many requests a second a worker takes that names a limit. Nil: none does.
	Limits func(workers.Incarnation) (perSecond float64, limited bool)
	// Leaving is called with the workers that say with an answer to an order that they leave. Nil:
	// nobody wants to know.
	OnWorkerLeaving func(workers.Incarnation)
	// Unresolved are processes that may renew what earlier leaders gave until it has
	// all ended, since they did not answer.
	Unresolved []election.Renewer
}

// RecordKey is where a service's book is stored.
func RecordKey(prefix string, service routing.ServiceName) string {
	return prefix + "keys/" + string(service)
}

// tenancy is one tenure's work.
type tenancy struct {
	*Keeper
	ctx      context.Context
	tenure   *election.Tenure
	services map[routing.ServiceName]*service
	answers  chan answer
	writes   chan written
	loaded   chan loaded
	renewers chan renewersStored
	standbys standbys
	until    time.Time
	began    time.Time
	// refreshed looks for how long the machine was suspended since the last look.
	refreshed func() time.Duration
	// listChanged is when the list of workers last changed.
	listChanged time.Time
}

// answer is the end of an order.
type answer struct {
	of    *service
	order owner.Order
	reply owner.Reply
}

// Lead keeps the owners until ctx ends or the tenure is over. until is when all
// holds that earlier leaders gave have surely ended.
func (k *Keeper) Lead(ctx context.Context, tenure *election.Tenure, until time.Time) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &tenancy{
		Keeper: k, ctx: bounded, tenure: tenure, until: until, began: clock.Now(), listChanged: clock.Now(),
		services: map[routing.ServiceName]*service{},
		answers:  make(chan answer, 64), writes: make(chan written, 8), loaded: make(chan loaded, 8),
		renewers: make(chan renewersStored, 1), refreshed: clock.Refresh,
	}
	k.Hub.Open(tenure.Leader.Term)
	defer k.Hub.Close()
	defer k.Metrics.ended()
	t.run()
}

func (t *tenancy) run() {
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
			t.measure(clock.Now(), report)
		case done := <-t.answers:
			t.answered(done)
		case done := <-t.writes:
			t.written(done)
		case done := <-t.loaded:
			t.take(done)
		case done := <-t.renewers:
			t.renewersWritten(done)
		}
	}
}

// step does what is due. It returns false once the tenure is over.
func (t *tenancy) step(now time.Time) bool {
	authority := t.tenure.AuthorityUntil()
	if now.After(authority.Add(t.Times.RenewalGrace)) {
		return false
	}
	if !t.Hub.Leading() {
		return false
	}
	renewOnly := now.After(authority)
	t.Hub.SetLeadershipUncertain(renewOnly)
	t.Hub.SetStoreUnreachable(t.deaf(now))
	t.Hub.SetDelegationLimit(authority.Add(t.Times.RenewalGrace))
	if !renewOnly {
		t.ensure()
		t.appoint(now)
	}
	for _, of := range t.services {
		if of.book == nil {
			continue
		}
		t.tellLives(now, of)
		if !renewOnly {
			t.plan(now, of)
			t.store(of)
		}
		of.book.SetDelegations(t.Hub.Delegations(of.name))
		for _, order := range of.book.Due(now, renewOnly) {
			go t.send(of, order)
		}
		t.publish(of)
		t.gauge(now, of)
	}
	return true
}

// deaf reports whether the routers are to read changes themselves: the service has not
// answered lately, or what this process follows there has not come.
func (t *tenancy) deaf(now time.Time) bool {
	if now.Sub(t.tenure.LastContact()) > deafAfter {
		return true
	}
	return t.SyncedAt != nil && now.Sub(t.SyncedAt()) > unreadAfter
}

// ensure begins to load the books of keyed services that are new.
func (t *tenancy) ensure() {
	config := t.Config()
	if config == nil {
		return
	}
	for name, described := range config.Services {
		if described.Keyed && t.services[name] == nil {
			t.services[name] = newService(name)
			go t.load(name)
		}
	}
}

// send sends one order and reports its end.
func (t *tenancy) send(of *service, order owner.Order) {
	var reply owner.Reply
	began := clock.Now()
	if t.refreshed() > 0 { // decided before the machine was suspended: others may lead by now
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
	t.Metrics.answered(of.name, order, reply.Outcome, clock.Since(began))
	if reply.Leaving && t.OnWorkerLeaving != nil {
		t.OnWorkerLeaving(workers.Incarnation{ID: order.Target.ID, StartTime: order.Target.Incarnation})
	}
	select {
	case t.answers <- answer{of: of, order: order, reply: reply}:
	case <-t.ctx.Done():
	}
}

func (t *tenancy) answered(done answer) {
	done.of.book.HandleReply(clock.Now(), done.order, done.reply)
	if done.reply.Outcome != owner.OutcomeDone {
		t.Log.Line(decision.KindOrderFailed).Str("service", string(done.of.name)).
			Str("worker", string(done.order.Target.ID)).Bool("release", done.order.Release).
			Int("from", done.order.Keys.From).Int("to", done.order.Keys.To).
			Int64("fence", int64(done.order.Fence)).Str("outcome", string(done.reply.Outcome)).Msg("")
	}
}

// gauge shows the state of a book now and then: looking through all of it at each step
// would cost as much as the step.
func (t *tenancy) gauge(now time.Time, of *service) {
	if now.Before(of.nextGauge) {
		return
	}
	of.nextGauge = now.Add(gaugeEvery)
	t.Metrics.book(of.name, of.book.SpanCount(), of.book.MinHoldRemaining(now))
}

// publish tells the routers of changed owners.
func (t *tenancy) publish(of *service) {
	if version := of.book.HoldsVersion(); version != of.publishedHolds {
		of.publishedHolds = version
		t.Hub.PublishHolds(of.name, version, of.book.Holds())
	}
	if of.book.AssignmentVersion() == of.published {
		return
	}
	of.published = of.book.AssignmentVersion()
	owners := of.book.Assignment()
	t.Table.Replace(t.tenure.Leader.Term, of.name, owners)
	t.Hub.Publish(of.name, owners)
}

// measure takes what the routers saw.
func (t *tenancy) measure(now time.Time, report peerlink.Report) {
	for name, pairs := range report.Keys {
		of := t.services[name]
		if of == nil {
			continue
		}
		counts := map[int]int{}
		for index := 0; index+1 < len(pairs); index += 2 {
			counts[pairs[index]] += pairs[index+1]
		}
		of.loads.Add(now, counts)
	}
	for id, sum := range report.ResponseTimes {
		if worker, known := t.Workers.Get(id); known && t.services[worker.Service] != nil && sum[0] > 0 {
			t.services[worker.Service].measured(now, worker, sum[0], time.Duration(sum[1])*time.Millisecond)
		}
	}
	for id, sum := range report.Backoffs {
		if worker, known := t.Workers.Get(id); known && t.services[worker.Service] != nil {
			t.services[worker.Service].backedOff(now, id, sum[0], time.Duration(sum[1])*time.Millisecond)
		}
	}
}
