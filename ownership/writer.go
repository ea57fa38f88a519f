package ownership

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/shalefork/shalefork/internal/wire"
)

// retryAfterSeconds is sent with each refusal.
const retryAfterSeconds = "1"

// responseWriter keeps an answer honest: it echoes the request id, lets only
// the owner speak of outcomes, and never ends an answer cleanly that may be
// wrong or cut.
type responseWriter struct {
	http.ResponseWriter
	owner   *Owner
	id      string
	request *Request

	wroteHeader bool
	// replaced says that the handler's answer was refused, so the rest of what
	// it writes is dropped.
	replaced bool
}

// Unwrap gives http.ResponseController the connection's own writer.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Flush sends what was written so far.
func (w *responseWriter) Flush() {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if !w.replaced {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// WriteHeader begins the handler's answer. If the grant has ended and Check
// never allowed an effect, the answer may come from a state that is no longer
// this server's: "unknown" is sent in its place.
func (w *responseWriter) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	if status < http.StatusOK {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	if reason := w.request.lost(); reason != "" && !w.request.effectAllowed() {
		w.replace(reason)
		return
	}
	dropOwnHeaders(w.Header())
	w.begin(status)
}

// ownHeaders are those that only the owner sets.
var ownHeaders = []string{wire.HeaderOutcome, wire.HeaderReason, wire.HeaderRequestID, wire.HeaderDraining, wire.HeaderLoad}

// dropOwnHeaders removes them in whatever letters a handler set them: to the
// gateway all are the same.
func dropOwnHeaders(header http.Header) {
	for name := range header {
		isOwn := func(own string) bool { return strings.EqualFold(name, own) }
		if slices.ContainsFunc(ownHeaders, isOwn) {
			delete(header, name)
		}
	}
}

// Write writes the handler's answer, or drops it if it was replaced.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if w.replaced {
		return 0, http.ErrBodyNotAllowed
	}
	return w.ResponseWriter.Write(data)
}

func (w *responseWriter) begin(status int) {
	w.wroteHeader = true
	header := w.Header()
	header.Set(wire.HeaderRequestID, w.id)
	if w.owner.options.Name != "" {
		header.Set(wire.HeaderServer, w.owner.options.Name)
	}
	if w.owner.isDraining() {
		header.Set(wire.HeaderDraining, "true")
	}
	header.Set(wire.HeaderLoad, strconv.Itoa(w.owner.otherInFlight()))
	w.ResponseWriter.WriteHeader(status)
}

// refuse answers without a handler's answer.
func (w *responseWriter) refuse(outcome wire.Outcome, reason Reason) {
	status := http.StatusServiceUnavailable
	if reason == ReasonOverloaded {
		status = http.StatusTooManyRequests
	}
	clear(w.Header())
	header := w.Header()
	header.Set(wire.HeaderOutcome, string(outcome))
	header.Set(wire.HeaderReason, string(reason))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if outcome == wire.OutcomeNotRun {
		header.Set("Retry-After", retryAfterSeconds)
	}
	w.begin(status)
	fmt.Fprintf(w.ResponseWriter, "%s: %s\n", outcome, reason)
	w.replaced = true
}

// replace answers "unknown" in place of the handler.
func (w *responseWriter) replace(reason Reason) {
	w.refuse(wire.OutcomeUnknown, reason)
}

// end closes an answer after the handler returned. As in any server of net/http,
// a handler that wrote nothing means 200, but only if its request was valid to
// the end.
func (w *responseWriter) end() {
	reason := contextReason(w.request.ctx)
	if reason == "" {
		reason = w.request.lost()
	}
	switch {
	case w.replaced:
	case !w.wroteHeader && reason == "":
		w.WriteHeader(http.StatusOK)
	case !w.wroteHeader:
		w.replace(reason)
	case reason != "":
		w.breakUnlessWhole()
	}
}

// breakUnlessWhole closes the connection after a handler whose request was
// cancelled: a body of undeclared length would look whole. A declared length is
// checked by the server itself.
func (w *responseWriter) breakUnlessWhole() {
	if w.Header().Get("Content-Length") == "" {
		panic(http.ErrAbortHandler)
	}
}

// endPanicked closes an answer after the handler panicked.
func (w *responseWriter) endPanicked() {
	if w.wroteHeader {
		panic(http.ErrAbortHandler)
	}
	w.replace(ReasonPanicked)
}
