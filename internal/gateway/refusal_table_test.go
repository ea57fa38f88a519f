package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// refusalRow matches a row of the table of refusals: the last column names the
// tests that show it.
var refusalRow = regexp.MustCompile(`(?m)^\| (?:[45]\d\d)[^|]*\| (?:not-run|unknown) \|.*\| ([^|]+) \|$`)

// Every row of the table of refusals in docs/PROTOCOLS.md names tests that exist.
func TestEveryRowOfTheTableOfRefusalsHasATest(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "PROTOCOLS.md"))
	assert.NilError(t, err)
	files, err := filepath.Glob("*_test.go")
	assert.NilError(t, err)
	var tests strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		tests.Write(text)
	}
	rows := refusalRow.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(rows) >= 25, "found %d rows", len(rows))
	for _, row := range rows {
		for name := range strings.SplitSeq(row[1], ", ") {
			assert.Assert(t, strings.Contains(tests.String(), "func Test"+name+"("), "no test for %s", row[0])
		}
	}
}

// A body that cannot be read is refused before any server is asked.
func TestBrokenBodyIsMalformed(t *testing.T) {
	inCell(t, func(c *cell) {
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		got := c.rawAsk("POST /book/r7 HTTP/1.1\r\nHost: g1\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n")
		got.refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
	})
}

// A long body of undeclared length shows that it is over the limit only when a
// part of it has left.
func TestStreamedBodyOverTheLimitIsUnknown(t *testing.T) {
	inCell(t, func(c *cell) {
		c.serve("w1:1", echo(func(_ http.ResponseWriter, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) }))
		c.gateway("g1")
		service := keyedService("book", false)
		service.Limits.MaxBodyBytes = 2 * replayBytes
		c.controller.publish(tableOf(1, []bundle.Service{service}, "w1"))
		chunk := fmt.Sprintf("%x\r\n%s\r\n", replayBytes, make([]byte, replayBytes))
		got := c.rawAsk("POST /book/r7 HTTP/1.1\r\nHost: g1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 2) + "1\r\nx\r\n0\r\n\r\n")
		got.refused(t, 502, wire.OutcomeUnknown, wire.ReasonTooLarge)
	})
}

// A server that began and cannot say how it ended says "unknown".
func TestServersUnknownReachesTheCaller(t *testing.T) {
	for given, want := range map[string]wire.Reason{"expired": wire.ReasonExpired, "panicked": wire.ReasonAnswerLost} {
		inCell(t, func(c *cell) {
			c.serve("w1:1", echo(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(wire.HeaderOutcome, string(wire.OutcomeUnknown))
				writer.Header().Set(wire.HeaderReason, given)
				writer.WriteHeader(http.StatusServiceUnavailable)
			}))
			c.gateway("g1")
			c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
			c.ask("POST", "/book/r7", "x").refused(t, 502, wire.OutcomeUnknown, want)
		})
	}
}

// After a try that may have run, no refusal of a later one says that the
// request did not run.
func TestRefusalAfterATryThatMayHaveRunIsUnknown(t *testing.T) {
	cases := []struct {
		reason wire.Reason
		status int
	}{{wire.ReasonMalformed, 502}, {wire.ReasonWrongFence, 504}}
	for _, test := range cases {
		inCell(t, func(c *cell) {
			c.raw("w1:1", &rawServer{handle: func(conn net.Conn, request *http.Request, n int) bool {
				if n == 1 {
					return false
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\n%s: %s\r\n%s: not-run\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
					wire.HeaderRequestID, idOf(request), wire.HeaderOutcome, wire.HeaderReason, test.reason)
				return true
			}})
			c.gateway("g1")
			c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", true)}, "w1"))
			c.ask("GET", "/book/r7", "").refused(t, test.status, wire.OutcomeUnknown, test.reason)
		})
	}
}

// With the retry budget empty, a try that may have run is the last.
func TestRetryBudgetSpentAfterATryThatMayHaveRun(t *testing.T) {
	inCell(t, func(c *cell) {
		c.raw("w1:1", &rawServer{handle: func(net.Conn, *http.Request, int) bool { return false }})
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", true)}, "w1"))
		var got answer
		for range 50 {
			if got = c.ask("GET", "/book/r7", ""); got.reason == wire.ReasonRetriesSpent {
				break
			}
		}
		got.refused(t, 502, wire.OutcomeUnknown, wire.ReasonRetriesSpent)
	})
}
