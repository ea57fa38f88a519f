package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// requestIDBytes is the randomness of a request id: enough that no two
// requests ever share one.
const requestIDBytes = 16

// errDeadline is the cause of a context that ended by the request's deadline.
var errDeadline = errs.New("the request's deadline has passed")

// call is one caller's request as the gateway handles it.
type call struct {
	id      wire.RequestID
	request *http.Request
	route   *route
	service *service
	// key, partition and hash of a keyed service.
	key       string
	partition keyspace.PartitionName
	hash      keyspace.Hash
	body      *body
	// arrived and started are the time of arrival, on Go's clock and on the
	// gateway's (Upper); limit is the time allowed from then, zero for no
	// deadline. Only started is right if the whole machine was frozen.
	arrived time.Time
	started time.Duration
	limit   time.Duration
}

func newRequestID() wire.RequestID {
	var random [requestIDBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return wire.RequestID(hex.EncodeToString(random[:]))
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool {
	return c.route.service.Repeatable
}

// left returns the time left at now; zero means no deadline, and a negative
// value that it has passed. The clock's upper bound counts, so that a gateway
// that was frozen does not send a request whose caller has given up.
func (c *call) left(now time.Duration) time.Duration {
	if c.limit == 0 {
		return 0
	}
	if left := c.limit - (now - c.started); left > 0 {
		return left
	}
	return -1
}

// timeLeft is like left, on Go's clock: enough to decide about a wait.
func (c *call) timeLeft() time.Duration {
	if c.limit == 0 {
		return 0
	}
	return max(1, c.limit-time.Since(c.arrived))
}

// cutShort reports whether the caller gave less than half of the time that the
// service allows, so that a server without an answer by then has not failed.
func (c *call) cutShort() bool {
	allowed := c.route.service.Limits.Deadline.Std()
	return allowed == 0 || c.limit < allowed/2
}

// withDeadline returns the context that all work for the call uses.
func (c *call) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.limit == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, c.arrived.Add(c.limit), errDeadline)
}

// newCall reads what the gateway needs of a request, or refuses it.
func (g *Gateway) newCall(id wire.RequestID, request *http.Request) (*call, *refusal) {
	made := &call{id: id, request: request, arrived: time.Now(), started: g.clock.Now().Upper}
	limit := callerDeadline(request.Header)
	stripSystem(request.Header)
	if !forwardable(request) {
		return nil, notRun(wire.ReasonMalformed)
	}
	if isSystemPath(request.URL.Path) {
		return nil, notRun(wire.ReasonNoRoute)
	}
	if g.isStale() {
		return nil, notRun(wire.ReasonStaleTable)
	}
	held := g.tables.view.Load()
	made.route = held.routes.find(request)
	if made.route == nil {
		return nil, g.noRoute(held)
	}
	made.service = g.services.get(made.route.name)
	if made.service == nil {
		return nil, notRun(wire.ReasonNoBackend)
	}
	made.limit = shorter(limit, made.route.service.Limits.Deadline.Std())
	return made, made.findKey()
}

// noRoute tells a gateway that has no table yet from one that knows that
// nothing matches.
func (g *Gateway) noRoute(held *view) *refusal {
	if held.table.Version() == (wire.TableVersion{}) {
		return notRun(wire.ReasonStaleTable)
	}
	return notRun(wire.ReasonNoRoute)
}

// findKey reads the key of a keyed service.
func (c *call) findKey() *refusal {
	service := c.route.service
	if service.Kind != bundle.KindKeyed {
		return nil
	}
	if service.Key == nil {
		return notRun(wire.ReasonNoKey)
	}
	key, ok := keyOf(*service.Key, c.request)
	if !ok {
		return notRun(wire.ReasonNoKey)
	}
	partition, ok := service.PartitionOf(key)
	if !ok {
		return notRun(wire.ReasonNoPlace)
	}
	c.key = key
	c.partition = partition.Name
	c.hash = keyspace.HashKey(key)
	return nil
}

// readBody reads the body ahead: as far as it is kept for another try, or
// whole for a request whose digest is needed.
func (c *call) readBody(writer http.ResponseWriter, whole bool, memory *semaphore.Weighted) *refusal {
	limit := c.route.service.Limits.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	keep := min(replayBytes, limit)
	if whole {
		keep = limit
	}
	read, err := readBody(writer, c.request, limit, keep, memory)
	switch err {
	case nil:
		c.body = read
		return nil
	case errBodyTooLarge:
		return notRun(wire.ReasonTooLarge)
	case errBodyMemory:
		return notRun(wire.ReasonQueueFull)
	default:
		return notRun(wire.ReasonMalformed)
	}
}
