package router

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
)

// Pauses between attempts to open a port that another process uses.
const (
	minPortPause = 20 * time.Millisecond
	maxPortPause = time.Second
)

// listeners are the listeners without which a process can't serve.
type listeners struct {
	clients, ready, peers net.Listener
}

// close closes all open listeners.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.clients, l.ready, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// openListeners opens the listeners, and waits for ports that are in use: by the previous process, which may
// still be ending, or as the local port of an outgoing connection. It opens the port for clients last, so
// that none connects while others are awaited. If ctx ends first, some listeners are nil.
func (r *Router) openListeners(ctx context.Context) (listeners, error) {
	var opened listeners
	for _, target := range []struct {
		into    *net.Listener
		address string
	}{
		{&opened.peers, r.settings.PeerListen}, {&opened.ready, r.settings.ReadyListen},
		{&opened.clients, r.settings.Listen},
	} {
		listener, err := r.listen(ctx, target.address, decision.KindPortTaken)
		if err != nil || listener == nil {
			return opened, err
		}
		*target.into = listener
	}
	return opened, nil
}

// listen opens a port, and waits while it is in use. It logs lines of a kind meanwhile. It returns nil if ctx
// ends first, and an error if waiting does not help.
func (r *Router) listen(ctx context.Context, address string, kind decision.Kind) (net.Listener, error) {
	for pause := minPortPause; ctx.Err() == nil; pause = min(2*pause, maxPortPause) {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, Error.Wrap(err)
		}
		r.log.Line(kind).Str("address", address).Err(err).Msg("")
		clock.Sleep(ctx, pause)
	}
	return nil, nil
}

// serveMetrics serves the metrics until ctx ends. Requests are served also while it can't, since they matter
// more.
func (r *Router) serveMetrics(ctx context.Context) {
	listener, err := r.listen(ctx, r.settings.MetricsListen, decision.KindMetricsLost)
	if err != nil {
		r.log.Line(decision.KindMetricsLost).Str("address", r.settings.MetricsListen).Err(err).Msg("")
	}
	if listener == nil {
		return
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	serve(newProbeServer(r.gates.metrics, r.metricsHandler()), r.gates.metrics, listener)
}
