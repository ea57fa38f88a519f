package peerauth_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/peerauth"
)

func TestStrangersAreRefusedAndCounted(t *testing.T) {
	refused := prometheus.NewCounter(prometheus.CounterOpts{Name: "refused"})
	seen := 0
	server := httptest.NewServer(peerauth.Require("the cell's own token", refused, http.HandlerFunc(
		func(_ http.ResponseWriter, request *http.Request) {
			seen++
			assert.Check(t, request.Header.Get(peerauth.Header) == "", "the token goes no further")
		})))
	defer server.Close()
	ask := func(transport http.RoundTripper) int {
		response, err := (&http.Client{Transport: transport}).Get(server.URL)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, ask(http.DefaultTransport), http.StatusForbidden)
	assert.Equal(t, ask(&peerauth.Transport{Token: "another", Base: http.DefaultTransport}), http.StatusForbidden)
	assert.Equal(t, ask(&peerauth.Transport{Token: "the cell's own token", Base: http.DefaultTransport}), http.StatusOK)
	assert.Equal(t, seen, 1)
	assert.Equal(t, testutil.ToFloat64(refused), 2.0)
}
