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

var usual = Limits{Depth: 16, Total: 64, BufferedBytes: 1 << 20, MayRunConcurrently: func(*http.Request) bool { return true }}

// serving is a server of a handler, with its splitter.
type serving struct {
	*Splitter
	server  *http.Server
	address string
}

func serve(t *testing.T, limits Limits, handler http.HandlerFunc) *serving {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &serving{Splitter: New(handler, limits), server: &http.Server{}, address: inner.Addr().String()}
	s.Attach(s.server)
	go func() { _ = s.server.Serve(s.Listen(inner)) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// caller is one connection to a server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *serving) dial(t *testing.T) *caller {
	t.Helper()
	connection, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	return &caller{Conn: connection, reader: bufio.NewReader(connection)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func (c *caller) send(t *testing.T, requests ...string) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(requests, ""))
	assert.NilError(t, err)
}

// answer reads the next answer, and whether it closes the connection.
func (c *caller) answer(t *testing.T) (body string, closes bool) {
	t.Helper()
	got, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	read, err := io.ReadAll(got.Body)
	assert.NilError(t, err)
	return string(read), got.Close
}

// ended reports that no answer comes any more.
func (c *caller) ended(t *testing.T) {
	t.Helper()
	_, err := http.ReadResponse(c.reader, nil)
	assert.Assert(t, err != nil)
}

// echo answers with the path.
func echo(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.WriteString(writer, request.URL.Path)
}

// gates lets handlers wait until the test opens the gate of their path.
type gates struct {
	mu    sync.Mutex
	gates map[string]chan struct{}
}

func (g *gates) of(path string) chan struct{} {
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

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// A row of requests, each of which takes 100 ms, took as many times that as it was long.
func TestARowTakesAsLongAsItsLongest(t *testing.T) {
	for _, length := range []int{1, 2, 5, 20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			s := serve(t, Limits{Depth: 32, Total: 64, BufferedBytes: 1 << 20, MayRunConcurrently: usual.MayRunConcurrently}, func(writer http.ResponseWriter, request *http.Request) {
				time.Sleep(100 * time.Millisecond)
				echo(writer, request)
			})
			c := s.dial(t)
			began := time.Now()
			var row []string
			for index := range length {
				row = append(row, get(fmt.Sprintf("/%d", index)))
			}
			c.send(t, row...)
			for index := range length {
				body, _ := c.answer(t)
				assert.Equal(t, body, fmt.Sprintf("/%d", index))
			}
			t.Logf("a row of %d: %v", length, time.Since(began).Round(time.Millisecond))
			assert.Equal(t, s.Served(), uint64(length-1))
		})
	}
}

// Whatever order the answers are ready in, they leave in that of the requests, and the first is not
// held up by those behind it.
func TestAnswersLeaveInTheOrderOfTheirRequests(t *testing.T) {
	var open gates
	s := serve(t, usual, func(writer http.ResponseWriter, request *http.Request) {
		<-open.of(request.URL.Path)
		echo(writer, request)
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"), get("/3"))
	eventually(t, "that all run", func() bool { return s.Running() == 2 })
	close(open.of("/3"))
	close(open.of("/1"))
	body, _ := c.answer(t)
	assert.Equal(t, body, "/1")
	c.send(t, get("/4"))
	close(open.of("/4"))
	close(open.of("/2"))
	for _, want := range []string{"/2", "/3", "/4"} {
		body, _ := c.answer(t)
		assert.Equal(t, body, want)
	}
	eventually(t, "that none runs", func() bool { return s.Running() == 0 })
	assert.Equal(t, s.held.Load(), int64(0))
}

// What may not run beside others waits for those ahead, and those behind it for it.
func TestWhatMayNotRunBesideOthersWaits(t *testing.T) {
	for name, between := range map[string]string{
		"a body":            "POST /between HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"a route that runs": get("/between"),
		"a chunked body":    "POST /between HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"an expectation":    "GET /between HTTP/1.1\r\nHost: a\r\nExpect: nothing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			under, most := 0, map[string]int{}
			limits := usual
			limits.MayRunConcurrently = func(request *http.Request) bool { return request.URL.Path != "/between" }
			s := serve(t, limits, func(writer http.ResponseWriter, request *http.Request) {
				mu.Lock()
				under++
				most[request.URL.Path] = under
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				under--
				mu.Unlock()
				_, _ = io.Copy(io.Discard, request.Body)
				echo(writer, request)
			})
			c := s.dial(t)
			c.send(t, get("/1"), get("/2"), between, get("/3"), get("/4"))
			for _, want := range []string{"/1", "/2", "/between", "/3", "/4"} {
				body, _ := c.answer(t)
				if want == "/between" && name == "an expectation" {
					return // net/http refuses it
				}
				assert.Equal(t, body, want)
			}
			assert.Equal(t, most["/between"], 1)
			assert.Equal(t, most["/2"], 2)
		})
	}
}

// A caller that leaves ends all of its requests.
func TestACallerThatLeavesEndsItsRow(t *testing.T) {
	ended := make(chan string, 3)
	s := serve(t, usual, func(_ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		ended <- request.URL.Path
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"), get("/3"))
	eventually(t, "that all run", func() bool { return s.Running() == 2 })
	_ = c.Close()
	seen := map[string]bool{}
	for range 3 {
		seen[<-ended] = true
	}
	assert.Equal(t, len(seen), 3)
	eventually(t, "that none runs", func() bool { return s.Running() == 0 })
}

// Only the last answer that a connection gets says that it closes; what comes behind it is not run.
func TestTheLastAnswerCloses(t *testing.T) {
	var open gates
	var runs atomic.Int32
	s := serve(t, usual, func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		<-open.of(request.URL.Path)
		writer.Header().Set("Connection", "close")
		echo(writer, request)
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"), get("/3"))
	eventually(t, "that all run", func() bool { return runs.Load() == 3 })
	for _, path := range []string{"/1", "/2"} {
		close(open.of(path))
		body, closes := c.answer(t)
		assert.Equal(t, body, path)
		assert.Assert(t, !closes, path)
	}
	close(open.of("/3"))
	body, closes := c.answer(t)
	assert.Assert(t, closes && body == "/3")
	_, _ = io.WriteString(c, get("/4"))
	c.ended(t)
	assert.Equal(t, runs.Load(), int32(3))
}

// A server that ends takes a connection for idle on which only rows are under way.
func TestAServerThatEndsAnswersItsRows(t *testing.T) {
	var open gates
	s := serve(t, usual, func(writer http.ResponseWriter, request *http.Request) {
		<-open.of(request.URL.Path)
		echo(writer, request)
	})
	c := s.dial(t)
	c.send(t, get("/1"), get("/2"))
	eventually(t, "that both run", func() bool { return s.Running() == 1 })
	close(open.of("/1"))
	body, _ := c.answer(t)
	assert.Equal(t, body, "/1")
	s.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.server.Shutdown(ctx))
	close(open.of("/2"))
	body, _ = c.answer(t)
	assert.Equal(t, body, "/2")
	c.ended(t)
}

// An answer that is cut ends the connection: those behind it would be taken for its rest.
func TestACutAnswerIsTheLast(t *testing.T) {
	for name, cut := range map[string]func(http.ResponseWriter){
		"aborted": func(writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(writer, "half")
			panic(http.ErrAbortHandler)
		},
		"too short": func(writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(writer, "half")
		},
		"aborted in chunks": func(writer http.ResponseWriter) {
			_, _ = io.WriteString(writer, "half")
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, usual, func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/2" {
					cut(writer)
					return
				}
				time.Sleep(20 * time.Millisecond)
				echo(writer, request)
			})
			c := s.dial(t)
			c.send(t, get("/1"), get("/2"), get("/3"))
			body, _ := c.answer(t)
			assert.Equal(t, body, "/1")
			rest, _ := io.ReadAll(c.reader)
			assert.Assert(t, strings.Contains(string(rest), "half"))
			assert.Assert(t, !strings.Contains(string(rest), "/3"))
			eventually(t, "that none runs", func() bool { return s.Running() == 0 })
			assert.Equal(t, s.held.Load(), int64(0))
		})
	}
}

func TestRowsAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		limits Limits
		most   int
	}{
		"in one connection": {limits: Limits{Depth: 3, Total: 64, BufferedBytes: 1 << 20}, most: 3},
		"in all":            {limits: Limits{Depth: 16, Total: 5, BufferedBytes: 1 << 20}, most: 5},
		"in bytes":          {limits: Limits{Depth: 16, Total: 64, BufferedBytes: 2000}, most: 9},
	} {
		t.Run(name, func(t *testing.T) {
			test.limits.MayRunConcurrently = usual.MayRunConcurrently
			var s *serving
			var most, mostHeld atomic.Int64
			body := strings.Repeat("x", 900)
			s = serve(t, test.limits, func(writer http.ResponseWriter, request *http.Request) {
				most.Store(max(most.Load(), int64(s.Running())))
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(writer, body)
				mostHeld.Store(max(mostHeld.Load(), s.held.Load()))
			})
			c := s.dial(t)
			var row []string
			for range 10 {
				row = append(row, get("/"))
			}
			c.send(t, row...)
			for range 10 {
				got, _ := c.answer(t)
				assert.Equal(t, got, body)
			}
			assert.Assert(t, most.Load() <= int64(test.most), "%d at a time", most.Load())
			assert.Assert(t, mostHeld.Load() <= test.limits.BufferedBytes, "%d bytes held", mostHeld.Load())
		})
	}
}

// Rows come in pieces of any size, and connections serve many.
func TestRowsInPieces(t *testing.T) {
	s := serve(t, usual, echo)
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
			body, _ := c.answer(t)
			assert.Equal(t, body, want, "pieces of %d", size)
		}
	}
}
