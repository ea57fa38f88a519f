package proxy

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The limit must also hold for chunked bodies, whose length no header announces.
func TestBodyBeyondLimitIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		limit, length int64
		unsized       bool
		status        int
	}{
		"told":                              {limit: 100_000, length: 100_001, status: http.StatusRequestEntityTooLarge},
		"in chunks":                         {limit: 100_000, length: 100_001, unsized: true, status: http.StatusRequestEntityTooLarge},
		"in chunks, small":                  {limit: 1000, length: 1001, unsized: true, status: http.StatusRequestEntityTooLarge},
		"in chunks, at the limit":           {limit: 100_000, length: 100_000, unsized: true, status: http.StatusOK},
		"in chunks, partly streamed":        {limit: 2 * maxBufferedBody, length: 2*maxBufferedBody + 1, unsized: true, status: http.StatusBadGateway},
		"in chunks, streamed, at the limit": {limit: 2 * maxBufferedBody, length: 2 * maxBufferedBody, unsized: true, status: http.StatusOK},
		"announced, streamed, at the limit": {limit: 2 * maxBufferedBody, length: 2 * maxBufferedBody, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("x"))
			f := newTestProxy(t, w.entry("pool"))
			config := testConfig(t, 2)
			config.Services["pool"].BodyBytes = test.limit
			assert.Assert(t, f.proxy.Use(config))
			announced := test.length
			if test.unsized {
				announced = -1
			}
			response, _ := f.upload(t, "/up/", unsized{strings.NewReader(strings.Repeat("b", int(test.length)))}, announced)
			assert.Equal(t, response.StatusCode, test.status)
			if test.status != http.StatusOK {
				assert.Equal(t, w.receivedCount(), 0, "no worker may receive the complete body")
			}
			f.awaitNoBodies(t)
		})
	}
}
