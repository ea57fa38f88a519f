package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// lease is what the book knows of one server.
type lease struct {
	name   bundle.ServerName
	server cellstate.Server
	// pool says that the server's grants last PoolDuration.
	pool bool
	// owned are the server's assignments in the committed state, of whatever
	// incarnation, as of the log index.
	owned []cellstate.Assignment
	index uint64

	// incarnation of the run that last answered; empty before any answer.
	incarnation wire.Incarnation
	// former are runs that another replaced.
	former map[wire.Incarnation]bool
	// reading is that run's newest clock reading, received at readingAt.
	reading    time.Duration
	readingAt  clock.Instant
	answeredAt clock.Instant
	load       wire.LoadReport
	// drainAsked is what the server last said about draining.
	drainAsked bool

	// set numbers grants, the whole grant set of the present incarnation.
	set    uint64
	grants []wire.SliceGrant
	// version is the newest bundle version in grants, and versionSet the
	// lowest set number that carries it.
	version    bundle.Version
	versionSet uint64
	// confirmed is the set that the present incarnation said it holds, as
	// issued in this term; zero if it said that it holds another.
	confirmed uint64

	// ends has, by incarnation, the instant (Lower) from which everything that
	// this book extended has surely ended.
	ends map[wire.Incarnation]time.Duration
	// released are grants that the server gave up. The slice belongs to the key:
	// nothing here relies on a fence standing once only.
	released map[wire.SliceFence]bool
	// taken are grants that the book proposed to take without a release. They
	// are never given again: the command may commit at any later time.
	taken map[wire.SliceFence]bool

	contact contact
}

// contact is the exchange of requests with one server.
type contact struct {
	inFlight bool
	// sentAt is when the request in flight was sent (Upper).
	sentAt time.Duration
	// nextAt is when the next request is due (Upper).
	nextAt time.Duration
	// failed says that a request sent since the last answer, and since the
	// last pause of the leader, failed or timed out.
	failed bool
	// polls counts the questions about releasing slices since the set changed.
	polls int
	// unconfirmed counts the answers in a row that did not confirm the set.
	unconfirmed int
}

func newLease(name bundle.ServerName) *lease {
	return &lease{
		name:     name,
		former:   map[wire.Incarnation]bool{},
		ends:     map[wire.Incarnation]time.Duration{},
		released: map[wire.SliceFence]bool{},
		taken:    map[wire.SliceFence]bool{},
	}
}

// observe takes the server's part of the committed state.
func (l *lease) observe(state cellstate.State, owned []cellstate.Assignment) {
	server := state.Servers[l.name]
	if server.Address != l.server.Address {
		l.contact = contact{}
	}
	l.server = server
	l.index = state.Index
	l.owned = owned
	l.pool = isPool(state, l.server, owned)
	l.forgetFences()
	l.refreshSet()
}

// isPool also knows a pool that the bundle no longer has by what is still owned.
func isPool(state cellstate.State, server cellstate.Server, owned []cellstate.Assignment) bool {
	if len(owned) > 0 {
		return owned[0].Shared
	}
	return state.IsPool(server.Service)
}

// forgetFences drops what is known of grants that the state no longer has.
func (l *lease) forgetFences() {
	present := make(map[wire.SliceFence]bool, len(l.owned))
	for _, assignment := range l.owned {
		present[grantOf(assignment)] = true
	}
	gone := func(held wire.SliceFence, _ bool) bool { return !present[held] }
	maps.DeleteFunc(l.released, gone)
	maps.DeleteFunc(l.taken, gone)
}

// grantOf names the grant that an assignment stands for.
func grantOf(assignment cellstate.Assignment) wire.SliceFence {
	return wire.SliceFence{Slice: assignment.Slice, Fence: assignment.Fence}
}

// refreshSet recomputes the grant set and gives it a new number if it changed.
// The number is the log index, or one more than the last if that is not higher.
// A changed set does not wait for the steady period, unless the server fails.
func (l *lease) refreshSet() {
	grants := l.wantedGrants()
	if l.set != 0 && slices.Equal(grants, l.grants) {
		return
	}
	l.set = max(l.set+1, l.index)
	l.grants = grants
	l.contact.polls = 0
	if !l.contact.failed {
		l.contact.nextAt = 0
	}
	version := newestVersion(grants)
	if version != l.version {
		l.version = version
		l.versionSet = l.set
	}
}

// wantedGrants are the assignments of the present incarnation that the book has
// not begun to take away.
func (l *lease) wantedGrants() []wire.SliceGrant {
	grants := make([]wire.SliceGrant, 0, len(l.owned))
	for _, assignment := range l.owned {
		if assignment.OwnerIncarnation != l.incarnation || l.taken[grantOf(assignment)] {
			continue
		}
		grants = append(grants, wire.SliceGrant{
			Slice:  assignment.Slice,
			Fence:  assignment.Fence,
			Bundle: assignment.Bundle,
			State:  assignment.State,
			Shared: assignment.Shared,
		})
	}
	return grants
}

func newestVersion(grants []wire.SliceGrant) bundle.Version {
	newest := bundle.Version(0)
	for _, grant := range grants {
		newest = max(newest, grant.Bundle)
	}
	return newest
}

// awaitsRelease reports whether a slice is releasing and not yet given up.
func (l *lease) awaitsRelease() bool {
	for _, grant := range l.grants {
		if grant.State == wire.SliceReleasing && !l.released[wire.SliceFence{Slice: grant.Slice, Fence: grant.Fence}] {
			return true
		}
	}
	return false
}

// forgetFailures makes the request in flight count from now.
func (l *lease) forgetFailures(now clock.Instant) {
	l.contact.failed = false
	l.contact.sentAt = max(l.contact.sentAt, now.Upper)
}
