package ownership

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const token = "a token of the cell"

var testSlice = keyspace.Slice{Service: "t/s", Partition: "all", Range: keyspace.FullRange()}

// bench is an owner in virtual time with a handler under test.
type bench struct {
	t       *testing.T
	owner   *Owner
	handler http.Handler
	server  wire.Incarnation
}

func newBench(t *testing.T, next http.HandlerFunc) *bench {
	source := clock.NewVirtual()
	owner := New(Options{Cell: "casa", Token: token, Name: "t/s/one",
		Clock:   func() time.Duration { return source.Now().Upper },
		OnPanic: func(any, []byte) {}})
	b := &bench{t: t, owner: owner, handler: owner.Wrap(next)}
	b.server = b.renew(wire.RenewRequest{}).Server
	return b
}

func (b *bench) do(method, path string, body io.Reader, header http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(b.t.Context(), method, path, body)
	request.Header = header
	request.Header.Set(peerauth.Header, token)
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, request)
	return recorder
}

func (b *bench) renew(request wire.RenewRequest) wire.RenewResponse {
	request.Cell = "casa"
	body, err := json.Marshal(request)
	assert.NilError(b.t, err)
	recorder := b.do(http.MethodPost, wire.PathRenew, bytes.NewReader(body), http.Header{})
	var response wire.RenewResponse
	assert.NilError(b.t, json.Unmarshal(recorder.Body.Bytes(), &response), recorder.Body.String())
	return response
}

// grant gives the full range under fence 7 for 600ms from now.
func (b *bench) grant(set uint64, state wire.SliceState) wire.RenewResponse {
	grants := []wire.SliceGrant{{Slice: testSlice, Fence: 7, Bundle: 2, State: state}}
	if state == "" {
		grants = grants[:0]
	}
	return b.renew(wire.RenewRequest{Term: 1, Server: b.server, Set: set, Slices: &grants,
		Reading: b.owner.now().Upper, Duration: 600 * time.Millisecond})
}

func routed() http.Header {
	header := http.Header{}
	header.Set(wire.HeaderCell, "casa")
	header.Set(wire.HeaderService, "t/s")
	header.Set(wire.HeaderSlice, testSlice.String())
	header.Set(wire.HeaderFence, "7")
	header.Set(wire.HeaderBundle, "2")
	header.Set(wire.HeaderRequestID, "r1")
	header.Set(wire.HeaderKey, "table-4")
	return header
}

// fact is what an answer says about a request.
type fact struct {
	Status  int
	Outcome wire.Outcome
	Reason  wire.Reason
}

func (b *bench) request(header http.Header) fact {
	recorder := b.do(http.MethodGet, "/tables", nil, header)
	assert.Equal(b.t, recorder.Header().Get(wire.HeaderRequestID), header.Get(wire.HeaderRequestID))
	return fact{recorder.Code, wire.Outcome(recorder.Header().Get(wire.HeaderOutcome)), wire.Reason(recorder.Header().Get(wire.HeaderReason))}
}

func TestAdmitsOnlyTheExactGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := 0
		b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
			ran++
			request, found := FromContext(r.Context())
			assert.Assert(t, found)
			assert.Equal(t, request.Key, "table-4")
			assert.NilError(t, request.Check())
		})
		assert.Equal(t, b.request(routed()), fact{503, wire.OutcomeNotRun, wire.ReasonNoGrant})
		assert.Equal(t, b.grant(1, wire.SliceServing).Refused, wire.RenewRefusal(""))
		assert.Equal(t, b.request(routed()), fact{200, "", ""})
		refused := map[string]struct {
			value  string
			reason wire.Reason
		}{
			wire.HeaderFence:    {"6", wire.ReasonWrongFence},
			wire.HeaderBundle:   {"1", wire.ReasonWrongBundle},
			wire.HeaderCell:     {"other", wire.ReasonNoGrant},
			wire.HeaderSlice:    {"t/s/all/1-2", wire.ReasonMalformed},
			wire.HeaderService:  {"t/other", wire.ReasonMalformed},
			wire.HeaderDeadline: {"0", wire.ReasonDeadline},
		}
		for name, refusal := range refused {
			header := routed()
			header.Set(name, refusal.value)
			assert.Equal(t, b.request(header), fact{503, wire.OutcomeNotRun, refusal.reason}, name)
		}
		assert.Equal(t, ran, 1)
	})
}

// A caller that asks for the path of renewals is no leader: the gateway that
// passed its request on gave it an id.
func TestCallersRequestIsNoRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(http.ResponseWriter, *http.Request) {})
		b.grant(1, wire.SliceServing)
		forged := `{"cell":"casa","generation":9,"term":9}`
		recorder := b.do(http.MethodPost, wire.PathRenew, strings.NewReader(forged), routed())
		assert.Equal(t, recorder.Body.String(), "")
		assert.Equal(t, b.grant(2, wire.SliceServing).Refused, wire.RenewRefusal(""))
	})
}

// A handler cannot say by a header of its own, in whatever letters, that what
// ran did not run, nor answer for another request.
func TestHandlersHeadersSayNothingOfTheOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(writer http.ResponseWriter, _ *http.Request) {
			for _, name := range []string{"shalefork-outcome", "Shalefork-Outcome", "SHALEFORK-REASON", "shalefork-request-id", "shalefork-draining"} {
				writer.Header()[name] = []string{"not-run"}
			}
			_, _ = writer.Write([]byte("ran"))
		})
		b.grant(1, wire.SliceServing)
		recorder := b.do(http.MethodPost, "/tables", nil, routed())
		for name, values := range recorder.Header() {
			assert.Assert(t, values[0] != "not-run", name)
		}
		assert.Equal(t, recorder.Header().Get(wire.HeaderRequestID), "r1")
	})
}

func TestEndOfGrantCancelsAndVoidsTheEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			request, _ := FromContext(r.Context())
			assert.Error(t, request.Check(), "ownership: the effect may not be kept: expired")
			assert.NilError(t, request.NotRun(ReasonExpired))
		})
		b.grant(1, wire.SliceServing)
		began := time.Now()
		assert.Equal(t, b.request(routed()), fact{503, wire.OutcomeNotRun, wire.ReasonExpired})
		assert.Equal(t, time.Since(began), 600*time.Millisecond)
	})
}

func TestAnswersStayHonest(t *testing.T) {
	wait := func(r *http.Request) { <-r.Context().Done() }
	allow := func(r *http.Request) *Request {
		request, _ := FromContext(r.Context())
		_ = request.Check()
		return request
	}
	cases := map[string]struct {
		next http.HandlerFunc
		want fact
	}{
		"writes nothing in time":      {func(http.ResponseWriter, *http.Request) {}, fact{200, "", ""}},
		"writes nothing, expired":     {func(_ http.ResponseWriter, r *http.Request) { wait(r) }, fact{503, wire.OutcomeUnknown, wire.ReasonExpired}},
		"answers without Check, late": {func(w http.ResponseWriter, r *http.Request) { wait(r); w.WriteHeader(200) }, fact{503, wire.OutcomeUnknown, wire.ReasonExpired}},
		"panics":                      {func(http.ResponseWriter, *http.Request) { panic("bug") }, fact{503, wire.OutcomeUnknown, "panicked"}},
		"claims an outcome": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderOutcome, "not-run")
			w.WriteHeader(500)
		}, fact{500, "", ""}},
		"not run after Check": {func(w http.ResponseWriter, r *http.Request) {
			if allow(r).NotRun(ReasonOverloaded) == ErrTooLate {
				w.WriteHeader(201)
			}
		}, fact{201, "", ""}},
		"sheds": {func(_ http.ResponseWriter, r *http.Request) {
			request, _ := FromContext(r.Context())
			_ = request.NotRun(ReasonOverloaded)
		}, fact{429, wire.OutcomeNotRun, wire.ReasonOverloaded}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, c.next)
				b.grant(1, wire.SliceServing)
				assert.Equal(t, b.request(routed()), c.want)
			})
		})
	}
}

// A body of undeclared length that was cut by the end of the grant must not end
// cleanly, or the caller would take it for whole.
func TestCutStreamBreaksTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half of the list")
			<-r.Context().Done()
		})
		b.grant(1, wire.SliceServing)
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		b.request(routed())
	})
}

func TestDrainWaitsForReleaseAndForWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		b := newBench(t, func(w http.ResponseWriter, r *http.Request) { <-proceed })
		b.grant(1, wire.SliceServing)
		answered := make(chan fact)
		go func() { answered <- b.request(routed()) }()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- b.owner.Drain(context.Background()) }()
		synctest.Wait()
		assert.Assert(t, b.grant(2, wire.SliceReleasing).Draining)
		assert.Equal(t, b.request(routed()).Reason, wire.ReasonDraining)
		close(proceed)
		assert.Equal(t, <-answered, fact{200, "", ""})
		assert.Equal(t, len(b.grant(2, wire.SliceReleasing).Released), 1)
		synctest.Wait()
		assert.Equal(t, len(drained), 0, "the leader has not taken the slice off the set")
		b.grant(3, "")
		assert.NilError(t, <-drained)
	})
}

func TestLoadReportFindsTheHotKey(t *testing.T) {
	table := newLoadTable()
	for i := range 1000 {
		at := time.Duration(i) * 10 * time.Millisecond
		key := "hot"
		if i%2 == 0 {
			key = string(rune('a' + i%100))
		}
		table.record(at, testSlice, key)
	}
	load := table.report(10 * time.Second).Slices[0]
	assert.Equal(t, load.HotHash, keyspace.HashKey("hot"))
	assert.Assert(t, load.HotShare > 0.4 && load.HotShare < 0.6, "share %v", load.HotShare)
	assert.Assert(t, load.Rate > 80 && load.Rate < 100, "rate %v", load.Rate)
	assert.Equal(t, len(table.report(time.Hour).Slices), 0)
	assert.Equal(t, len(table.slices), 0)
}

func TestRefusesWithoutToken(t *testing.T) {
	owner := New(Options{Cell: "casa", Token: token})
	recorder := httptest.NewRecorder()
	owner.Wrap(http.NotFoundHandler()).ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, wire.PathRenew, nil))
	assert.Equal(t, recorder.Code, http.StatusForbidden)
}

func TestLoadReportIsWholeOnlyOnceInAWhile(t *testing.T) {
	table := newLoadTable()
	table.record(0, testSlice, "k")
	leader := reader{generation: 1, term: 1}
	assert.Equal(t, len(table.reportTo(0, leader).Slices), 1)
	assert.DeepEqual(t, table.reportTo(time.Second, leader), wire.LoadReport{Partial: true})
	assert.Equal(t, len(table.reportTo(time.Second, reader{generation: 1, term: 2}).Slices), 1, "a new leader knows nothing")
	assert.Equal(t, len(table.reportTo(3*time.Second, reader{generation: 1, term: 2}).Slices), 1)
}

func TestAnswersTellOfOtherRequestsInFlight(t *testing.T) {
	owner := New(Options{Cell: "casa", Token: token})
	assert.Equal(t, owner.otherInFlight(), 0)
	recorder := httptest.NewRecorder()
	request := newRequest(context.Background(), routing{id: "r1"})
	request.owner = owner
	writer := &responseWriter{ResponseWriter: recorder, owner: owner, request: request, id: "r1"}
	writer.Header().Set("shalefork-load", "99")
	writer.WriteHeader(http.StatusOK)
	assert.Equal(t, recorder.Header().Get(wire.HeaderLoad), "0")
	forged := http.Header{"shalefork-load": {"99"}}
	dropOwnHeaders(forged)
	assert.Equal(t, len(forged), 0, "a handler cannot set it")
}
