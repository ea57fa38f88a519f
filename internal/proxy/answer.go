package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
)

// forwardAnswer sends a worker's answer to the client. Status and body are unchanged.
func (c *call) forwardAnswer(result *upstream.Result) {
	c.detach()
	if c.bodyUnread {
		c.answerBeforeBodyEnd()
	}
	header := c.writer.Header()
	connectionHeader := header.Get("Connection")
	c.proxy.Headers.ForEachForwarded(result.Header, func(name string, values []string) { header[name] = values })
	header.Del(declinedHeader) // a worker that has run the request must not make another router run it
	if _, present := result.Header["Content-Type"]; !present {
		header["Content-Type"] = nil // prevents net/http from detecting one
	}
	if connectionHeader != "" {
		header.Set("Connection", connectionHeader)
	}
	if c.request.Method == http.MethodHead || result.Stream != nil {
		if length := result.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	} else if result.Status != http.StatusNoContent && result.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(result.Body.Length(), 10))
	}
	c.writer.WriteHeader(result.Status)
	if err := c.forwardBody(result); err != nil {
		c.recordEnd(result.Status, c.truncationReason(result, err))
		c.abortConnection()
	}
	c.recordEnd(result.Status, "")
}

// forwardBody sends the answer's body to the client. Large bodies share the link's bandwidth with
// others, and are sent for as long as the client keeps reading.
func (c *call) forwardBody(result *upstream.Result) error {
	if result.Stream == nil && result.Body.Length() <= bodies.MaxSmall {
		small := result.Body.Prefix(bodies.MaxSmall)
		c.proxy.LinkShaper.RecordSent(len(small))
		_, err := c.writer.Write(small)
		return err
	}
	c.proxy.downloads.Add(1)
	defer c.proxy.downloads.Add(-1)
	controller := http.NewResponseController(c.writer)
	to := bodies.NewWriter(c.writer, controller)
	paced := c.proxy.LinkShaper.NewWriter(c.request.Context(), to)
	if err := writeAnswer(paced, result, controller.Flush); err != nil {
		return err
	}
	_ = controller.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	return nil
}

// writeAnswer writes a buffered answer, or a streamed one as it arrives.
func writeAnswer(to io.Writer, result *upstream.Result, flush func() error) error {
	if result.Stream != nil {
		_, err := result.Stream.WriteTo(to, flush)
		return err
	}
	pieces := result.Body.Pieces()
	_, err := pieces.WriteTo(to)
	return err
}

// abortConnection aborts the connection to the caller, so that a truncated answer does not count as
// complete. For HTTP/1.0 the connection is reset, since there a regular close marks the end of the
// answer.
func (c *call) abortConnection() {
	if !c.request.ProtoAtLeast(1, 1) {
		if connection, _, err := http.NewResponseController(c.writer).Hijack(); err == nil {
			if tcp, ok := connection.(interface{ SetLinger(int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = connection.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// truncationReason returns the reason for which an answer was truncated.
func (c *call) truncationReason(result *upstream.Result, err error) string {
	switch {
	case result.Stream != nil && result.Stream.Err() != nil && c.timeLeft() <= answerMargin:
		return reasonCutAtDeadline
	case result.Stream != nil && result.Stream.Err() != nil && c.request.Context().Err() == nil:
		return reasonCutByWorker
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonCallerSlow
	}
	return reasonCutByClient
}

// refuse answers the request on behalf of the router itself. No Retry-After header is sent if
// retryAfter is zero.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	header := c.writer.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if c.message.ID != "" {
		header.Set(c.proxy.Headers.RequestID, c.message.ID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := publicReason(reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	if c.bodyUnread {
		c.answerBeforeBodyEnd()
	}
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, text)
	c.recordEnd(status, reason)
}

// slowLogShare is the fraction of the target latency above which an answer is logged as slow.
const slowLogShare = 1.0

// recordEnd updates the metrics at the end of the request, and logs it unless it was answered in
// time, after at most one send, and without a refusal, truncation or server error.
func (c *call) recordEnd(status int, reason string) {
	took := clock.Since(c.began)
	service := ""
	if c.service != nil {
		service = string(c.service.Name)
	}
	c.proxy.Metrics.recordEnd(service, status, reason, took)
	if c.tenant != nil {
		c.proxy.Metrics.tenants.recordEnd(c.tenant.Name, status)
	}
	expected := reason == "" && status < http.StatusInternalServerError && c.sends.mayHaveArrived() <= 1 &&
		(c.route == nil || took <= time.Duration(slowLogShare*float64(c.route.Target)))
	if expected {
		return
	}
	line := c.proxy.Log.Line(decision.KindRequest).Str("id", c.message.ID).Int("status", status).Str("reason", reason).
		Str("service", service).Dur("took", took).Int("sends", c.sends.mayHaveArrived()).
		Int("runs", c.sends.mayHaveRun()).Int("unsent", c.sends.unsent)
	if c.config != nil {
		line = line.Uint64("config", uint64(c.config.Version))
	}
	if c.route != nil {
		line = line.Str("route", c.route.Name)
	}
	if c.tenant != nil {
		line = line.Str("tenant", string(c.tenant.Name))
	}
	if c.removedKey.RevokedIn > 0 {
		line = line.Str("tenant", string(c.removedKey.Tenant)).Uint64("gone_with", uint64(c.removedKey.RevokedIn))
	}
	if reason == reasonQuarantined || reason == reasonSuspected {
		line = line.Str("fingerprint", c.fingerprint().String())
	}
	if c.lastResult != nil {
		line = line.Str("worker", string(c.lastWorker)).Str("last", string(c.lastResult.Outcome)).AnErr("error", c.lastResult.Err)
	}
	if c.service != nil && c.service.Keyed {
		term, age := c.proxy.Table.Age()
		line = line.Int("key", c.key).Int64("term", int64(term)).Dur("table_age", age)
	}
	line.Msg("")
}

// logResend logs the previous result before the request is sent again.
func (c *call) logResend(result *upstream.Result) {
	c.proxy.Log.Line(decision.KindResent).Str("id", c.message.ID).Str("worker", string(c.lastWorker)).
		Str("outcome", string(result.Outcome)).Int("status", result.Status).AnErr("error", result.Err).
		Dur("after", clock.Since(c.began)).Msg("")
}
