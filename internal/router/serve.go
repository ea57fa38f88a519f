package router

import (
	"context"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/telemetry"
)

// Times of a planned stop, as shares of the grace.
const (
	// acceptShare of the grace passes before new connections are refused: the
	// entry needs some seconds to see that the process is not ready.
	acceptShare = 0.45
	// answerShare of the grace passes before what is still under way is answered, and
	// finishShare before the process ends at the latest: 0.1 s for answers where the grace
	// is 6 s.
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

// drain ends the process: not ready at once, leadership given up, then new
// connections refused, then all that is under way finished.
func (r *Router) drain(server *http.Server, stopLeading context.CancelFunc, led <-chan struct{}) {
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
	defer time.AfterFunc(clock.Until(began.Add(time.Duration(answerShare*float64(grace)))), r.proxy.CancelRequests).Stop()
	bounded, cancel := context.WithTimeout(context.Background(), clock.Until(began.Add(time.Duration(finishShare*float64(grace)))))
	defer cancel()
	r.awaitPipelined(bounded) // the server takes their connections to be idle, or closes them with the first answer
	_ = server.Shutdown(bounded)
	r.awaitPipelined(bounded)
}

// pipelinedPollInterval is the pause between looks whether requests behind others are answered.
const pipelinedPollInterval = 5 * time.Millisecond

// awaitPipelined waits until no request runs behind another, or ctx ends.
func (r *Router) awaitPipelined(ctx context.Context) {
	for r.pipelined.Behind() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, pipelinedPollInterval)
	}
}
