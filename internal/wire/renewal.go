package wire

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// Paths that a server answers for the controllers and the gateways.
const (
	// PathRenew takes a RenewRequest by POST and answers a RenewResponse.
	PathRenew = "/shalefork/v1/renew"
)

// SliceState says what a server may do with a slice of its grant set.
type SliceState string

// States of a slice in a grant set.
const (
	// SliceServing allows new work.
	SliceServing SliceState = "serving"
	// SliceReleasing allows no new work; what runs may finish.
	SliceReleasing SliceState = "releasing"
)

// SliceGrant is one slice of a server's grant set.
type SliceGrant struct {
	Slice  keyspace.Slice `json:"slice"`
	Fence  Fence          `json:"fence"`
	Bundle bundle.Version `json:"bundle"`
	State  SliceState     `json:"state"`
	// Shared slices are those of a pool: the server does not own them alone.
	Shared bool `json:"shared,omitempty"`
}

// RenewRequest extends a server's grant set, and replaces it when Slices is
// not nil. It is sent only by a leader that held its leadership lease after it
// received Reading.
type RenewRequest struct {
	Cell       bundle.CellName `json:"cell"`
	Leader     Incarnation     `json:"leader"`
	Generation Generation      `json:"generation"`
	Term       uint64          `json:"term"`
	// Server is the incarnation that Reading and the grants are for. Empty in
	// a first contact, which only asks for a reading.
	Server Incarnation `json:"server,omitempty"`
	// Reading is the server's own clock reading (Upper) from an earlier
	// answer. The grant set ends at Reading + Duration on that clock.
	Reading  time.Duration `json:"reading,omitempty"`
	Duration time.Duration `json:"duration,omitempty"`
	// Set numbers the grant set within (Generation, Term). Zero extends nothing.
	Set uint64 `json:"set,omitempty"`
	// Slices is the whole set, sent when the server does not hold Set yet.
	Slices *[]SliceGrant `json:"slices,omitempty"`
}

// RenewResponse is a server's answer to a RenewRequest.
type RenewResponse struct {
	Server Incarnation `json:"server"`
	// Reading is the server's clock (Upper), taken while answering.
	Reading time.Duration `json:"reading"`
	// Generation, Term and Set name the grant set that the server holds.
	Generation Generation `json:"generation"`
	Term       uint64     `json:"term"`
	Set        uint64     `json:"set"`
	// Released lists slices in state releasing that have no work in flight.
	// The server takes no work under these fences ever again.
	Released []SliceFence `json:"released,omitempty"`
	// Refused says why the request was not applied, empty if it was.
	Refused RenewRefusal `json:"refused,omitempty"`
	// Held lists all that the server holds, unexpired. It is filled in only
	// when the server does not hold the set that the request named.
	Held []SliceGrant `json:"held,omitempty"`
	// Draining says that the server asks to be relieved of all it holds.
	Draining bool       `json:"draining,omitempty"`
	Load     LoadReport `json:"load"`
}

// RenewRefusal says why a server did not apply a renewal.
type RenewRefusal string

// Reasons of a server not to apply a renewal.
const (
	RefusedOlderLeader      RenewRefusal = "older-leader"
	RefusedOtherIncarnation RenewRefusal = "other-incarnation"
	RefusedUnknownSet       RenewRefusal = "unknown-set"
	RefusedOtherCell        RenewRefusal = "other-cell"
	RefusedExpired          RenewRefusal = "expired"
	RefusedOlderBundle      RenewRefusal = "older-bundle"
)

// LoadReport is what a server says about its load. It may lag or be wrong.
type LoadReport struct {
	// InFlight requests run, Queued ones were admitted and wait for a slot.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Partial says that Slices was left out and the last ones still hold: a
	// steady answer stays small.
	Partial bool `json:"partial,omitempty"`
	// Slices lists requests per second of the busiest slices, at most 16.
	Slices []SliceLoad `json:"slices,omitempty"`
}

// SliceLoad is the load of one slice at its owner.
type SliceLoad struct {
	Slice keyspace.Slice `json:"slice"`
	// Rate is in requests per second, averaged over some seconds.
	Rate float64 `json:"rate"`
	// HotHash is the hash with the largest share, HotShare its share in 0..1.
	HotHash  keyspace.Hash `json:"hot_hash,omitempty"`
	HotShare float64       `json:"hot_share,omitempty"`
}
