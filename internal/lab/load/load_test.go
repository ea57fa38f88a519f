package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/wire"
)

func TestUnavailableTimeOfAKey(t *testing.T) {
	const ms = time.Millisecond
	type end struct {
		sent, answered time.Duration
		succeeded      bool
	}
	cases := []struct {
		name string
		ends []end
		want Unavailable
	}{
		{"fast answers count nothing", []end{{0, 5 * ms, true}, {50 * ms, 60 * ms, true}}, Unavailable{}},
		{"a held request counts once", []end{{0, 700 * ms, true}, {100 * ms, 700 * ms, true}}, Unavailable{0.7, 700 * ms, 1}},
		{"failures last until the next answer", []end{{100 * ms, 110 * ms, false}, {210 * ms, 220 * ms, false}, {320 * ms, 350 * ms, true}}, Unavailable{0.25, 250 * ms, 1}},
		{"an answer in between bounds a slow one", []end{{100 * ms, 200 * ms, true}, {110 * ms, 250 * ms, true}}, Unavailable{0.15, 100 * ms, 1}},
		{"a key that still fails does so to the end", []end{{900 * ms, 910 * ms, false}}, Unavailable{0.1, 100 * ms, 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var calls []history.Call
			for _, end := range test.ends {
				call := history.Call{Key: "k", Sent: end.sent, Answered: end.answered, Status: http.StatusServiceUnavailable}
				if end.succeeded {
					call.Status = http.StatusOK
					call.Whole = true
				}
				calls = append(calls, call)
			}
			got := SumUp(Spans(calls, time.Second))
			assert.Equal(t, got.Longest, test.want.Longest)
			assert.Equal(t, got.Keys, test.want.Keys)
			assert.Equal(t, time.Duration(got.KeySeconds*1e9+0.5), time.Duration(test.want.KeySeconds*1e9+0.5))
		})
	}
}

// echo answers as a gateway before a worker, after refusing the first request
// of each Idempotency-Key.
type echo struct {
	mu     sync.Mutex
	seen   map[string]int
	nonces map[string]bool
}

func (e *echo) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	nonce := request.Header.Get(history.HeaderNonce)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nonces[nonce] = true
	if key := request.Header.Get(wire.HeaderIdempotencyKey); key != "" {
		e.seen[key]++
		if e.seen[key] == 1 {
			writer.Header().Set(wire.HeaderOutcome, string(wire.OutcomeUnknown))
			writer.Header().Set(wire.HeaderReason, string(wire.ReasonAnswerLost))
			writer.Header().Set("Retry-After", "0")
			writer.WriteHeader(http.StatusBadGateway)
			return
		}
	}
	line, _ := json.Marshal(history.Head{Nonce: history.Nonce(nonce)})
	_, _ = writer.Write(append(line, '\n'))
}

func testBundle() bundle.Bundle {
	backends := []bundle.Backend{{Name: "one"}}
	partitions := []bundle.Partition{{Name: "all"}}
	return bundle.Bundle{Team: "tawila", Services: []bundle.Service{
		{Name: "tables", Kind: bundle.KindKeyed, Repeatable: true, Route: bundle.Route{PathPrefix: "/tables/"},
			Key: &bundle.KeySource{PathSegment: 3}, Partitions: partitions, Backends: backends},
		{Name: "booking", Kind: bundle.KindPool, Route: bundle.Route{PathPrefix: "/bookings/"}, Backends: backends},
	}}
}

func TestBookingsAreRepeatedWithTheirKeyUntilTheySucceed(t *testing.T) {
	gateway := &echo{seen: map[string]int{}, nonces: map[string]bool{}}
	server := httptest.NewServer(gateway)
	defer server.Close()
	config := DefaultConfig()
	config.Bundle = testBundle()
	config.Gateways = []string{strings.TrimPrefix(server.URL, "http://")}
	config.Rate = 200
	config.Duration = 300 * time.Millisecond
	config.Recorder = history.NewRecorder("")
	report, err := Run(context.Background(), config)
	assert.NilError(t, err)
	assert.Assert(t, report.Operations > 0)
	assert.Equal(t, report.Succeeded, report.Operations)
	bookings := len(gateway.seen)
	assert.Assert(t, bookings > 0)
	assert.Equal(t, report.Requests, report.Operations+bookings)
	assert.DeepEqual(t, report.Refusals, []Refusal{{wire.OutcomeUnknown, wire.ReasonAnswerLost, bookings}})
	// No two requests share a nonce, and each was recorded.
	assert.Equal(t, len(gateway.nonces), report.Requests)
	assert.Equal(t, len(config.Recorder.History().Calls), report.Requests)
}

func TestRequestPutsTheKeyInItsPlace(t *testing.T) {
	services := testBundle().Services
	assert.Equal(t, (&target{service: services[0]}).request("riad").URL.Path, "/tables/item/riad")
	services[0].Key = &bundle.KeySource{Query: "id"}
	assert.Equal(t, (&target{service: services[0]}).request("riad").URL.String(), "http:///tables/item?id=riad")
	services[0].Key = &bundle.KeySource{Header: "Riad"}
	assert.Equal(t, (&target{service: services[0]}).request("riad").Header.Get("Riad"), "riad")
	assert.Equal(t, (&target{service: services[1]}).request("").Method, http.MethodPost)
}
