package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// QueryNotices queries the leader at an address for the notices that workers send in their
// responses.
type QueryNotices func(ctx context.Context, leader string) (peerlink.WorkerNotices, error)

// Notices are the notices that workers send in their responses, as the leader knows them.
type Notices struct {
	Limits   []WorkerLimit      `json:"limits,omitempty"`
	Leaving  []LeavingWorker    `json:"leaving,omitempty"`
	Backoffs []RequestedBackoff `json:"backoffs,omitempty"`
	// Error is the reason why the leader was not queried or did not respond.
	Error string `json:"notices_error,omitempty"`
}

// WorkerLimit is a worker's limit of requests per second from all routers together.
type WorkerLimit struct {
	Worker    workers.ID `json:"worker"`
	PerSecond float64    `json:"per_second"`
	// SinceSeconds is how long the leader has known the limit at its present value.
	SinceSeconds float64 `json:"since_seconds"`
}

// LeavingWorker is a worker that signals in its responses that it is leaving, whatever the
// state in its entry.
type LeavingWorker struct {
	Worker workers.ID `json:"worker"`
	// Entry is the state in its entry; empty if it has no valid entry.
	Entry workers.State `json:"entry,omitempty"`
	// SinceSeconds is the time since a router first received the signal.
	SinceSeconds float64 `json:"since_seconds"`
}

// RequestedBackoff is a backoff that an owner of keys has requested from routers.
type RequestedBackoff struct {
	Worker workers.ID `json:"worker"`
	// Share is the share of routers that currently back off.
	Share float64 `json:"share"`
	// LeftSeconds is the time until the last of them stops backing off.
	LeftSeconds float64 `json:"left_seconds"`
}

// queryNotices queries the leader for the workers' notices, which are not in the key-value
// service. states holds the states in the workers' entries.
func (o *Overview) queryNotices(ctx context.Context, query QueryNotices, states map[workers.ID]workers.State) {
	if o.Leader == "" {
		o.Notices.Error = "no router leads"
		return
	}
	notices, err := query(ctx, o.Leader)
	if err != nil {
		o.Notices.Error = err.Error()
		return
	}
	for _, limit := range notices.Limits {
		o.Limits = append(o.Limits, WorkerLimit{Worker: limit.Worker, PerSecond: limit.PerSecond, SinceSeconds: millisToSeconds(limit.AgeMillis)})
	}
	for _, leaving := range notices.Leaving {
		o.Leaving = append(o.Leaving, LeavingWorker{Worker: leaving.Worker, Entry: states[leaving.Worker], SinceSeconds: millisToSeconds(leaving.AgeMillis)})
	}
	for _, backoff := range notices.Backoffs {
		o.Backoffs = append(o.Backoffs, RequestedBackoff{Worker: backoff.Worker, Share: backoff.Share, LeftSeconds: millisToSeconds(backoff.RemainingMillis)})
	}
}

func millisToSeconds(millis int64) float64 { return float64(millis) / 1000 }

// printNotices prints the workers' notices.
func (o Output) printNotices(notices Notices) {
	if notices.Error != "" {
		fmt.Fprintf(o.Result, "what workers say of themselves is not known: %s\n", notices.Error)
		return
	}
	fmt.Fprintf(o.Result, "workers that name a limit %d\n", len(notices.Limits))
	table := newTable(o.Result)
	for index, limit := range notices.Limits {
		if index == 0 {
			fmt.Fprintln(table, "WORKER\tREQUESTS A SECOND\tFOR")
		}
		fmt.Fprintf(table, "%s\t%g\t%s\n", limit.Worker, limit.PerSecond, roundToSeconds(limit.SinceSeconds))
	}
	table.Flush()
	fmt.Fprintf(o.Result, "workers that say that they leave %d\n", len(notices.Leaving))
	for index, leaving := range notices.Leaving {
		if index == 0 {
			fmt.Fprintln(table, "WORKER\tENTRY\tFOR")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", leaving.Worker, orDash(string(leaving.Entry)), roundToSeconds(leaving.SinceSeconds))
	}
	table.Flush()
	fmt.Fprintf(o.Result, "owners of keys that ask for backoffs %d\n", len(notices.Backoffs))
	for index, backoff := range notices.Backoffs {
		if index == 0 {
			fmt.Fprintln(table, "WORKER\tROUTERS\tSTILL")
		}
		fmt.Fprintf(table, "%s\t%.0f%%\t%s\n", backoff.Worker, 100*backoff.Share, roundToSeconds(backoff.LeftSeconds))
	}
	table.Flush()
}

func roundToSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(time.Second)
}
