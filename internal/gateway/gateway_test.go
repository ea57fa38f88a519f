package gateway

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

func TestKeyedRequestReachesItsOwner(t *testing.T) {
	inCell(t, func(c *cell) {
		var seen *http.Request
		c.serve("w1:1", echo(func(writer http.ResponseWriter, request *http.Request) {
			seen = request
			body, _ := io.ReadAll(request.Body)
			_, _ = writer.Write(append([]byte("ran "), body...))
		}))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1", "w2"))
		got := c.ask("POST", "/book/riad%2F7/x", "two seats", "Shalefork-Fence", "9", "Shalefork_Token", "x")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "ran two seats")
		assert.Equal(t, seen.Header.Get(wire.HeaderKey), "riad/7")
		assert.Equal(t, seen.Header.Get(wire.HeaderFence), wire.NewFence(1, 1).String())
		assert.Equal(t, seen.Header.Get("Shalefork_Token"), "")
		assert.Equal(t, seen.URL.EscapedPath(), "/book/riad%2F7/x")
	})
}
