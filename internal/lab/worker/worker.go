package worker

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/wire"
	"github.com/shalefork/shalefork/ownership"
)

// Paths that a worker answers besides those of package wire.
const (
	// PathHealth answers a HealthReport.
	PathHealth = "/lab/health"
	// PathLoad answers a LoadReport.
	PathLoad = "/lab/load"
)

// readHeaderTimeout closes connections that send nothing.
const readHeaderTimeout = 10 * time.Second

// worker is one running stand-in.
type worker struct {
	config   Config
	process  string
	log      *log.Logger
	owner    *ownership.Owner
	controls *controls
	gate     *gate
	slots    *slots
	recorder *history.Recorder
	pace     *pace
	load     *loadHistory
	numbers  numbers
	previous previousAnswer
}

func newWorker(config Config) *worker {
	w := &worker{
		config:   config,
		process:  rand.Text(),
		log:      config.Logger,
		controls: newControls(config),
		gate:     newGate(),
		slots:    newSlots(config.Slots, config.Queue),
		recorder: history.NewRecorder(config.History),
		pace:     newPace(config),
		load:     &loadHistory{},
	}
	if w.log == nil {
		w.log = &log.DefaultLogger
	}
	w.controls.freeze = w.gate.freeze
	w.controls.cold = w.pace.restart
	w.owner = ownership.New(ownership.Options{
		Cell:   string(config.Cell),
		Token:  config.Token,
		Name:   string(config.Name),
		Queued: func() int { return int(w.slots.queued.Load()) },
	})
	return w
}

// Run serves until ctx ends, then drains: it asks for relief of all that it
// holds, finishes what runs, and returns. The error is of class Error.
func Run(ctx context.Context, config Config) error {
	if err := config.Validate(); err != nil {
		return err
	}
	opened, err := new(net.ListenConfig).Listen(ctx, "tcp", config.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	return newWorker(config).serve(ctx, opened)
}

func (w *worker) serve(ctx context.Context, opened net.Listener) error {
	limit := func() int { return w.controls.current().Connections }
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: readHeaderTimeout}
	ctx, fail := context.WithCancel(ctx)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { w.recorder.Run(background); return nil })
	group.Go(func() error { w.load.run(background, w.slots); return nil })
	group.Go(func() error {
		defer fail()
		return serveError(server.Serve(&listener{Listener: opened, gate: w.gate, limit: limit}))
	})
	group.Go(func() error {
		defer stop()
		<-ctx.Done()
		return w.stop(background, server)
	})
	w.log.Info().Str("server", string(w.config.Name)).Str("address", opened.Addr().String()).Msg("worker started")
	return Error.Wrap(group.Wait())
}

func serveError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop drains the grants, then lets the open requests end.
func (w *worker) stop(ctx context.Context, server *http.Server) error {
	w.log.Info().Str("server", string(w.config.Name)).Msg("worker draining")
	w.controls.noteDraining(time.Now())
	if w.config.DrainTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.config.DrainTimeout)
		defer cancel()
	}
	drainErr := w.owner.Drain(ctx)
	shutdownErr := server.Shutdown(ctx)
	if drainErr != nil || shutdownErr != nil {
		_ = server.Close()
	}
	w.log.Info().Str("server", string(w.config.Name)).Msg("worker stopped")
	return errors.Join(drainErr, shutdownErr)
}

// handler tells the lab's own paths from renewals and requests.
func (w *worker) handler() http.Handler {
	granted := w.owner.Wrap(http.HandlerFunc(w.serveGranted))
	ungranted := w.requireToken(http.HandlerFunc(w.serveUngranted))
	mux := http.NewServeMux()
	mux.Handle(PathControl, w.controls)
	mux.HandleFunc("GET "+history.PathHistory, w.serveHistory)
	mux.HandleFunc("GET "+PathHealth, w.serveHealth)
	mux.HandleFunc("GET "+PathLoad, w.serveLoad)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		request = withArrival(writer, request)
		if request.URL.Path != wire.PathRenew && w.controls.current().IgnoreFences {
			ungranted.ServeHTTP(writer, request)
			return
		}
		granted.ServeHTTP(writer, request)
	})
	return mux
}

// serveHistory answers the executions of this process, one JSON line each.
func (w *worker) serveHistory(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/jsonl")
	lines := wire.NewLineWriter(writer)
	for _, execution := range w.recorder.History().Executions {
		if err := lines.Write(history.Line{Execution: &execution}); err != nil {
			return
		}
	}
}
