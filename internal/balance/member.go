package balance

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
)

// Member is what a gateway is told about one back end.
type Member struct {
	Name bundle.ServerName
	Zone bundle.Zone
	// Slots is how many requests the back end runs at once; zero: unbounded.
	Slots int
	// Connections is this gateway's share of the back end's connection limit;
	// zero: unbounded.
	Connections int
	// Reported is the number of requests in flight that the back end reports,
	// from all gateways. It may lag or be wrong.
	Reported int
	// Draining back ends get no new work.
	Draining bool
}

// Result is how one request to a back end ended, as the gateway saw it.
type Result string

// Results of requests.
const (
	// ResultAnswered: the back end answered, whatever the status below 500.
	ResultAnswered Result = "answered"
	// ResultServerError: the back end answered with a status of 500 or above.
	ResultServerError Result = "server-error"
	// ResultTimeout: no answer came before the request's deadline.
	ResultTimeout Result = "timeout"
	// ResultOvertaken: a second try at another back end answered first.
	ResultOvertaken Result = "overtaken"
	// ResultRefused: the back end said that it did not run the request since
	// it has too much to do.
	ResultRefused Result = "refused"
	// ResultUnreachable: no connection could be made, or it broke, or the
	// answer did not fit the request.
	ResultUnreachable Result = "unreachable"
	// ResultNeutral: the caller went away, or the back end refused for a reason
	// that says nothing of its health.
	ResultNeutral Result = "neutral"
)

// member is the state kept of one back end.
type member struct {
	Member
	inFlight int
	// latency is a moving average of the time to the answer's headers.
	latency time.Duration
	// latencyAt is when the latency was last measured.
	latencyAt time.Duration
	// warmFrom is when the slow start began.
	warmFrom time.Duration
	// answeredLoad is the load that came with the last answer, at answeredAt.
	answeredLoad int
	answeredAt   time.Duration
	// cold says that the slow start applies.
	cold bool
	// failures counts failures in a row.
	failures int
	// ejected back ends get no work until a probe succeeds after retryAt.
	ejected bool
	// ejections counts ejections without a success between them.
	ejections int
	retryAt   time.Duration
	probing   bool
	// avoidUntil keeps work away for a moment after a refusal.
	avoidUntil time.Duration
	// refusals counts refusals less answers; pickAfter keeps the pool's work
	// away for longer.
	refusals  int
	pickAfter time.Duration
	// drainingUntil keeps work away since the back end said that it drains.
	drainingUntil time.Duration
}

// capacity is the most requests that this gateway may have in flight there.
func (m *member) capacity() int {
	limit := m.Slots
	if m.Connections > 0 && (limit == 0 || m.Connections < limit) {
		limit = m.Connections
	}
	return limit
}

func (m *member) hasRoom() bool {
	limit := m.capacity()
	return limit == 0 || m.inFlight < limit
}

// warmth rises from minWarmth to 1 over the slow start.
func (m *member) warmth(now, slowStart time.Duration) float64 {
	if !m.cold || slowStart <= 0 {
		return 1
	}
	progress := float64(now-m.warmFrom) / float64(slowStart)
	return min(1, max(minWarmth, progress))
}

// takesWork reports whether the back end gets work once it has room.
func (m *member) takesWork() bool {
	return !m.Draining && !m.ejected
}
