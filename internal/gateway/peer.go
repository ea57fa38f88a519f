package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shalefork/shalefork/internal/peerauth"
)

// peerHandler serves the peer port: health and metrics to anyone, the rest to
// the cell's own processes.
func (g *Gateway) peerHandler() http.Handler {
	own := http.NewServeMux()
	g.ledger.Routes(own)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", g.health)
	mux.Handle("/", peerauth.Require(g.settings.Token, g.metrics.PeerRefused, own))
	return mux
}

// health answers 200 while the gateway takes requests.
func (g *Gateway) health(writer http.ResponseWriter, _ *http.Request) {
	if g.isStopping() {
		http.Error(writer, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ok\n"))
}

// newPeerClient returns a client to the system's own processes.
func newPeerClient(token string, dial DialFunc) *http.Client {
	base := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        backendIdleTimeout,
		MaxIdleConnsPerHost:    unboundedIdle,
	}
	return &http.Client{Transport: &peerauth.Transport{Token: token, Base: base}}
}
