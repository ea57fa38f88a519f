package ownership

import (
	"net/http"
	"runtime/debug"

	"github.com/shalefork/shalefork/internal/wire"
)

// serveRequest admits a request, lets next run it, and sees to an honest end.
func (o *Owner) serveRequest(writer http.ResponseWriter, httpRequest *http.Request, next http.Handler) {
	answer := &responseWriter{ResponseWriter: writer, owner: o, id: httpRequest.Header.Get(wire.HeaderRequestID)}
	routing, valid := parseRouting(httpRequest.Header)
	if !valid {
		o.refuse(answer, ReasonMalformed)
		return
	}
	request, reason := o.admit(httpRequest.Context(), routing)
	if reason != "" {
		o.refuse(answer, reason)
		return
	}
	o.options.Metrics.Admitted.Inc()
	request.writer = answer
	answer.request = request
	o.run(answer, httpRequest, next)
}

func (o *Owner) refuse(answer *responseWriter, reason Reason) {
	o.options.Metrics.Refused.WithLabelValues(string(reason)).Inc()
	answer.refuse(wire.OutcomeNotRun, reason)
}

func (o *Owner) run(answer *responseWriter, httpRequest *http.Request, next http.Handler) {
	request := answer.request
	defer o.finish(request)
	defer request.cancel(nil)
	defer request.stop()
	if o.call(next, answer, httpRequest.WithContext(request.ctx)) {
		answer.endPanicked()
		return
	}
	answer.end()
}

// call runs the handler and reports whether it panicked. A handler that aborts
// on purpose with http.ErrAbortHandler breaks the answer as in any server.
func (o *Owner) call(next http.Handler, answer *responseWriter, httpRequest *http.Request) (panicked bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if value == http.ErrAbortHandler {
			panic(value)
		}
		panicked = true
		o.options.Metrics.Panics.Inc()
		o.options.OnPanic(value, debug.Stack())
	}()
	next.ServeHTTP(answer, httpRequest)
	return false
}
