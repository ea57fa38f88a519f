package history

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// retryPause is the time between tries to reach the collector.
	retryPause = 50 * time.Millisecond
	// postTimeout bounds one try.
	postTimeout = 5 * time.Second
	// maxLocal bounds what a process keeps of its own lines.
	maxLocal = 50_000
)

// Recorder keeps a process's newest lines in memory and sends them to a collector as
// they come. Lines that come while a POST is under way go together in the next.
// It is safe for concurrent use.
type Recorder struct {
	url    string
	client *http.Client
	local  Collector
	wake   chan struct{}

	mu      sync.Mutex
	pending []Line
	waiting []chan struct{}
}

// NewRecorder returns a recorder that sends to the collector at url; an empty
// url keeps the lines in memory only.
func NewRecorder(url string) *Recorder {
	return &Recorder{
		url:    url,
		client: &http.Client{Transport: &http.Transport{}, Timeout: postTimeout},
		local:  Collector{limit: maxLocal},
		wake:   make(chan struct{}, 1),
	}
}

// Record takes a line. The channel is closed once the collector has stored it.
func (r *Recorder) Record(line Line) <-chan struct{} {
	r.local.Add(line)
	stored := make(chan struct{})
	if r.url == "" {
		close(stored)
		return stored
	}
	r.mu.Lock()
	r.pending = append(r.pending, line)
	r.waiting = append(r.waiting, stored)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return stored
}

// History returns the newest lines of this process.
func (r *Recorder) History() History {
	return r.local.History()
}

// Run sends lines until ctx ends, then sends what is left once.
func (r *Recorder) Run(ctx context.Context) {
	defer r.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			r.sendPending(context.WithoutCancel(ctx))
			return
		case <-r.wake:
		}
		for !r.sendPending(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(retryPause):
			}
		}
	}
}

// sendPending reports whether all lines that were pending are stored. Lines of
// a failed try are sent again; a collector keeps the last of each execution.
func (r *Recorder) sendPending(ctx context.Context) bool {
	r.mu.Lock()
	lines, waiting := r.pending, r.waiting
	r.pending, r.waiting = nil, nil
	r.mu.Unlock()
	if len(lines) == 0 || r.post(ctx, lines) {
		for _, stored := range waiting {
			close(stored)
		}
		return true
	}
	r.mu.Lock()
	r.pending = append(lines, r.pending...)
	r.waiting = append(waiting, r.waiting...)
	r.mu.Unlock()
	return false
}

func (r *Recorder) post(ctx context.Context, lines []Line) bool {
	var body bytes.Buffer
	writer := wire.NewLineWriter(&body)
	for _, line := range lines {
		if err := writer.Write(line); err != nil {
			panic("a line of history must encode: " + err.Error())
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, &body)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
