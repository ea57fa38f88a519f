package worker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

var testSlice = keyspace.Slice{Service: "tawila/booking", Partition: "all", Range: keyspace.FullRange()}

// bench is a worker on a port of its own, with a grant that outlasts the test.
type bench struct {
	t         *testing.T
	url       string
	client    *http.Client
	collector *history.Collector
	stop      context.CancelFunc
	stopped   chan error
}

// end stops the worker, takes its grants once it asks for that, and waits.
func (b *bench) end() {
	b.stop()
	for !b.post(wire.PathRenew, wire.RenewRequest{Cell: "casa"}).Draining {
		time.Sleep(time.Millisecond)
	}
	b.renew(99, "")
	b.client.CloseIdleConnections()
	assert.NilError(b.t, <-b.stopped)
}

func newBench(t *testing.T, change func(*Config)) *bench {
	b := &bench{t: t, collector: &history.Collector{}, stopped: make(chan error, 1)}
	collector := httptest.NewServer(b.collector)
	t.Cleanup(collector.Close)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config := DefaultConfig()
	config.Name, config.Service, config.Cell, config.Zone = "tawila/booking/one", "tawila/booking", "casa", "a"
	config.Token, config.Listen = "sixteen characters", opened.Addr().String()
	config.History, config.ServiceTime = collector.URL, 0
	change(&config)
	assert.NilError(t, config.Validate())
	b.url = "http://" + config.Listen
	b.client = &http.Client{Transport: &peerauth.Transport{Token: config.Token, Base: &http.Transport{}}}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() { b.stopped <- newWorker(config).serve(ctx, opened) }()
	t.Cleanup(b.end)
	b.renew(1, wire.SliceServing)
	return b
}

// renew sends a set with the slice under fence 7, or an empty one.
func (b *bench) renew(set uint64, state wire.SliceState) wire.RenewResponse {
	contact := b.post(wire.PathRenew, wire.RenewRequest{Cell: "casa"})
	grants := []wire.SliceGrant{{Slice: testSlice, Fence: 7, Bundle: 1, State: state}}
	if state == "" {
		grants = grants[:0]
	}
	return b.post(wire.PathRenew, wire.RenewRequest{Cell: "casa", Term: 1, Set: set, Slices: &grants,
		Server: contact.Server, Reading: contact.Reading, Duration: time.Hour})
}

func (b *bench) post(path string, value any) wire.RenewResponse {
	body, err := json.Marshal(value)
	assert.NilError(b.t, err)
	response, err := b.client.Post(b.url+path, "application/json", bytes.NewReader(body))
	assert.NilError(b.t, err)
	defer response.Body.Close()
	assert.Equal(b.t, response.StatusCode, http.StatusOK)
	var answer wire.RenewResponse
	assert.NilError(b.t, json.NewDecoder(response.Body).Decode(&answer))
	return answer
}

// control steers the worker and returns the status.
func (b *bench) control(change string) int {
	response, err := b.client.Post(b.url+PathControl, "application/json", strings.NewReader(change))
	assert.NilError(b.t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// call sends a request as a gateway would and returns what a caller sees.
func (b *bench) call(nonce, query string, fence wire.Fence) (*http.Response, history.Call, error) {
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, b.url+"/book?"+query, nil)
	assert.NilError(b.t, err)
	header := request.Header
	header.Set(wire.HeaderCell, "casa")
	header.Set(wire.HeaderService, "tawila/booking")
	header.Set(wire.HeaderSlice, testSlice.String())
	header.Set(wire.HeaderFence, fence.String())
	header.Set(wire.HeaderBundle, "1")
	header.Set(wire.HeaderRequestID, "id-"+nonce)
	header.Set(wire.HeaderKey, "table-4")
	header.Set(history.HeaderNonce, nonce)
	call := history.Call{Nonce: history.Nonce(nonce), Service: "tawila/booking", Key: "table-4", Sent: history.Now()}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, call, err
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	call.Outcome = wire.Outcome(response.Header.Get(wire.HeaderOutcome))
	call.Body, err = history.ReadBody(response.Body)
	call.Whole = err == nil
	call.Answered = history.Now()
	return response, call, err
}

func TestHistoryLeavesTheProcessBeforeTheAnswer(t *testing.T) {
	b := newBench(t, func(*Config) {})
	response, call, err := b.call("n1", "bytes=100000", 7)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(wire.HeaderRequestID), "id-n1")
	assert.Equal(t, call.Body.Received, int64(100000))
	_, refused, _ := b.call("n2", "", 6)
	assert.Equal(t, refused.Outcome, wire.OutcomeNotRun)
	seen := b.collector.History()
	assert.Equal(t, len(seen.Executions), 1)
	assert.Assert(t, seen.Executions[0].Kept)
	seen.Calls = []history.Call{call, refused}
	assert.Equal(t, len(history.Check(seen)), 0)
}

func TestStreamAndDrain(t *testing.T) {
	b := newBench(t, func(*Config) {})
	type result struct {
		call history.Call
		err  error
	}
	results := make(chan result)
	go func() {
		_, call, err := b.call("n1", "stream=400ms&bytes=5000", 7)
		results <- result{call, err}
	}()
	for len(b.collector.History().Executions) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.stop()
	for !b.renew(2, wire.SliceReleasing).Draining {
		time.Sleep(time.Millisecond)
	}
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.call.Body.Received, int64(5000))
	for len(b.renew(2, wire.SliceReleasing).Released) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestIgnoredFencesAreSeenByTheChecker(t *testing.T) {
	b := newBench(t, func(*Config) {})
	assert.Equal(t, b.control(`{"ignore_fences":true}`), 200)
	_, _, err := b.call("newer", "", 9)
	assert.NilError(t, err)
	_, _, err = b.call("older", "", 6)
	assert.NilError(t, err)
	violations := history.Check(b.collector.History())
	assert.Equal(t, len(violations), 1)
	assert.Equal(t, violations[0].Rule, history.RuleTwoOwners)
}

func TestShedsWhenFullOrTold(t *testing.T) {
	b := newBench(t, func(c *Config) {
		c.Slots, c.Queue, c.ServiceTime, c.Distribution = 1, 0, time.Hour, DistributionFixed
	})
	go func() { _, _, _ = b.call("n1", "", 7) }()
	for len(b.collector.History().Executions) == 0 {
		time.Sleep(time.Millisecond)
	}
	_, call, _ := b.call("n2", "", 7)
	assert.Equal(t, call.Status, http.StatusTooManyRequests)
	assert.Equal(t, call.Outcome, wire.OutcomeNotRun)
}

func TestCorruptAnswers(t *testing.T) {
	b := newBench(t, func(*Config) {})
	_, _, err := b.call("first", "", 7)
	assert.NilError(t, err)
	spoil := func(corruption Corruption) {
		assert.Equal(t, b.control(`{"corruption":"`+string(corruption)+`","corrupt_share":1,"corrupt_delay":"100ms"}`), 200)
	}
	spoil(CorruptCrossed)
	response, _, err := b.call("crossed", "", 7)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(wire.HeaderRequestID), "id-first")
	spoil(CorruptShort)
	_, _, err = b.call("short", "", 7)
	assert.ErrorContains(t, err, "unexpected EOF")
	spoil(CorruptLate)
	_, call, err := b.call("late", "", 7)
	assert.NilError(t, err)
	assert.Assert(t, call.Answered-call.Sent >= 100*time.Millisecond)
	spoil(CorruptEndless)
	b.client.Timeout = 300 * time.Millisecond
	_, _, err = b.call("endless", "", 7)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	b.client.Timeout = 0
	assert.Equal(t, len(b.collector.History().Executions), 5, "a spoiled answer comes after a recorded run")
}

// A doubled answer leaves bytes on the connection that belong to no request.
func TestDoubledAnswer(t *testing.T) {
	body := plan{head: history.Head{RequestID: "r1", Padding: 3}, line: []byte("{}\n")}
	once := wholeAnswer(body, keepAlive)
	connection := bufio.NewReader(bytes.NewReader(append(once, once...)))
	for range 2 {
		response, err := http.ReadResponse(connection, nil)
		assert.NilError(t, err)
		read, err := history.ReadBody(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, read.Received, int64(3))
	}
}

func TestEndpointsLagAndLie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := DefaultConfig()
		config.Token, config.Cell, config.Name = "sixteen characters", "casa", "t/s/one"
		w := newWorker(config)
		get := func(path string) string {
			recorder := httptest.NewRecorder()
			w.handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
			return strings.TrimSpace(recorder.Body.String())
		}
		ctx, stop := context.WithCancel(t.Context())
		go w.load.run(ctx, w.slots)
		time.Sleep(2 * time.Second)
		assert.Assert(t, w.slots.acquire(ctx))
		w.controls.noteDraining(time.Now())
		time.Sleep(time.Second)
		assert.Equal(t, get(PathLoad), `{"in_flight":1,"queued":0,"slots":2}`)
		assert.Equal(t, get(PathHealth), `{"health":"draining"}`)
		_, err := w.controls.apply(strings.NewReader(`{"load_lag":"2s","health_lag":"2s"}`))
		assert.NilError(t, err)
		assert.Equal(t, get(PathLoad), `{"in_flight":0,"queued":0,"slots":2}`)
		assert.Equal(t, get(PathHealth), `{"health":"ok"}`)
		_, err = w.controls.apply(strings.NewReader(`{"load_claim":9,"health":"failing"}`))
		assert.NilError(t, err)
		assert.Equal(t, get(PathLoad), `{"in_flight":9,"queued":0,"slots":2}`)
		assert.Equal(t, get(PathHealth), `{"health":"failing"}`)
		stop()
	})
}

func TestColdWorkerIsSlowUntilWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPace(Config{Distribution: DistributionFixed, ColdStart: 10 * time.Second, ColdFactor: 5})
		assert.Equal(t, p.next(time.Second), 5*time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.next(time.Second), 3*time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.next(time.Second), time.Second)
		p.restart()
		assert.Equal(t, p.next(time.Second), 5*time.Second)
	})
}

func TestControlRefusesWhatItDoesNotKnow(t *testing.T) {
	b := newBench(t, func(*Config) {})
	for _, wrong := range []string{`{"shred":1}`, `{"shed":2}`, `{"freeze":"-1s"}`, `{"corruption":"odd"}`, `{} {}`, `nonsense`} {
		assert.Equal(t, b.control(wrong), http.StatusBadRequest, wrong)
	}
	assert.Equal(t, b.control(`{"shed":0.5}`), 200)
}

func TestFrozenWorkerAnswersNothing(t *testing.T) {
	b := newBench(t, func(*Config) {})
	began := time.Now()
	assert.Equal(t, b.control(`{"freeze":"300ms"}`), 200)
	_, _, err := b.call("n1", "", 7)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= 300*time.Millisecond)
}
