package history

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

const ms = time.Millisecond

// execution is a booking at server, kept at the given time.
func execution(server, nonce string, fence wire.Fence, at time.Duration) Execution {
	return Execution{
		Phase: PhaseEnded, Server: bundle.ServerName(server), Process: "p-" + server, Number: uint64(at),
		Zone: "a", Nonce: Nonce(nonce), RequestID: wire.RequestID("id-" + nonce), Service: "t/book", Key: "table-4",
		Fence: fence, Bundle: 1, Arrived: at, Started: at + 1, Effect: at + 2, Ended: at + 3, Kept: true,
	}
}

func call(nonce string) Call {
	body := &Body{Head: Head{Nonce: Nonce(nonce), Padding: 10}, Received: 10}
	return Call{Nonce: Nonce(nonce), Service: "t/book", Status: 200, Whole: true, Body: body}
}

func with[T any](value T, change func(*T)) T {
	change(&value)
	return value
}

func testBundle() bundle.Bundle {
	return bundle.Bundle{Team: "t", Version: 1, Zones: []bundle.Zone{"a", "b"}, Services: []bundle.Service{{
		Name: "book", Kind: bundle.KindKeyed, Partitions: []bundle.Partition{{Name: "all", Zones: []bundle.Zone{"a"}}},
	}}}
}

func TestCheckFindsEachBreach(t *testing.T) {
	first := execution("s1", "n1", 5, 10*ms)
	second := execution("s2", "n2", 6, 20*ms)
	again := func(change func(*Execution)) Execution { return with(execution("s1", "n1", 5, 30*ms), change) }
	unchanged := func(*Execution) {}
	cases := map[string]struct {
		history History
		want    Rule
	}{
		"effect under an older fence after a newer start": {History{Executions: []Execution{second,
			with(first, func(e *Execution) { e.Effect = 25 * ms })}}, RuleTwoOwners},
		"work taken under an older fence": {History{Executions: []Execution{second,
			execution("s1", "n3", 5, 30*ms)}}, RuleTwoOwners},
		"one fence at two servers": {History{Executions: []Execution{first, execution("s2", "n2", 5, 20*ms)}}, RuleTwoOwners},
		"same nonce twice":         {History{Executions: []Execution{first, again(unchanged)}}, RuleRanTwice},
		"same request id twice": {History{Executions: []Execution{first,
			again(func(e *Execution) { e.Nonce = "other" })}}, RuleRanTwice},
		"same idempotency key twice": {History{Executions: []Execution{
			with(first, func(e *Execution) { e.IdempotencyKey = "k" }),
			with(execution("s1", "n9", 5, 30*ms), func(e *Execution) { e.IdempotencyKey = "k" })}}, RuleRanTwice},
		"sent again after a run that never ended": {History{Executions: []Execution{first,
			again(func(e *Execution) { e.Phase, e.Kept = PhaseIntent, false })}}, RuleRanTwice},
		"lost run":             {History{Calls: []Call{call("n1")}}, RuleLostRun},
		"foreign answer":       {History{Executions: []Execution{first}, Calls: []Call{with(call("n1"), func(c *Call) { c.Body = call("n2").Body })}}, RuleForeignAnswer},
		"answer of no request": {History{Executions: []Execution{first}, Calls: []Call{with(call("n1"), func(c *Call) { c.Body = nil })}}, RuleForeignAnswer},
		"cut answer":           {History{Executions: []Execution{first}, Calls: []Call{with(call("n1"), func(c *Call) { c.Body.Received = 9 })}}, RuleCutAnswer},
		"not run, but ran":     {History{Executions: []Execution{first}, Calls: []Call{{Nonce: "n1", Service: "t/book", Status: 503, Outcome: wire.OutcomeNotRun}}}, RuleNotRunThatRan},
		"older bundle at a server": {History{Executions: []Execution{
			with(first, func(e *Execution) { e.Bundle = 2 }), execution("s1", "n2", 5, 20*ms)}}, RuleOlderBundle},
		"older bundle at a newer owner": {History{Executions: []Execution{
			with(first, func(e *Execution) { e.Bundle = 2 }), second}}, RuleOlderBundle},
		"forbidden zone": {History{Bundles: []bundle.Bundle{testBundle()}, Executions: []Execution{
			with(first, func(e *Execution) { e.Zone = "b" })}}, RuleForbiddenZone},
		"work on a leaving server": {History{LeaveGrace: 5 * ms, Leaving: []Leaving{{Server: "s1", At: 4 * ms}},
			Executions: []Execution{first}}, RuleLeaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := Check(c.history)
			assert.Equal(t, len(violations), 1, "%+v", violations)
			assert.Equal(t, violations[0].Rule, c.want)
		})
	}
}

// What looks like a breach but proves none: pauses, repeats that may run again,
// runs that kept nothing, calls answered from an earlier one.
func TestCheckPassesACleanHistory(t *testing.T) {
	idempotent := with(execution("s1", "n1", 5, 10*ms), func(e *Execution) { e.IdempotencyKey = "k" })
	executions := []Execution{
		with(idempotent, func(e *Execution) { e.Phase, e.Kept = PhaseStarted, false }),
		idempotent,
		with(execution("s1", "n2", 5, 11*ms), func(e *Execution) { e.Kept, e.Ended = false, 90*ms }),
		with(execution("s1", "n3", 5, 12*ms), func(e *Execution) { e.Phase, e.Kept, e.Effect = PhaseStarted, false, 0 }),
		execution("s2", "n2", 6, 20*ms),
		with(execution("s2", "n4", 6, 21*ms), func(e *Execution) { e.Repeatable = true }),
		with(execution("s2", "n4", 6, 22*ms), func(e *Execution) { e.Repeatable, e.Bundle = true, 2 }),
		with(execution("s3", "n5", 9, 23*ms), func(e *Execution) { e.Key, e.Service, e.Zone = "", "t/pool", "b" }),
	}
	repeat := with(call("n6"), func(c *Call) { c.IdempotencyKey, c.Body = "k", call("n1").Body })
	calls := []Call{call("n1"), call("n2"), call("n4"), repeat,
		{Nonce: "n3", Service: "t/book", Status: 502, Outcome: wire.OutcomeUnknown},
		{Nonce: "n7", Service: "t/book", Status: 503, Outcome: wire.OutcomeNotRun},
		with(call("n5"), func(c *Call) { c.Whole, c.Body.Received = false, 3 })}
	violations := Check(History{Executions: executions, Calls: calls, Bundles: []bundle.Bundle{testBundle()},
		LeaveGrace: 5 * ms, Leaving: []Leaving{{Server: "s2", At: 18 * ms}, {Server: "s1", At: 1 * ms, Returned: 9 * ms}}})
	assert.Equal(t, len(violations), 0, "%+v", violations)
}

func TestRecorderSendsAgainUntilStored(t *testing.T) {
	collector := &Collector{}
	failures := 1
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if failures > 0 {
			failures--
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		collector.ServeHTTP(w, r)
	}))
	defer server.Close()
	recorder := NewRecorder(server.URL)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { recorder.Run(ctx); close(done) }()
	line := execution("s1", "n1", 5, 10*ms)
	<-recorder.Record(Line{Execution: &line})
	assert.Equal(t, len(collector.History().Executions), 1)
	stop()
	<-done
}

func TestReadBodyTellsACutFromAnEnd(t *testing.T) {
	body, err := ReadBody(strings.NewReader(`{"nonce":"n1","padding":4}` + "\n...."))
	assert.NilError(t, err)
	assert.Equal(t, body.Received, body.Padding)
	_, err = ReadBody(strings.NewReader("half a li"))
	assert.ErrorContains(t, err, "EOF")
}
