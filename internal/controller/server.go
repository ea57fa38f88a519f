package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

// Paths for whoever watches the process.
const (
	PathHealth  = "/healthz"
	PathMetrics = "/metrics"
)

// Limits of one request.
const (
	maxRequestBytes   = 4 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second // a table stream sets its own
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// Handler returns all that the controller serves. Paths between the system's
// processes need the cell's token. Writes of the admin API need an operator's
// signature; its reads, health and metrics change nothing, show no secret and
// need neither.
func (c *Controller) Handler() http.Handler {
	peers := http.NewServeMux()
	peers.HandleFunc("POST "+PathMessages, c.serveMessages)
	peers.HandleFunc("POST "+PathSeal, c.serveSeal)
	peers.HandleFunc("POST "+PathRegister, c.serveRegister)
	peers.HandleFunc("POST "+PathUnregister, c.serveUnregister)
	peers.HandleFunc("GET "+wire.PathTable, c.serveTable)
	mux := http.NewServeMux()
	if c.gatherer != nil {
		mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(c.gatherer, promhttp.HandlerOpts{}))
	}
	mux.Handle("/", peerauth.Require(c.settings.Token, c.metrics.PeersRefused, peers))
	mux.HandleFunc("GET "+PathHealth, c.serveHealth)
	c.handleAdmin(mux)
	return limitBody(mux)
}

// limitBody bounds what a request may send; snapshots go to PathMessages.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		limit := int64(maxRequestBytes)
		if request.URL.Path == PathMessages {
			limit = maxMessageBytes
		}
		request.Body = http.MaxBytesReader(writer, request.Body, limit)
		next.ServeHTTP(writer, request)
	})
}

// serve answers requests until ctx ends, then lets open ones finish.
func (c *Controller) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           c.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(listener) }()
	select {
	case err := <-stopped:
		return Error.Wrap(err)
	case <-ctx.Done():
	}
	close(c.stopping)
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		server.Close()
	}
	if err := <-stopped; !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// serveHealth answers as long as the process runs; it says nothing of the cell.
func (c *Controller) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, c.identity.Load())
}

// writeJSON answers with a status and a JSON body. A failure to write is the
// reader's loss: the connection is gone.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
