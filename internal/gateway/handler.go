package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// ServeHTTP answers one caller's request.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := newRequestID()
	made, refused := g.newCall(id, request)
	if refused != nil {
		g.refuse(writer, id, refused)
		return
	}
	key, refused := made.idempotencyKey()
	if refused == nil {
		refused = made.readBody(writer, key != "", g.bodies)
	}
	if refused != nil {
		g.refuse(writer, id, refused)
		return
	}
	defer made.body.end()
	if key != "" {
		g.answerOnce(writer, made, key)
		return
	}
	g.answer(writer, made)
}

// answer runs the call and passes its answer on.
func (g *Gateway) answer(writer http.ResponseWriter, c *call) {
	ctx, cancel := c.withDeadline(c.request.Context())
	defer cancel()
	got, refused := g.exchange(ctx, c)
	if refused != nil {
		g.refuse(writer, c.id, refused)
		return
	}
	g.observe(c, got)
	g.passOn(writer, c, got, cancel)
}

// observe counts an answer that is passed on.
func (g *Gateway) observe(c *call, got *reply) {
	name := string(c.route.name)
	class := strconv.Itoa(got.response.StatusCode/100) + "xx"
	g.metrics.Answers.WithLabelValues(name, class).Inc()
	g.metrics.Seconds.WithLabelValues(name).Observe(time.Since(c.arrived).Seconds())
}

// passOn copies the answer. A body that ends short breaks the caller's answer
// visibly: the connection is cut, never ended as if all were there.
func (g *Gateway) passOn(writer http.ResponseWriter, c *call, got *reply, cancel context.CancelFunc) {
	defer got.finish()
	response := got.response
	header := writer.Header()
	stripHopByHop(response.Header)
	stripSystem(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(wire.HeaderRequestID, string(c.id))
	g.closeAfter(writer)
	writer.WriteHeader(response.StatusCode)
	err := copyBody(writer, response, idleWatch{limit: streamIdle(c.limit), cancel: cancel})
	if err != nil {
		g.metrics.BrokenAnswers.Inc()
		got.finish()
		breakAnswer(c.request)
	}
}

// connKey is where a request's context holds its connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// breakAnswer closes the connection in the middle of an answer. For HTTP/1.0 an
// end of the connection is the end of the answer, so it is reset there.
func breakAnswer(request *http.Request) {
	conn, isTCP := request.Context().Value(connKey{}).(*net.TCPConn)
	if isTCP && !request.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// idleLimit ends a transfer without a deadline in which no byte moves.
const idleLimit = 5 * time.Minute

// streamIdle returns the idle limit of a call: only one without a deadline
// needs it.
func streamIdle(limit time.Duration) time.Duration {
	if limit > 0 {
		return 0
	}
	return idleLimit
}
