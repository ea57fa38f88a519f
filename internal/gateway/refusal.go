package gateway

import (
	"net/http"
	"strconv"

	"github.com/shalefork/shalefork/internal/wire"
)

// retryAfterSeconds is what a refused caller is told to wait.
const retryAfterSeconds = 1

// refusal is a final answer made by the gateway itself.
type refusal struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
}

// notRun refuses a request that is proved not to have run.
func notRun(reason wire.Reason) *refusal {
	return &refusal{status: notRunStatus(reason), outcome: wire.OutcomeNotRun, reason: reason}
}

// unknown answers a request that a server may have run.
func unknown(status int, reason wire.Reason) *refusal {
	return &refusal{status: status, outcome: wire.OutcomeUnknown, reason: reason}
}

func notRunStatus(reason wire.Reason) int {
	switch reason {
	case wire.ReasonOverloaded, wire.ReasonQueueFull:
		return http.StatusTooManyRequests
	case wire.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case wire.ReasonNoRoute:
		return http.StatusNotFound
	case wire.ReasonNoKey, wire.ReasonMalformed:
		return http.StatusBadRequest
	case wire.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes the refusal. Nothing of an answer has been written before.
func (g *Gateway) refuse(writer http.ResponseWriter, id wire.RequestID, because *refusal) {
	g.metrics.Refusals.WithLabelValues(string(because.reason), string(because.outcome)).Inc()
	header := writer.Header()
	header.Set(wire.HeaderOutcome, string(because.outcome))
	header.Set(wire.HeaderReason, string(because.reason))
	header.Set(wire.HeaderRequestID, string(id))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	g.closeAfter(writer)
	writer.WriteHeader(because.status)
	_, _ = writer.Write([]byte(string(because.outcome) + ": " + string(because.reason) + "\n"))
}
