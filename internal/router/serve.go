package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/telemetry"
)

// Timing of a planned stop, as shares of the grace period.
const (
	// acceptShare is when new connections are refused, and requests that may not end in time: the
	// readiness checks that direct clients need some seconds to notice that the process is not ready.
	acceptShare = 0.45
	// answerShare is when requests in flight are answered, and finishShare is when the process ends
	// at the latest. With a grace period of 6 s, that leaves 0.1 s for the answers.
	answerShare = 0.93
	finishShare = 0.95
)

// ready reports whether clients may be sent here.
func (r *Router) ready() bool {
	return !r.stopping.Load() && r.proxy.Config() != nil && !r.proxy.Starting.Load() && r.workers.Count() > 0
}

func (r *Router) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(r.adapter.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (r *Router) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(telemetry.PathMetrics, telemetry.MetricsHandler(r.metrics))
	return mux
}

// drain ends the process: it becomes not ready at once, gives up leadership, then refuses new
// connections, and finally finishes requests in flight, those of its callers and those that other routers
// have forwarded.
func (r *Router) drain(servers []*http.Server, stopLeading context.CancelFunc, led <-chan struct{}) {
	began := clock.Now()
	grace := r.settings.Grace.Std()
	r.log.Line(decision.KindReady).Bool("ready", false).Str("reason", "asked to stop").Msg("")
	r.stopping.Store(true)
	r.proxy.BeginShutdown()
	r.pipelined.Stop()
	stopLeading()
	select {
	case <-led:
	case <-time.After(grace / 4):
	}
	clock.Sleep(context.Background(), clock.Until(began.Add(time.Duration(acceptShare*float64(grace)))))
	answerBy := began.Add(time.Duration(answerShare * float64(grace)))
	r.proxy.LimitRequests(answerBy)
	defer time.AfterFunc(clock.Until(answerBy), r.proxy.CancelRequests).Stop()
	bounded, cancel := context.WithTimeout(context.Background(), clock.Until(began.Add(time.Duration(finishShare*float64(grace)))))
	defer cancel()
	r.awaitPipelined(bounded) // the server would treat their connections as idle, or close them with the first response
	var shutdowns sync.WaitGroup
	for _, server := range servers {
		shutdowns.Go(func() { _ = server.Shutdown(bounded) })
	}
	shutdowns.Wait()
	r.awaitPipelined(bounded)
}

// pipelinedPollInterval is how often to check whether pipelined requests are answered.
const pipelinedPollInterval = 5 * time.Millisecond

// awaitPipelined waits until no pipelined request is left, or ctx ends.
func (r *Router) awaitPipelined(ctx context.Context) {
	for r.pipelined.Running() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, pipelinedPollInterval)
	}
}
