package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lameDuck is how long kept-alive connections of callers stay open after
	// the gateway stopped listening. A request that is already on its way then
	// is answered, with "Connection: close".
	lameDuck = 2 * time.Second
	// ledgerDrainTimeout bounds the hand-over of the ledger's slices.
	ledgerDrainTimeout = 5 * time.Second
	// drainTick is how often the drain looks for open connections.
	drainTick = 20 * time.Millisecond
)

// openConns counts callers' open connections.
type openConns struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// track follows a connection; it is an http.Server's ConnState.
func (o *openConns) track(conn net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(o.open, conn)
	}
}

func (o *openConns) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// drain stops listening and waits, without a limit, for every request in
// flight: a slow pull is never cut.
func (g *Gateway) drain(server *http.Server, listener net.Listener) {
	g.logger.Info().Msg("draining")
	g.drainLedger()
	g.stopOnce.Do(func() { close(g.stopping) })
	_ = listener.Close()
	began := time.Now()
	for g.callers.count() > 0 && time.Since(began) < lameDuck {
		time.Sleep(drainTick)
	}
	_ = server.Shutdown(context.Background())
	g.ledger.Leave(context.Background())
	g.logger.Info().Msg("drained")
}

// drainLedger hands the gateway's slices of the ledger over first, while it
// still takes requests. It waits for a bounded time only: where no controller
// answers, the grants end by themselves and the copies are elsewhere.
func (g *Gateway) drainLedger() {
	g.ledger.Drain()
	began := time.Now()
	for !g.ledger.Idle() && time.Since(began) < ledgerDrainTimeout {
		time.Sleep(drainTick)
	}
}

func (g *Gateway) isStopping() bool {
	select {
	case <-g.stopping:
		return true
	default:
		return false
	}
}

// closeAfter tells the caller to use another connection while draining.
func (g *Gateway) closeAfter(writer http.ResponseWriter) {
	if g.isStopping() {
		writer.Header().Set("Connection", "close")
	}
}
