package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var defaultLimits = Limits{Depth: 16, Total: 64, BufferedBytes: 1 << 20, MayRunConcurrently: func(*http.Request) bool { return true }}

// testServer is an HTTP server with an attached Splitter.
type testServer struct {
	*Splitter
	server  *http.Server
	address string
}

func serve(t *testing.T, limits Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{Splitter: New(handler, limits), server: &http.Server{}, address: inner.Addr().String()}
	s.Attach(s.server)
	go func() { _ = s.server.Serve(s.Listen(inner)) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// testClient is a connection to a server.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	connection, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{Conn: connection, reader: bufio.NewReader(connection)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func (c *testClient) send(t *testing.T, requests ...string) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	assert.NilError(t, err)
}

// readResponse reads the next response. It returns its body and whether it closes the connection.
func (c *testClient) readResponse(t *testing.T) (body string, closes bool) {
	t.Helper()
	got, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	read, err := io.ReadAll(got.Body)
	assert.NilError(t, err)
	return string(read), got.Close
}

// assertClosed asserts that there are no further responses.
func (c *testClient) assertClosed(t *testing.T) {
	t.Helper()
	_, err := http.ReadResponse(c.reader, nil)
	assert.Assert(t, err != nil)
}

// echo responds with the path.
func echo(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.WriteString(writer, request.URL.Path)
}

// gates makes handlers wait until the test closes the channel of their path.
type gates struct {
	mu    sync.Mutex
	gates map[string]chan struct{}
}

func (g *gates) get(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gates == nil {
		g.gates = map[string]chan struct{}{}
	}
	if g.gates[path] == nil {
		g.gates[path] = make(chan struct{})
	}
	return g.gates[path]
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// Pipelined requests run concurrently. They ran one after another, so that a pipeline of requests
// that take 100 ms each took 100 ms times its length.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	for _, length := range []int{1, 2, 5, 20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			s := serve(t, Limits{Depth: 32, Total: 64, BufferedBytes: 1 << 20, MayRunConcurrently: defaultLimits.MayRunConcurrently}, func(writer http.ResponseWriter, request *http.Request) {
				time.Sleep(100 * time.Millisecond)
				echo(writer, request)
			})
			c := s.dial(t)
			began := time.Now()
			var pipelined []string
			for index := range length {
				pipelined = append(pipelined, get(fmt.Sprintf("/%d", index)))
			}
			c.send(t, pipelined...)
			for index := range length {
				body, _ := c.readResponse(t)
				assert.Equal(t, body, fmt.Sprintf("/%d", index))
			}
			t.Logf("%d requests: %v", length, time.Since(began).Round(time.Millisecond))
			assert.Equal(t, s.Served(), uint64(length-1))
		})
	}
}

// Responses are sent in the order of the requests, in whatever order they are ready. The first one
// does not wait for those behind it.
func TestResponsesAreInRequestOrder(t *testing.T) {
	var open gates
	s := serve(t, defaultLimits, func(writer http.ResponseWriter, request *http.Request) {
		<-open.get(request.URL.Path)
		echo(writer, request)
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"), get("/3"))
	waitUntil(t, "all requests running", func() bool { return s.Running() == 2 })
	close(open.get("/3"))
	close(open.get("/1"))
	body, _ := c.readResponse(t)
	assert.Equal(t, body, "/1")
	c.send(t, get("/4"))
	close(open.get("/4"))
	close(open.get("/2"))
	for _, want := range []string{"/2", "/3", "/4"} {
		body, _ := c.readResponse(t)
		assert.Equal(t, body, want)
	}
	waitUntil(t, "no requests running", func() bool { return s.Running() == 0 })
	assert.Equal(t, s.bufferedBytes.Load(), int64(0))
}

// A request that may not run concurrently waits for earlier ones, and later ones wait for it.
func TestWhatMayNotRunBesideOthersWaits(t *testing.T) {
	for name, between := range map[string]string{
		"a body":                  "POST /between HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"a route that runs alone": get("/between"),
		"a chunked body":          "POST /between HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"an expectation":          "GET /between HTTP/1.1\r\nHost: a\r\nExpect: nothing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			running, runningAtStart := 0, map[string]int{}
			limits := defaultLimits
			limits.MayRunConcurrently = func(request *http.Request) bool { return request.URL.Path != "/between" }
			s := serve(t, limits, func(writer http.ResponseWriter, request *http.Request) {
				mu.Lock()
				running++
				runningAtStart[request.URL.Path] = running
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				running--
				mu.Unlock()
				_, _ = io.Copy(io.Discard, request.Body)
				echo(writer, request)
			})
			c := s.dial(t)
			c.send(t, get("/1"), get("/2"), between, get("/3"), get("/4"))
			for _, want := range []string{"/1", "/2", "/between", "/3", "/4"} {
				body, _ := c.readResponse(t)
				if want == "/between" && name == "an expectation" {
					return // net/http rejects it
				}
				assert.Equal(t, body, want)
			}
			assert.Equal(t, runningAtStart["/between"], 1)
			assert.Equal(t, max(runningAtStart["/1"], runningAtStart["/2"]), 2, "either may begin first")
		})
	}
}

// A client that disconnects cancels all of its requests.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	ended := make(chan string, 3)
	s := serve(t, defaultLimits, func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		ended <- request.URL.Path
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"), get("/3"))
	waitUntil(t, "all requests running", func() bool { return s.Running() == 2 })
	_ = c.Close()
	seen := map[string]bool{}
	for range 3 {
		seen[<-ended] = true
	}
	assert.Equal(t, len(seen), 3)
	waitUntil(t, "no requests running", func() bool { return s.Running() == 0 })
}

// Only the last response on a connection has a Connection: close header. Requests behind it are not
// run.
func TestOnlyLastResponseClosesConnection(t *testing.T) {
	var open gates
	var runs atomic.Int32
	s := serve(t, defaultLimits, func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		<-open.get(request.URL.Path)
		writer.Header().Set("Connection", "close")
		echo(writer, request)
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"), get("/3"))
	waitUntil(t, "all requests running", func() bool { return runs.Load() == 3 })
	for _, path := range []string{"/1", "/2"} {
		close(open.get(path))
		body, closes := c.readResponse(t)
		assert.Equal(t, body, path)
		assert.Assert(t, !closes, path)
	}
	close(open.get("/3"))
	body, closes := c.readResponse(t)
	assert.Assert(t, closes && body == "/3")
	_, _ = io.WriteString(c, get("/4"))
	c.assertClosed(t)
	assert.Equal(t, runs.Load(), int32(3))
}

// On shutdown, net/http treats a connection as idle if only pipelined requests are running on it.
// Their responses must still be sent.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	var open gates
	s := serve(t, defaultLimits, func(writer http.ResponseWriter, request *http.Request) {
		<-open.get(request.URL.Path)
		echo(writer, request)
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"))
	waitUntil(t, "both requests running", func() bool { return s.Running() == 1 })
	close(open.get("/1"))
	body, _ := c.readResponse(t)
	assert.Equal(t, body, "/1")
	s.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.server.Shutdown(ctx))
	close(open.get("/2"))
	body, _ = c.readResponse(t)
	assert.Equal(t, body, "/2")
	c.assertClosed(t)
}

// A truncated response closes the connection. Otherwise, the client would take later responses for
// the rest of it.
func TestTruncatedResponseClosesConnection(t *testing.T) {
	for name, truncate := range map[string]func(http.ResponseWriter){
		"aborted": func(writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(writer, "half")
			panic(http.ErrAbortHandler)
		},
		"too short": func(writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(writer, "half")
		},
		"aborted, chunked": func(writer http.ResponseWriter) {
			_, _ = io.WriteString(writer, "half")
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, defaultLimits, func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/2" {
					truncate(writer)
					return
				}
				time.Sleep(20 * time.Millisecond)
				echo(writer, request)
			})
			c := s.dial(t)
			c.send(t, get("/1"), get("/2"), get("/3"))
			body, _ := c.readResponse(t)
			assert.Equal(t, body, "/1")
			rest, _ := io.ReadAll(c.reader)
			assert.Assert(t, strings.Contains(string(rest), "half"))
			assert.Assert(t, !strings.Contains(string(rest), "/3"))
			waitUntil(t, "no requests running", func() bool { return s.Running() == 0 })
			assert.Equal(t, s.bufferedBytes.Load(), int64(0))
		})
	}
}

func TestPipelineLimits(t *testing.T) {
	for name, test := range map[string]struct {
		limits     Limits
		maxRunning int
	}{
		"per connection": {limits: Limits{Depth: 3, Total: 64, BufferedBytes: 1 << 20}, maxRunning: 3},
		"in total":       {limits: Limits{Depth: 16, Total: 5, BufferedBytes: 1 << 20}, maxRunning: 5},
		"buffered bytes": {limits: Limits{Depth: 16, Total: 64, BufferedBytes: 2000}, maxRunning: 9},
	} {
		t.Run(name, func(t *testing.T) {
			test.limits.MayRunConcurrently = defaultLimits.MayRunConcurrently
			var s *testServer
			var maxRunning, maxBuffered atomic.Int64
			body := strings.Repeat("x", 900)
			s = serve(t, test.limits, func(writer http.ResponseWriter, request *http.Request) {
				maxRunning.Store(max(maxRunning.Load(), int64(s.Running())))
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(writer, body)
				maxBuffered.Store(max(maxBuffered.Load(), s.bufferedBytes.Load()))
			})
			c := s.dial(t)
			var pipelined []string
			for range 10 {
				pipelined = append(pipelined, get("/"))
			}
			c.send(t, pipelined...)
			for range 10 {
				got, _ := c.readResponse(t)
				assert.Equal(t, got, body)
			}
			assert.Assert(t, maxRunning.Load() <= int64(test.maxRunning), "%d requests at a time", maxRunning.Load())
			assert.Assert(t, maxBuffered.Load() <= test.limits.BufferedBytes, "%d bytes buffered", maxBuffered.Load())
		})
	}
}

// Pipelined requests may arrive in fragments of any size.
func TestPipelinedRequestsInFragments(t *testing.T) {
	s := serve(t, defaultLimits, echo)
	for size := 1; size < 60; size += 7 {
		c := s.dial(t)
		text := ""
		for index := range 6 {
			text += get(fmt.Sprintf("/%d", index))
			if index == 3 {
				text += "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
			}
		}
		go func() {
			for from := 0; from < len(text); from += size {
				_, _ = io.WriteString(c, text[from:min(len(text), from+size)])
				time.Sleep(50 * time.Microsecond)
			}
		}()
		for _, want := range []string{"/0", "/1", "/2", "/3", "/post", "/4", "/5"} {
			body, _ := c.readResponse(t)
			assert.Equal(t, body, want, "fragments of %d bytes", size)
		}
	}
}

// Clients that send parts of requests behind others made a process hold 16 KiB for each connection.
func TestWaitingRequestsOfAllConnectionsAreBounded(t *testing.T) {
	splitter := New(nil, Limits{UnreadBytes: 10_000})
	first, second := newConn(nil, splitter), newConn(nil, splitter)
	for _, c := range []*conn{first, second} {
		c.serverBusy, c.current.headComplete = true, true
		c.setUnread(make([]byte, 100))
	}
	action := func(c *conn) readAction {
		_, next, err := c.nextAction(make([]byte, 100))
		assert.NilError(t, err)
		return next
	}
	assert.Equal(t, action(first), readPipelined)
	second.setUnread(make([]byte, 10_000))
	assert.Equal(t, action(first), waitForSpace)
	third := newConn(nil, splitter)
	third.serverBusy, third.current.headComplete = true, true
	assert.Equal(t, action(third), readPipelined, "the end of the connection is noticed")
	second.setUnread(nil)
	assert.Equal(t, action(first), readPipelined)
	assert.Equal(t, splitter.unreadBytes.Load(), int64(100))
}
