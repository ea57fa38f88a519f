package platform_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/platform"
)

// transport is a service in virtual time.
type transport func(*http.Request) (*http.Response, error)

func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t(request)
}

func newClient(service transport, options ...platform.Option) *platform.Client {
	return platform.NewClient("http://platform", &http.Client{Transport: service}, options...)
}

func answer(status int, body string) (*http.Response, error) {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func TestCallEndsWithinItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newClient(func(request *http.Request) (*http.Response, error) {
			<-request.Context().Done()
			return nil, request.Context().Err()
		}, platform.WithTimeout(3*time.Second))
		started := time.Now()
		_, err := client.Get(t.Context(), "a")
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.Equal(t, time.Since(started), 3*time.Second)
	})
}

func TestCallsKeepToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newClient(func(*http.Request) (*http.Response, error) {
			return answer(http.StatusOK, `[]`)
		}, platform.WithRate(10, 1))
		started := time.Now()
		for range 21 {
			_, err := client.Machines(t.Context())
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(started).Round(time.Millisecond), 2*time.Second)
	})
}

// Only a body that names the failure is believed: anything else may come from
// a proxy or another program, and says nothing about the effect.
func TestFailures(t *testing.T) {
	for _, test := range []struct {
		status   int
		body     string
		expected error
	}{
		{http.StatusBadRequest, `{"code":"malformed"}`, platform.ErrMalformed},
		{http.StatusNotFound, `{"code":"not-found"}`, platform.ErrNotFound},
		{http.StatusNotFound, `page not found`, platform.ErrUnavailable},
		{http.StatusConflict, `{"code":"conflict"}`, platform.ErrConflict},
		{http.StatusConflict, `{"code":"confl`, platform.ErrUnavailable},
		{http.StatusGone, `{"code":"compacted"}`, platform.ErrCompacted},
		{http.StatusTooManyRequests, `{"code":"rate-limited"}`, platform.ErrRateLimited},
		{http.StatusServiceUnavailable, `{"code":"unavailable"}`, platform.ErrUnavailable},
		{http.StatusTeapot, `{"code":"teapot"}`, platform.ErrUnavailable},
		{http.StatusOK, `{"key":"a"`, platform.ErrUnavailable},
	} {
		client := newClient(func(*http.Request) (*http.Response, error) { return answer(test.status, test.body) })
		_, err := client.Get(t.Context(), "a")
		assert.ErrorIs(t, err, test.expected, test.body)
		if !errors.Is(test.expected, platform.ErrUnavailable) {
			assert.Assert(t, !errors.Is(err, platform.ErrUnavailable), test.body)
		}
	}
}

func TestSilentWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newClient(func(request *http.Request) (*http.Response, error) {
			reader, writer := io.Pipe()
			go func() {
				time.Sleep(5 * time.Second)
				_, err := io.WriteString(writer, "{\"heartbeat\":true}\n")
				assert.Check(t, err)
				<-request.Context().Done()
				writer.CloseWithError(request.Context().Err())
			}()
			return &http.Response{StatusCode: http.StatusOK, Body: reader}, nil
		})
		started := time.Now()
		err := client.Watch(t.Context(), "", 0, nil)
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assert.ErrorContains(t, err, "silent")
		assert.Equal(t, time.Since(started), 5*time.Second+3*platform.WatchHeartbeat)
	})
}
