package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// anyPath is a service that takes every path of the gateway g1's name.
func anyPath() bundle.Service {
	service := keyedService("book", false)
	service.Route = bundle.Route{Host: "g1"}
	service.Key = &bundle.KeySource{Header: "X-Key"}
	return service
}

// rawAsk sends bytes to the gateway g1 and reads one answer.
func (c *cell) rawAsk(text string) answer {
	conn := c.connect()
	defer conn.Close()
	_, err := io.WriteString(conn, text)
	assert.NilError(c.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status:  response.StatusCode,
		outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)),
		reason:  wire.Reason(response.Header.Get(wire.HeaderReason)),
		header:  response.Header,
		body:    string(body),
		err:     err,
	}
}

func (c *cell) connect() net.Conn {
	conn, err := c.network.Dialer("caller", dialTimeout)(context.Background(), "tcp", "g1:80")
	assert.NilError(c.t, err)
	return conn
}

// The gateway shows the cell's token to servers. A caller that could choose a
// path of the system would speak to them as a controller does, and grant.
func TestCallersNeverReachTheSystemsPaths(t *testing.T) {
	paths := []string{
		wire.PathRenew, "/shalefork", "/%73halefork/v1/renew", "/shalefork%2Fv1%2Frenew", "//shalefork//v1/renew",
		"/Shalefork/v1/renew",
	}
	inCell(t, func(c *cell) {
		reached := 0
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) { reached++ }))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{anyPath()}, "w1"))
		assert.Equal(t, c.ask("POST", "/shaleforks", "x", "X-Key", "r7").status, 200)
		for _, path := range paths {
			c.ask("POST", path, "x", "X-Key", "r7").refused(t, 404, wire.OutcomeNotRun, wire.ReasonNoRoute)
		}
		assert.Equal(t, reached, 1)
	})
}

// A server may answer TRACE with the request as it came, the token included.
func TestTraceIsRefused(t *testing.T) {
	inCell(t, func(c *cell) {
		c.serve("w1:1", echo(func(writer http.ResponseWriter, request *http.Request) { _ = request.Header.Write(writer) }))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{anyPath()}, "w1"))
		got := c.ask("TRACE", "/", "", "X-Key", "r7")
		got.refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
		assert.Assert(t, !strings.Contains(got.body, testToken))
	})
}

// Targets that a server reads otherwise than the gateway, or not at all, would
// count as failures of the server.
func TestTargetsThatAreNoPathAreRefused(t *testing.T) {
	inCell(t, func(c *cell) {
		reached := 0
		c.raw("w1:1", &rawServer{handle: func(conn net.Conn, request *http.Request, _ int) bool {
			reached++
			writeReply(conn, idOf(request), "ran", 0)
			return true
		}})
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{anyPath()}, "w1"))
		for _, target := range []string{"urn:book", "*"} {
			got := c.rawAsk("GET " + target + " HTTP/1.1\r\nHost: g1\r\nX-Key: r7\r\nConnection: close\r\n\r\n")
			got.refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
		}
		assert.Equal(t, c.rawAsk("GET http://g1 HTTP/1.1\r\nHost: g1\r\nX-Key: r7\r\n\r\n").body, "ran")
		assert.Equal(t, reached, 1)
	})
}

// Of two readings of a query, the server may choose the other one.
func TestQueryThatIsReadInTwoWaysHasNoKey(t *testing.T) {
	inCell(t, func(c *cell) {
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) {}))
		c.gateway("g1")
		service := keyedService("book", false)
		service.Key = &bundle.KeySource{Query: "table"}
		c.controller.publish(tableOf(1, []bundle.Service{service}, "w1"))
		assert.Equal(t, c.ask("GET", "/book?table=r7&seats=2", "").status, 200)
		for _, query := range []string{"table=r7&x=1;table=r8", "table=r7&tabl%zz=r8", "table=r7&table=r8"} {
			got := c.rawAsk("GET /book?" + query + " HTTP/1.1\r\nHost: g1\r\n\r\n")
			got.refused(t, 400, wire.OutcomeNotRun, wire.ReasonNoKey)
		}
	})
}

// A caller that stops in the middle of a long body gives the server's slot
// back, also where the service has no deadline.
func TestStalledUploadIsEnded(t *testing.T) {
	inCell(t, func(c *cell) {
		gone := make(chan struct{})
		c.serve("w1:1", echo(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			close(gone)
		}))
		c.gateway("g1")
		service := keyedService("book", false)
		service.Limits.Deadline = 0
		c.controller.publish(tableOf(1, []bundle.Service{service}, "w1"))
		conn := c.connect()
		defer conn.Close()
		began := time.Now()
		_, _ = fmt.Fprintf(conn, "POST /book/r7 HTTP/1.1\r\nHost: g1\r\nContent-Length: %d\r\n\r\n", 3*replayBytes)
		_, _ = conn.Write(make([]byte, 2*replayBytes))
		synctest.Wait()
		select {
		case <-gone:
		case <-time.After(2 * idleLimit):
			t.Error("the server still waits for the rest")
		}
		assert.Assert(t, time.Since(began) <= 2*idleLimit)
	})
}

// What a caller does to its own body says nothing of the server.
func TestCutUploadDoesNotCountAgainstTheServer(t *testing.T) {
	inCell(t, func(c *cell) {
		c.serve("w1:1", echo(func(_ http.ResponseWriter, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) }))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		for range 3 {
			conn := c.connect()
			_, _ = fmt.Fprintf(conn, "POST /book/r7 HTTP/1.1\r\nHost: g1\r\nContent-Length: %d\r\n\r\n", 3*replayBytes)
			_, _ = conn.Write(make([]byte, 2*replayBytes))
			_ = conn.Close()
			synctest.Wait()
		}
		response, err := c.client.Get("http://g1:81/metrics")
		assert.NilError(t, err)
		defer response.Body.Close()
		metrics, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(metrics), `attempts_total{result="neutral"} 3`), "%s", metrics)
	})
}

// A caller that gives a server no time learns nothing of it, and must not have
// it ejected for the others.
func TestCallersOwnDeadlineDoesNotCountAgainstTheServer(t *testing.T) {
	inCell(t, func(c *cell) {
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		for range 4 {
			c.ask("POST", "/book/r7", "x", wire.HeaderDeadline, "5").refused(t, 504, wire.OutcomeUnknown, wire.ReasonDeadline)
		}
		time.Sleep(50 * time.Millisecond) // the server is free again
		began := time.Now()
		assert.Equal(t, c.ask("POST", "/book/r7", "x").status, 200)
		assert.Equal(t, time.Since(began), 50*time.Millisecond)
	})
}

// A request that a server's HTTP refuses before the server sees it, as one with
// long headers, must not have all servers ejected.
func TestRequestRefusedByHTTPDoesNotEjectTheServer(t *testing.T) {
	inCell(t, func(c *cell) {
		c.raw("w1:1", &rawServer{handle: func(conn net.Conn, request *http.Request, n int) bool {
			if n <= 8 {
				_, _ = io.WriteString(conn, "HTTP/1.1 431 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
				return false
			}
			writeReply(conn, idOf(request), "ran", 0)
			return true
		}})
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		for range 8 {
			c.ask("POST", "/book/r7", "x").refused(t, 502, wire.OutcomeUnknown, wire.ReasonMismatchedReply)
		}
		began := time.Now()
		assert.Equal(t, c.ask("POST", "/book/r7", "x").body, "ran")
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// The bodies that a gateway holds are bounded together, by what was read of
// them: one that is refused, answered or broken gives its memory back.
func TestBodiesAreBounded(t *testing.T) {
	inCell(t, func(c *cell) {
		release := make(chan struct{})
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) { <-release }))
		c.gateway("g1")
		gateway := c.gateways["g1"]
		gateway.bodies = semaphore.NewWeighted(100)
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		sixty := strings.Repeat("x", 60)
		first := make(chan answer)
		go func() { first <- c.ask("POST", "/book/r7", sixty) }()
		synctest.Wait()
		c.ask("POST", "/book/r7", sixty).refused(t, 429, wire.OutcomeNotRun, wire.ReasonQueueFull)
		c.rawAsk("POST /book/r7 HTTP/1.1\r\nHost: g1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nno chunk\r\n").
			refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
		close(release)
		assert.Equal(t, (<-first).status, 200)
		synctest.Wait()
		assert.Assert(t, gateway.bodies.TryAcquire(100), "memory was not given back")
	})
}

// Where a server unescapes or joins slashes before it counts segments, the key
// is another one there. An escaped slash within the key itself is the key's.
func TestPathThatIsReadInTwoWaysHasNoKey(t *testing.T) {
	inCell(t, func(c *cell) {
		var key string
		c.serve("w1:1", echo(func(_ http.ResponseWriter, request *http.Request) { key = request.Header.Get(wire.HeaderKey) }))
		c.gateway("g1")
		service := keyedService("book", false)
		service.Key.PathSegment = 3
		c.controller.publish(tableOf(1, []bundle.Service{service}, "w1"))
		for _, path := range []string{"/book/a%2Fr8/r7", "/book%2fr8/a/r7", "/book//r7", "/book/a//r7"} {
			c.ask("POST", path, "x").refused(t, 400, wire.OutcomeNotRun, wire.ReasonNoKey)
		}
		assert.Equal(t, c.ask("POST", "/book/a/riad%2F7/confirm", "x").status, 200)
		assert.Equal(t, key, "riad/7")
	})
}
