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

// pass gives a worker's answer to the client, unchanged.
func (c *call) pass(got *upstream.Result) {
	c.detach()
	if c.unread {
		c.leaveUnread()
	}
	header := c.writer.Header()
	closing := header.Get("Connection")
	c.proxy.Headers.Pass(got.Header, func(name string, values []string) { header[name] = values })
	if _, named := got.Header["Content-Type"]; !named {
		header["Content-Type"] = nil // net/http must not guess one
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if c.request.Method == http.MethodHead || got.Stream != nil {
		if length := got.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	} else if got.Status != http.StatusNoContent && got.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(got.Body.Length(), 10))
	}
	c.writer.WriteHeader(got.Status)
	if err := c.passBody(got); err != nil {
		c.tell(got.Status, c.cutBy(got, err))
		c.breakOff()
	}
	c.tell(got.Status, "")
}

// passBody gives the answer's body to the client: a large one in turns with others, and for as
// long as the client takes it.
func (c *call) passBody(got *upstream.Result) error {
	if got.Stream == nil && got.Body.Length() <= bodies.Small {
		small := got.Body.Start(bodies.Small)
		c.proxy.Turns.Sent(len(small))
		_, err := c.writer.Write(small)
		return err
	}
	c.proxy.downloads.Add(1)
	defer c.proxy.downloads.Add(-1)
	controller := http.NewResponseController(c.writer)
	to := bodies.NewWriter(c.writer, controller)
	paced := c.proxy.Turns.Pace(c.request.Context(), to)
	if err := writeTo(paced, got, controller.Flush); err != nil {
		return err
	}
	_ = controller.SetWriteDeadline(time.Time{}) // fails with the connection only
	return nil
}

// writeTo writes an answer that is whole, or as it comes.
func writeTo(to io.Writer, got *upstream.Result, flush func() error) error {
	if got.Stream != nil {
		_, err := got.Stream.WriteTo(to, flush)
		return err
	}
	pieces := got.Body.Pieces()
	_, err := pieces.WriteTo(to)
	return err
}

// breakOff ends the connection to the caller: what is cut must not look whole. To a caller of
// HTTP/1.0 the end of a connection is that of the answer, but a reset is not.
func (c *call) breakOff() {
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

// cutBy says who ended an answer before it was whole.
func (c *call) cutBy(got *upstream.Result, err error) string {
	switch {
	case got.Stream != nil && got.Stream.Err() != nil && c.left() <= answerMargin:
		return reasonCutLate
	case got.Stream != nil && got.Stream.Err() != nil && c.request.Context().Err() == nil:
		return reasonCutByWorker
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonSlow
	}
	return reasonCutByClient
}

// refuse answers in the system's own name. retryAfter zero tells no time.
func (c *call) refuse(status int, reason string, retryAfter time.Duration) {
	header := c.writer.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if c.message.ID != "" {
		header.Set(c.proxy.Headers.RequestID, c.message.ID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := shownReason(reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	if c.unread {
		c.leaveUnread()
	}
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, text)
	c.tell(status, reason)
}

// slowShare: an answer later than this share of the target is told.
const slowShare = 1.0

// tell counts the end of the request, and writes a line unless it went as
// planned.
func (c *call) tell(status int, reason string) {
	took := clock.Since(c.began)
	service := ""
	if c.service != nil {
		service = string(c.service.Name)
	}
	c.proxy.Metrics.ended(service, status, reason, took)
	if c.tenant != nil {
		c.proxy.Metrics.tenants.ended(c.tenant.Name, status)
	}
	planned := reason == "" && status < http.StatusInternalServerError && c.allowed.sends() <= 1 &&
		(c.route == nil || took <= time.Duration(slowShare*float64(c.route.Target)))
	if planned {
		return
	}
	line := c.proxy.Log.Line(decision.KindRequest).Str("id", c.message.ID).Int("status", status).Str("reason", reason).
		Str("service", service).Dur("took", took).Int("sends", c.allowed.sends()).
		Int("runs", c.allowed.mayHaveRun()).Int("unsent", c.allowed.unsent)
	if c.config != nil {
		line = line.Uint64("config", uint64(c.config.Version))
	}
	if c.route != nil {
		line = line.Str("route", c.route.Name)
	}
	if c.tenant != nil {
		line = line.Str("tenant", string(c.tenant.Name))
	}
	if c.former.Gone > 0 {
		line = line.Str("tenant", string(c.former.Tenant)).Uint64("gone_with", uint64(c.former.Gone))
	}
	if reason == reasonQuarantined {
		line = line.Str("fingerprint", c.fingerprint().String())
	}
	if c.last != nil {
		line = line.Str("worker", string(c.lastTo)).Str("last", string(c.last.Outcome)).AnErr("error", c.last.Err)
	}
	if c.service != nil && c.service.Keyed {
		term, age := c.proxy.Table.Age()
		line = line.Int("key", c.key).Int64("term", int64(term)).Dur("table_age", age)
	}
	line.Msg("")
}

// tellAgain writes a line before the request is sent once more.
func (c *call) tellAgain(got *upstream.Result) {
	c.proxy.Log.Line(decision.KindSent).Str("id", c.message.ID).Str("worker", string(c.lastTo)).
		Str("outcome", string(got.Outcome)).Int("status", got.Status).AnErr("error", got.Err).
		Dur("after", clock.Since(c.began)).Msg("")
}
