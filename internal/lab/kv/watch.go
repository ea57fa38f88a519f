package kv

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/wire"
)

// watch streams WatchLine values until the caller goes or the store fails. The
// first line is a heartbeat, so that the caller knows that the stream is open.
func (s *Server) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		fail(writer, platform.FailureMalformed, http.StatusBadRequest, "from: expected a revision")
		return
	}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	events := make(chan platform.Event)
	ended := make(chan error, 1)
	go func() {
		ended <- s.store.Watch(ctx, query.Get("prefix"), platform.Revision(from), func(event platform.Event) {
			select {
			case events <- event:
			case <-ctx.Done():
			}
		})
	}()
	stream(writer, events, ended)
}

// stream writes the events, and heartbeats in between, until the watch ends
// or the caller is gone.
func stream(writer http.ResponseWriter, events <-chan platform.Event, ended <-chan error) {
	lines := wire.NewLineWriter(writer)
	flusher := http.NewResponseController(writer)
	heartbeat := time.NewTicker(platform.WatchHeartbeat)
	defer heartbeat.Stop()
	line := platform.WatchLine{Heartbeat: true}
	for {
		if lines.Write(line) != nil || flusher.Flush() != nil || line.Failure != nil {
			return
		}
		select {
		case event := <-events:
			line = platform.WatchLine{Event: &event}
		case err := <-ended:
			failure, _ := platform.FailureOf(err)
			line = platform.WatchLine{Failure: &failure}
		case <-heartbeat.C:
			line = platform.WatchLine{Heartbeat: true}
		}
	}
}
