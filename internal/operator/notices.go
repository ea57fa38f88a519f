package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// QueryNotices asks the router that leads, at an address, what workers say of themselves in their answers.
type QueryNotices func(ctx context.Context, leader string) (peerlink.WorkerNotices, error)

// Notices are what workers say of themselves in their answers, as the leader knows.
type Notices struct {
	Limits   []WorkerLimit      `json:"limits,omitempty"`
	Leaving  []LeavingWorker    `json:"leaving,omitempty"`
	Backoffs []RequestedBackoff `json:"backoffs,omitempty"`
	// Error says why the leader was not asked or did not answer.
	Error string `json:"notices_error,omitempty"`
}

// WorkerLimit is a worker that takes so many requests a second from all routers together.
type WorkerLimit struct {
	Worker    workers.ID `json:"worker"`
	PerSecond float64    `json:"per_second"`
	// SinceSeconds is for how long the leader has known the limit as it is.
	SinceSeconds float64 `json:"since_seconds"`
}

// Leaving is a worker that says that it leaves, whatever its entry says.
type LeavingWorker struct {
	Worker workers.ID `json:"worker"`
	// Entry is what its entry says; empty if it has none.
	Entry workers.State `json:"entry,omitempty"`
	// SinceSeconds is for how long the first router has known.
	SinceSeconds float64 `json:"since_seconds"`
}

// RequestedBackoff is an owner of keys that has asked routers to send it nothing.
type RequestedBackoff struct {
	Worker workers.ID `json:"worker"`
	// Share of the routers that back off now.
	Share float64 `json:"share"`
	// LeftSeconds is for how long the last of them does.
	LeftSeconds float64 `json:"left_seconds"`
}

// askNotices asks the leader what workers say of themselves: that is stored nowhere. states are those in
// their entries.
func (o *Overview) queryNotices(ctx context.Context, ask QueryNotices, states map[workers.ID]workers.State) {
	if o.Leader == "" {
		o.Notices.Error = "no router leads"
		return
	}
	told, err := ask(ctx, o.Leader)
	if err != nil {
		o.Notices.Error = err.Error()
		return
	}
	for _, one := range told.Limits {
		o.Limits = append(o.Limits, WorkerLimit{Worker: one.Worker, PerSecond: one.PerSecond, SinceSeconds: seconds(one.AgeMillis)})
	}
	for _, one := range told.Leaving {
		o.Leaving = append(o.Leaving, LeavingWorker{Worker: one.Worker, Entry: states[one.Worker], SinceSeconds: seconds(one.AgeMillis)})
	}
	for _, one := range told.Backoffs {
		o.Backoffs = append(o.Backoffs, RequestedBackoff{Worker: one.Worker, Share: one.Share, LeftSeconds: seconds(one.RemainingMillis)})
	}
}

func seconds(millis int64) float64 { return float64(millis) / 1000 }

// notices prints what workers say of themselves.
func (o Output) notices(notices Notices) {
	if notices.Error != "" {
		fmt.Fprintf(o.Result, "what workers say of themselves is not known: %s\n", notices.Error)
		return
	}
	fmt.Fprintf(o.Result, "workers that name a limit %d\n", len(notices.Limits))
	table := newTable(o.Result)
	for index, one := range notices.Limits {
		if index == 0 {
			fmt.Fprintln(table, "WORKER\tREQUESTS A SECOND\tFOR")
		}
		fmt.Fprintf(table, "%s\t%g\t%s\n", one.Worker, one.PerSecond, rounded(one.SinceSeconds))
	}
	table.Flush()
	fmt.Fprintf(o.Result, "workers that say that they leave %d\n", len(notices.Leaving))
	for index, one := range notices.Leaving {
		if index == 0 {
			fmt.Fprintln(table, "WORKER\tENTRY\tFOR")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", one.Worker, orDash(string(one.Entry)), rounded(one.SinceSeconds))
	}
	table.Flush()
	fmt.Fprintf(o.Result, "owners of keys that ask for backoffs %d\n", len(notices.Backoffs))
	for index, one := range notices.Backoffs {
		if index == 0 {
			fmt.Fprintln(table, "WORKER\tROUTERS\tSTILL")
		}
		fmt.Fprintf(table, "%s\t%.0f%%\t%s\n", one.Worker, 100*one.Share, rounded(one.LeftSeconds))
	}
	table.Flush()
}

func rounded(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(time.Second)
}
