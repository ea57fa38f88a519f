package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// jumpingClock is a clock on which a freeze of the machine shows.
type jumpingClock struct {
	*clock.Virtual
	frozen atomic.Int64
}

func (c *jumpingClock) Now() clock.Instant {
	return c.Virtual.Now().Add(time.Duration(c.frozen.Load()))
}

// A gateway whose machine was frozen while a request waited sends it no more,
// though Go's own clock stood still.
func TestFrozenGatewaySendsNothingLate(t *testing.T) {
	inCell(t, func(c *cell) {
		ran := 0
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) { ran++ }))
		frozen := &jumpingClock{Virtual: clock.NewVirtual()}
		c.clock = frozen
		c.gateway("g1")
		update := tableOf(1, []bundle.Service{keyedService("book", false)}, "w1")
		owner := update.Assignments[0].Server
		update.Assignments[0].Server = ""
		c.controller.publish(update)
		answered := make(chan answer)
		go func() { answered <- c.ask("POST", "/book/r7", "x") }()
		time.Sleep(100 * time.Millisecond)
		frozen.frozen.Store(int64(time.Second))
		update.Assignments[0].Server = owner
		update.Version.Index = 2
		c.controller.publish(update)
		(<-answered).refused(t, 503, wire.OutcomeNotRun, wire.ReasonDeadline)
		assert.Equal(t, ran, 0)
	})
}

// A caller can shorten the deadline, and not lengthen it.
func TestCallersDeadlineOnlyShortens(t *testing.T) {
	inCell(t, func(c *cell) {
		var given string
		c.serve("w1:1", echo(func(_ http.ResponseWriter, request *http.Request) { given = request.Header.Get(wire.HeaderDeadline) }))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", true)}, "w1"))
		for asked, want := range map[string]string{"": "1000", "200": "200", "5000": "1000", "-1": "1000", "x": "1000"} {
			assert.Equal(t, c.ask("GET", "/book/r7", "", wire.HeaderDeadline, asked).status, 200)
			assert.Equal(t, given, want)
		}
	})
}

// Health and metrics are open to read; the rest of the peer port is not.
func TestPeerPortNeedsTheToken(t *testing.T) {
	inCell(t, func(c *cell) {
		c.gateway("g1")
		for path, want := range map[string]int{"/healthz": 200, "/metrics": 200, ledger.PathBegin: 403, wire.PathRenew: 403} {
			method := http.MethodGet
			if want == http.StatusForbidden {
				method = http.MethodPost
			}
			request, err := http.NewRequest(method, "http://g1:81"+path, strings.NewReader("{}"))
			assert.NilError(t, err)
			assert.Equal(t, c.send(request).status, want, path)
		}
	})
}
