package proxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// Bodies without a length in their headers must not be recorded as empty. Otherwise each download
// counts as some 600 bytes, and an unlimited number of downloads crosses the link between regions.
func TestUnknownBodyLengthIsNotLearned(t *testing.T) {
	length := func(text string) http.Header { return http.Header{"Content-Length": {text}} }
	for name, test := range map[string]struct {
		up      int64
		got     upstream.Result
		learned bool
	}{
		"download in chunks":       {got: upstream.Result{Stream: &bodies.Pipe{}}},
		"download of known length": {got: upstream.Result{Stream: &bodies.Pipe{}, Header: length("90000")}, learned: true},
		"whole answer":             {learned: true},
		"upload in chunks":         {up: -1},
		"upload of known length":   {up: 90_000, learned: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestProxy(t)
			c := &call{
				proxy: f.proxy, route: &routing.Route{Name: "r", Class: routing.BulkDownload},
				service: &routing.Service{Name: "pool"}, message: upstream.Message{Length: test.up},
			}
			for range 100 {
				c.recordSize(&workers.Worker{}, &test.got)
			}
			assert.Equal(t, f.proxy.fleet.sizes.expected(c.route) != defaultBulkBytes, test.learned)
		})
	}
}
