package controller

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/platform"
)

// platformRetryAfter is, in seconds, when to come back while the platform's
// service is down.
const platformRetryAfter = 5

// Limits of the admin API's reads, and of its writes, a second.
const (
	adminRate  = 50
	adminBurst = 100
)

// adminStep carries out one write whose sender is known.
type adminStep func(request *http.Request, write signedWrite) (adminapi.BundleStatus, *adminapi.Failure)

// handleAdmin adds the paths of the admin API. Any controller answers them all:
// the truth of a team's versions is its head in the platform's service, one a cell,
// which is moved by compare-and-swap only.
func (c *Controller) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("POST "+adminapi.PathPropose, c.adminWrite(c.propose))
	mux.HandleFunc("POST "+adminapi.PathApprove, c.adminWrite(c.approve))
	mux.HandleFunc("POST "+adminapi.PathRoll, c.adminWrite(c.roll))
	mux.HandleFunc("GET "+adminapi.PathBundle, c.adminRead(c.serveBundle))
	mux.HandleFunc("GET "+adminapi.PathHistory, c.adminRead(c.serveHistory))
	mux.HandleFunc("GET "+adminapi.PathStatus, c.adminRead(c.serveStatus))
}

// adminRead serves an open read within the limit of all open reads.
func (c *Controller) adminRead(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !c.readLimit.Allow() {
			tooMany(writer)
			return
		}
		next(writer, request)
	}
}

func tooMany(writer http.ResponseWriter) {
	writer.Header().Set("Retry-After", "1")
	http.Error(writer, "too many requests", http.StatusTooManyRequests)
}

func (c *Controller) adminWrite(step adminStep) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		write, failure := c.authenticate(request)
		if failure != nil {
			c.fail(writer, failure)
			return
		}
		// Only known operators use this limit up.
		if !c.writeLimit.Allow() {
			tooMany(writer)
			return
		}
		status, failure := step(request, write)
		if failure != nil {
			c.fail(writer, failure)
			return
		}
		c.logger.Info().Str("path", request.URL.Path).Str("operator", string(write.operator)).
			Str("team", string(status.Team)).Uint64("version", uint64(status.Version)).Msg("operator's write")
		writeJSON(writer, http.StatusOK, status)
	}
}

// fail answers with a failure and counts those who may not write.
func (c *Controller) fail(writer http.ResponseWriter, failure *adminapi.Failure) {
	status := statusOf(failure.Code)
	if status == http.StatusForbidden {
		c.metrics.OperatorsRefused.Inc()
	}
	if failure.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(failure.RetryAfter))
	}
	writeJSON(writer, status, failure)
}

func statusOf(code adminapi.FailureCode) int {
	switch code {
	case adminapi.FailureUnknownOperator, adminapi.FailureBadSignature, adminapi.FailureStale:
		return http.StatusForbidden
	case adminapi.FailureInvalid:
		return http.StatusBadRequest
	case adminapi.FailureNotFound:
		return http.StatusNotFound
	case adminapi.FailurePlatform, adminapi.FailureNoLeader:
		return http.StatusServiceUnavailable
	default:
		return http.StatusConflict
	}
}

func invalid(format string, arguments ...any) *adminapi.Failure {
	return &adminapi.Failure{Code: adminapi.FailureInvalid, Message: fmt.Sprintf(format, arguments...)}
}

// storeFailure is the answer when the platform's service failed.
func (c *Controller) storeFailure(err error) *adminapi.Failure {
	if errors.Is(err, platform.ErrNotFound) {
		return &adminapi.Failure{
			Code:    adminapi.FailureNotFound,
			Message: fmt.Sprintf("cell %q has no such team or version", c.settings.Cell),
		}
	}
	return &adminapi.Failure{
		Code:       adminapi.FailurePlatform,
		Message:    "the platform's service does not answer; routing goes on",
		RetryAfter: platformRetryAfter,
	}
}
