// Package ownership is what a server embeds to own keys exclusively: it takes
// grants from the controllers, keeps their expiry, and admits a request only
// under the exact fence and bundle version that it holds.
//
// Wrap the server's handler once and listen on one address for requests and
// renewals alike:
//
//	owner := ownership.New(ownership.Options{Cell: "casablanca", Token: token})
//	server := &http.Server{Addr: address, Handler: owner.Wrap(bookings)}
//
// A handler does its work in three steps: prepare, call Request.Check, keep the
// effect at once. Check is what makes a key's owner the only one: a process
// that was paused may have lost its grant since the request began.
//
// Deadlines, cancellation by the gateway and the end of the grant all cancel
// the context of the request.
package ownership

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

// Options of an Owner.
type Options struct {
	// Cell that this server belongs to. Required.
	Cell string
	// Token that the cell's processes show one another. Required.
	Token string
	// Name of this server, shown in answers; it decides nothing.
	Name string
	// Clock returns the most time that can have passed since the process
	// started, and never decreases. Nil reads the machine's monotonic,
	// boot-time and wall clocks and believes the fastest.
	Clock func() time.Duration
	// Queued returns how many admitted requests wait for a slot, for the load
	// report. Nil means none ever does.
	Queued func() int
	// OnPanic is told of a handler's panic, with the stack. Nil logs it.
	OnPanic func(value any, stack []byte)
	// Metrics counts what happens. Nil counts nothing that can be seen.
	Metrics *Metrics
}

// Owner holds the grants of one server process. It is safe for concurrent use.
type Owner struct {
	options Options

	mu      sync.Mutex
	holder  *lease.Holder
	running map[uint64]*Request
	load    *loadTable
	expiry  *time.Timer
	// changed is closed and replaced whenever Drain should look again.
	changed  chan struct{}
	draining bool
	// drainTold says that a leader was answered while draining.
	drainTold bool
}

// New returns an owner without grants, under a new random incarnation. It
// panics if the cell or the token is missing, which is a fault of the caller.
func New(options Options) *Owner {
	if options.Cell == "" || options.Token == "" {
		panic("ownership: Options.Cell and Options.Token are required")
	}
	owner := &Owner{
		options: withDefaults(options),
		holder:  lease.NewHolder(bundle.CellName(options.Cell), wire.Incarnation(rand.Text())),
		running: map[uint64]*Request{},
		load:    newLoadTable(),
		changed: make(chan struct{}),
	}
	return owner
}

func withDefaults(options Options) Options {
	if options.Clock == nil {
		system := clock.NewSystem()
		options.Clock = func() time.Duration { return system.Now().Upper }
	}
	if options.Queued == nil {
		options.Queued = func() int { return 0 }
	}
	if options.OnPanic == nil {
		options.OnPanic = logPanic
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	return options
}

// Wrap returns a handler that answers renewals and passes each request that is
// admitted to next. Every request must carry the cell's token.
func (o *Owner) Wrap(next http.Handler) http.Handler {
	mux := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isRenewal(request) {
			o.serveRenewal(writer, request)
			return
		}
		o.serveRequest(writer, request, next)
	})
	return peerauth.Require(o.options.Token, o.options.Metrics.Unauthorized, mux)
}

// isRenewal tells a leader's message from a caller's request to the same path,
// to which a gateway gives an id.
func isRenewal(request *http.Request) bool {
	return request.URL.Path == wire.PathRenew && request.Header.Get(wire.HeaderRequestID) == ""
}

// now reads the clock. Both bounds are the upper one: a holder uses no other.
func (o *Owner) now() clock.Instant {
	return clock.Exact(o.options.Clock())
}
