package demo

import (
	"net"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/lab/history"
)

// collector keeps the histories in the demonstration's own process, so that
// they outlive the processes that are killed.
type collector struct {
	history.Collector
	url    string
	server *http.Server
}

func newCollector(address string) (*collector, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	made := &collector{url: "http://" + address + history.PathHistory}
	mux := http.NewServeMux()
	mux.Handle(history.PathHistory, &made.Collector)
	made.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = made.server.Serve(listener) }()
	return made, nil
}

func (c *collector) close() {
	if c != nil {
		_ = c.server.Close()
	}
}
