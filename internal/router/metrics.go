package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
)

// registerMetrics registers metrics of this process's state.
func (r *Router) registerMetrics(registerer prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("shalefork_router_ready", "1 while the process calls itself ready.", func() float64 { return gaugeValue(r.ready()) })
	gauge("shalefork_router_leading", "1 while the process leads.", func() float64 { return gaugeValue(r.hub.Leading()) })
	gauge("shalefork_router_cut_off", "1 while new connections to nearly all workers fail, and none answers on an open one.",
		func() float64 { return gaugeValue(r.reach.CutOff(clock.Now())) })
	gauge("shalefork_router_routers", "Routers that the leader knows of.", func() float64 { return float64(r.nodes.Load()) })
	gauge("shalefork_router_followers", "Routers that follow this one as their relay.", func() float64 { return float64(r.hub.Followers()) })
	gauge("shalefork_router_told", "1 while a leader or a relay tells this process of changes, 0 while it reads them itself.",
		func() float64 { return gaugeValue(r.updates.live()) })
	gauge("shalefork_router_workers", "Workers that are announced.", func() float64 { return float64(r.workers.Count()) })
	gauge("shalefork_router_kept_workers", "Workers that are kept although their entries went: these may have lapsed with the key-value service.",
		func() float64 { return float64(r.workers.KeptCount()) })
	gauge("shalefork_router_evacuated_zones", "Zones whose workers are to get no work.", func() float64 {
		return float64(len(r.workers.EvacuatedZones()))
	})
	gauge("shalefork_router_cold_workers", "Workers that say that they warm up.", func() float64 { return float64(r.workers.ColdCount()) })
	gauge("shalefork_router_leaving_workers", "Workers that have said in an answer that they leave, here or to another router.",
		func() float64 { return float64(r.leaving.replica.Table().ActiveCount()) })
	gauge("shalefork_router_limited_workers", "Workers that name a limit of requests a second from all routers together.",
		func() float64 { return float64(r.limits.table.ActiveCount()) })
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shalefork_router_unreadable_limits_total", Help: "Answers of workers that named a limit which can't be read.",
	}, func() float64 { return float64(r.limits.unreadable.Load()) }))
	gauge("shalefork_router_suspected_requests", "Requests that were under way at workers that crashed, and have not run to a good end since.",
		func() float64 { suspects, _ := r.proxy.Suspects.Count(); return float64(suspects) })
	gauge("shalefork_router_quarantined_requests", "Requests that are sent to no worker, since they have crashed several.",
		func() float64 { _, quarantined := r.proxy.Suspects.Count(); return float64(quarantined) })
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shalefork_router_suspects_dropped_total", Help: "Suspected requests that were forgotten to make room for others.",
	}, func() float64 { return float64(r.proxy.Suspects.Evicted()) }))
	gauge("shalefork_router_pipelined_requests", "Requests that run behind others on their connections.", func() float64 {
		return float64(r.pipelined.Running())
	})
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shalefork_router_pipelined_requests_total", Help: "Requests that have run behind others on their connections.",
	}, func() float64 { return float64(r.pipelined.Served()) }))
	gauge("shalefork_router_suspended_seconds", "For how long the machine was suspended since the process began.",
		func() float64 { return clock.Suspended().Seconds() })
	gauge("shalefork_router_config_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if config := r.proxy.Config(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	gauge("shalefork_router_config_age_seconds", "For how long it is in force here.", func() float64 { return r.proxy.ConfigAge().Seconds() })
	gauge("shalefork_router_owners_age_seconds", "Since when the owners of keys have not changed here.", func() float64 {
		_, age := r.table.Age()
		return age.Seconds()
	})
	registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shalefork_router_log_lines_dropped_total", Help: "Log lines that found the writer busy.",
	}, func() float64 { return float64(r.log.Dropped()) }))
}

func gaugeValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// meteredStore counts and times the calls to a store.
type meteredStore struct {
	coord.Store
	calls   *prometheus.CounterVec
	latency *prometheus.HistogramVec
	// minLatency is the duration of the fastest call in nanoseconds; zero if there was none.
	minLatency atomic.Int64
}

// roundTrip returns the duration of the fastest call so far, which is mostly network round trip to
// the service; zero if there was none.
func (s *meteredStore) roundTrip() time.Duration { return time.Duration(s.minLatency.Load()) }

// noteLatency records the duration of a call.
func (s *meteredStore) noteLatency(latency time.Duration) {
	for {
		fastest := s.minLatency.Load()
		if fastest > 0 && fastest <= int64(latency) || s.minLatency.CompareAndSwap(fastest, max(1, int64(latency))) {
			return
		}
	}
}

// storeBuckets are upper bounds in seconds.
var storeBuckets = []float64{0.003, 0.01, 0.03, 0.1, 0.3, 1, 3}

func meterStore(store coord.Store, registerer prometheus.Registerer) *meteredStore {
	metered := &meteredStore{
		Store: store,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_store_calls_total", Help: "Calls to the key-value service by what came of them.",
		}, []string{"call", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shalefork_router_store_seconds", Help: "Time of calls to the key-value service, watches left out.", Buckets: storeBuckets,
		}, []string{"call"}),
	}
	registerer.MustRegister(metered.calls, metered.latency)
	return metered
}

// outcomeLabel returns the metric label for the result of a call.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, coord.ErrConflict):
		return "conflict"
	case errors.Is(err, coord.ErrRefused):
		return "refused"
	case errors.Is(err, coord.ErrNoHistory):
		return "no-history"
	case errors.Is(err, coord.ErrNoLease):
		return "no-lease"
	case errors.Is(err, context.Canceled):
		return "given-up"
	}
	return "unanswered"
}

func (s *meteredStore) record(call string, began time.Time, err error) {
	took := clock.Since(began)
	s.calls.WithLabelValues(call, outcomeLabel(err)).Inc()
	s.latency.WithLabelValues(call).Observe(took.Seconds())
	if err == nil {
		s.noteLatency(took)
	}
}

// Get implements coord.Store.
func (s *meteredStore) Get(ctx context.Context, key string) (coord.Item, bool, error) {
	began := clock.Now()
	item, found, err := s.Store.Get(ctx, key)
	s.record("get", began, err)
	return item, found, err
}

// ListPage implements coord.Store.
func (s *meteredStore) ListPage(ctx context.Context, prefix, after string) (coord.Page, error) {
	began := clock.Now()
	page, err := s.Store.ListPage(ctx, prefix, after)
	s.record("list", began, err)
	return page, err
}

// Watch implements coord.Store.
func (s *meteredStore) Watch(ctx context.Context, prefix string, after coord.Revision, wait time.Duration) ([]coord.Event, coord.Revision, error) {
	events, at, err := s.Store.Watch(ctx, prefix, after, wait)
	s.calls.WithLabelValues("watch", outcomeLabel(err)).Inc()
	return events, at, err
}

// Commit implements coord.Store.
func (s *meteredStore) Commit(ctx context.Context, txn coord.Txn) (coord.Revision, error) {
	began := clock.Now()
	revision, err := s.Store.Commit(ctx, txn)
	s.record("commit", began, err)
	return revision, err
}

// GrantLease implements coord.Store.
func (s *meteredStore) GrantLease(ctx context.Context, ttl time.Duration) (coord.LeaseID, time.Duration, error) {
	began := clock.Now()
	id, holds, err := s.Store.GrantLease(ctx, ttl)
	s.record("lease", began, err)
	return id, holds, err
}

// KeepLease implements coord.Store.
func (s *meteredStore) KeepLease(ctx context.Context, lease coord.LeaseID) error {
	began := clock.Now()
	err := s.Store.KeepLease(ctx, lease)
	s.record("keep", began, err)
	return err
}

// EndLease implements coord.Store.
func (s *meteredStore) EndLease(ctx context.Context, lease coord.LeaseID) error {
	began := clock.Now()
	err := s.Store.EndLease(ctx, lease)
	s.record("end", began, err)
	return err
}
