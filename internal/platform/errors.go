package platform

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/zeebo/errs"
)

var (
	// ErrCompacted: the service no longer has all changes after the revision
	// that a watch asked for. List the keys again, then watch from there.
	ErrCompacted = errs.New("revision compacted")
	// ErrMalformed: the service refuses the request as it is; it had no effect.
	ErrMalformed = errs.New("request malformed")
	// ErrRateLimited is an ErrUnavailable: the service refused the request,
	// without effect, because there were too many.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrUnavailable)
)

// failureKind ties a code, a status and an error together.
type failureKind struct {
	code   FailureCode
	status int
	err    error
}

// failureKinds are in the order in which errors are matched: the more specific
// first.
var failureKinds = []failureKind{
	{FailureMalformed, http.StatusBadRequest, ErrMalformed},
	{FailureNotFound, http.StatusNotFound, ErrNotFound},
	{FailureConflict, http.StatusConflict, ErrConflict},
	{FailureCompacted, http.StatusGone, ErrCompacted},
	{FailureRateLimited, http.StatusTooManyRequests, ErrRateLimited},
	{FailureUnavailable, http.StatusServiceUnavailable, ErrUnavailable},
}

// Err returns the error that the failure stands for. A code that is not known
// counts as ErrUnavailable: nothing is known about the effect.
func (f Failure) Err() error {
	for _, kind := range failureKinds {
		if kind.code == f.Code {
			return fmt.Errorf("%w (%s)", kind.err, f.Message)
		}
	}
	return fmt.Errorf("%w: unknown failure code %q", ErrUnavailable, f.Code)
}

// FailureOf returns the failure, and the status of the answer that carries it,
// for an error of a Store.
func FailureOf(err error) (Failure, int) {
	for _, kind := range failureKinds {
		if errors.Is(err, kind.err) {
			return Failure{Code: kind.code, Message: err.Error()}, kind.status
		}
	}
	return Failure{Code: FailureUnavailable, Message: err.Error()}, http.StatusServiceUnavailable
}
