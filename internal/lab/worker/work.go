package worker

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
	"github.com/shalefork/shalefork/ownership"
)

// recordTimeout bounds the wait for the collector, so that a worker outlives it.
const recordTimeout = 2 * time.Second

// numbers counts the executions of a process from 1.
type numbers struct{ last atomic.Uint64 }

func (n *numbers) next() uint64 { return n.last.Add(1) }

// arrival is what is known of a request before it is admitted.
type arrival struct {
	at time.Duration
	// raw writes past the owner's checks, to spoil answers on purpose.
	raw http.ResponseWriter
}

type arrivalKey struct{}

func withArrival(writer http.ResponseWriter, request *http.Request) *http.Request {
	seen := &arrival{at: history.Now(), raw: writer}
	return request.WithContext(context.WithValue(request.Context(), arrivalKey{}, seen))
}

// job is one request under way.
type job struct {
	execution history.Execution
	writer    http.ResponseWriter
	request   *http.Request
	raw       http.ResponseWriter
	// check says whether the effect may be kept.
	check func() error
	// notRun answers that there was no effect.
	notRun func(ownership.Reason)
}

// serveGranted runs a request that the owner admitted.
func (w *worker) serveGranted(writer http.ResponseWriter, httpRequest *http.Request) {
	request, _ := ownership.FromContext(httpRequest.Context())
	slice := keyspace.Slice{
		Service:   keyspace.ServiceName(request.Slice.Service),
		Partition: keyspace.PartitionName(request.Slice.Partition),
		Range:     keyspace.Range{First: keyspace.Hash(request.Slice.First), Last: keyspace.Hash(request.Slice.Last)},
	}
	j := w.newJob(writer, httpRequest)
	j.execution.RequestID = wire.RequestID(request.ID)
	j.execution.Key = request.Key
	j.execution.Slice = slice.String()
	j.execution.Fence = wire.Fence(request.Fence)
	j.execution.Bundle = bundle.Version(request.Bundle)
	j.check = request.Check
	j.notRun = func(reason ownership.Reason) { _ = request.NotRun(reason) }
	w.run(j)
}

// serveUngranted runs a request whatever the grants say.
func (w *worker) serveUngranted(writer http.ResponseWriter, httpRequest *http.Request) {
	header := httpRequest.Header
	fence, _ := strconv.ParseUint(header.Get(wire.HeaderFence), 10, 64)
	version, _ := strconv.ParseUint(header.Get(wire.HeaderBundle), 10, 64)
	j := w.newJob(writer, httpRequest)
	j.execution.RequestID = wire.RequestID(header.Get(wire.HeaderRequestID))
	j.execution.Key = header.Get(wire.HeaderKey)
	j.execution.Slice = header.Get(wire.HeaderSlice)
	j.execution.Fence = wire.Fence(fence)
	j.execution.Bundle = bundle.Version(version)
	j.check = func() error { return nil }
	j.notRun = func(reason ownership.Reason) {
		writer.Header().Set(wire.HeaderOutcome, string(wire.OutcomeNotRun))
		writer.Header().Set(wire.HeaderReason, string(reason))
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	writer.Header().Set(wire.HeaderRequestID, header.Get(wire.HeaderRequestID))
	w.run(j)
}

func (w *worker) requireToken(next http.Handler) http.Handler {
	refused := prometheus.NewCounter(prometheus.CounterOpts{Name: "ungranted_unauthorized_total"})
	return peerauth.Require(w.config.Token, refused, next)
}

func (w *worker) newJob(writer http.ResponseWriter, request *http.Request) *job {
	seen, _ := request.Context().Value(arrivalKey{}).(*arrival)
	return &job{
		writer:  writer,
		request: request,
		raw:     seen.raw,
		execution: history.Execution{
			Phase:          history.PhaseStarted,
			Server:         w.config.Name,
			Process:        w.process,
			Number:         w.numbers.next(),
			Zone:           w.config.Zone,
			Service:        w.config.Service,
			Repeatable:     w.config.Repeatable,
			Nonce:          history.Nonce(request.Header.Get(history.HeaderNonce)),
			IdempotencyKey: request.Header.Get(wire.HeaderIdempotencyKey),
			Arrived:        seen.at,
			Started:        history.Now(),
		},
	}
}

// run does the work of one request: wait for a slot, prepare, keep the effect,
// answer.
func (w *worker) run(j *job) {
	w.record(j)
	if reason := w.prepare(j); reason != "" {
		w.endWithout(j, reason)
		return
	}
	if err := w.keep(j); err != nil {
		w.endWithout(j, reasonOf(err))
		return
	}
	w.answer(j)
}

// prepare holds a slot for the service time. It returns why it gave up.
func (w *worker) prepare(j *job) ownership.Reason {
	if w.sheds() {
		return ownership.ReasonOverloaded
	}
	ctx := j.request.Context()
	if !w.slots.acquire(ctx) {
		if ctx.Err() == nil {
			return ownership.ReasonOverloaded
		}
		return reasonOf(j.check())
	}
	defer w.slots.release()
	select {
	case <-time.After(w.pace.next(w.controls.current().ServiceTime.Std())):
	case <-ctx.Done():
	}
	w.gate.wait()
	if ctx.Err() != nil {
		return reasonOf(j.check())
	}
	return ""
}

// keep records the intent outside of this process, then checks and keeps the
// effect at once: here, the effect is the record that says so.
func (w *worker) keep(j *job) error {
	j.execution.Phase = history.PhaseIntent
	w.recordAndWait(j)
	w.gate.wait()
	j.execution.Effect = history.Now()
	if err := j.check(); err != nil {
		return err
	}
	j.execution.Kept = true
	w.end(j)
	return nil
}

func (w *worker) endWithout(j *job, reason ownership.Reason) {
	w.end(j)
	j.notRun(reason)
}

// end records the end before the caller can hear of it.
func (w *worker) end(j *job) {
	j.execution.Phase = history.PhaseEnded
	j.execution.Ended = history.Now()
	w.recordAndWait(j)
}

func (w *worker) record(j *job) <-chan struct{} {
	line := j.execution
	return w.recorder.Record(history.Line{Execution: &line})
}

func (w *worker) recordAndWait(j *job) {
	select {
	case <-w.record(j):
	case <-time.After(recordTimeout):
	}
}

// reasonOf returns the reason of a lost grant. A context that has ended without
// one was cancelled.
func reasonOf(err error) ownership.Reason {
	if lost, ok := err.(*ownership.LostError); ok {
		return lost.Reason
	}
	return ownership.ReasonCancelled
}
