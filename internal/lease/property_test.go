package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

const grantTime = 600 * time.Millisecond

// observer holds what any history of renewals, in any order and with any delay,
// must respect.
type observer struct {
	holder *lease.Holder
	now    time.Duration
	// until is the latest end that any reading allows.
	until    time.Duration
	released map[wire.SliceFence]bool
	version  bundle.Version
	newest   [3]uint64
	running  []lease.Ticket
}

func TestNothingRunsBeyondWhatRenewalsAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &observer{holder: lease.NewHolder("casa", "s1"), released: map[wire.SliceFence]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"wait":   func(t *rapid.T) { o.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond },
			"renew":  o.renew,
			"admit":  o.admit,
			"check":  o.check,
			"finish": o.finish,
		})
	})
}

func (o *observer) renew(t *rapid.T) {
	reading := time.Duration(rapid.Int64Range(0, int64(o.now)+int64(time.Second)).Draw(t, "reading"))
	request := wire.RenewRequest{
		Cell: "casa", Server: "s1", Reading: reading, Duration: grantTime,
		Generation: wire.Generation(rapid.IntRange(1, 2).Draw(t, "generation")),
		Term:       rapid.Uint64Range(1, 3).Draw(t, "term"),
		Set:        rapid.Uint64Range(1, 6).Draw(t, "set"),
	}
	if rapid.Bool().Draw(t, "whole") {
		grants := rapid.SliceOfNDistinct(rapid.Custom(drawGrant), 0, 3, func(g wire.SliceGrant) keyspace.Slice { return g.Slice }).Draw(t, "grants")
		request.Slices = &grants
	}
	response := o.holder.Renew(clock.Exact(o.now), request)
	for _, released := range response.Released {
		o.released[released] = true
	}
	if response.Refused != "" {
		return
	}
	assert.Assert(t, reading <= o.now)
	o.until = max(o.until, reading+grantTime)
	at := [3]uint64{uint64(response.Generation), response.Term, response.Set}
	assert.Assert(t, !less(at, o.newest), "%v after %v", at, o.newest)
	o.newest = at
}

func drawGrant(t *rapid.T) wire.SliceGrant {
	return wire.SliceGrant{
		Slice:  slice(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "slice")),
		Fence:  wire.Fence(rapid.IntRange(1, 5).Draw(t, "fence")),
		Bundle: bundle.Version(rapid.IntRange(1, 3).Draw(t, "bundle")),
		State:  rapid.SampledFrom([]wire.SliceState{wire.SliceServing, wire.SliceReleasing}).Draw(t, "state"),
	}
}

func less(a, b [3]uint64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

func (o *observer) admit(t *rapid.T) {
	grant := drawGrant(t)
	ticket, reason := o.holder.Admit(clock.Exact(o.now), "casa", grant.Slice, grant.Fence, grant.Bundle)
	if reason != "" {
		return
	}
	o.allowed(t, ticket)
	assert.Assert(t, ticket.Bundle >= o.version, "the version fell")
	o.version = ticket.Bundle
	o.running = append(o.running, ticket)
}

func (o *observer) check(t *rapid.T) {
	for _, ticket := range o.running {
		if o.holder.Check(clock.Exact(o.now), ticket) == "" {
			o.allowed(t, ticket)
		}
	}
}

func (o *observer) allowed(t *rapid.T, ticket lease.Ticket) {
	assert.Assert(t, o.now < o.until, "ran at %s, the last reading allowed %s", o.now, o.until)
	released := o.released[wire.SliceFence{Slice: ticket.Slice, Fence: ticket.Fence}]
	assert.Assert(t, !released, "ran under a released fence")
}

func (o *observer) finish(t *rapid.T) {
	if len(o.running) == 0 {
		return
	}
	o.holder.Finish(o.running[0])
	o.running = o.running[1:]
	assert.Equal(t, o.holder.InFlight(), len(o.running))
}
