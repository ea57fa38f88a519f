package ownership

import "github.com/shalefork/shalefork/internal/wire"

// Reason says why a request was refused or its effect may not be kept.
type Reason string

// Reasons of a refusal.
const (
	ReasonNoGrant     = Reason(wire.ReasonNoGrant)     // this server does not hold the slice
	ReasonExpired     = Reason(wire.ReasonExpired)     // its grant has ended
	ReasonWrongFence  = Reason(wire.ReasonWrongFence)  // it holds the slice under another fence
	ReasonWrongBundle = Reason(wire.ReasonWrongBundle) // it holds the slice under another version
	ReasonReleasing   = Reason(wire.ReasonReleasing)   // the slice is about to move
	ReasonOverloaded  = Reason(wire.ReasonOverloaded)  // no room for the request
	ReasonDraining    = Reason(wire.ReasonDraining)    // this server is stopping
	ReasonDeadline    = Reason(wire.ReasonDeadline)    // too little time was left
	ReasonMalformed   = Reason(wire.ReasonMalformed)   // a routing header is missing or wrong
	ReasonCancelled   = Reason("cancelled")            // the gateway gave the request up
	ReasonPanicked    = Reason("panicked")             // the handler panicked
)

// LostError says that the effect of a request may not be kept.
type LostError struct {
	Reason Reason
}

// Error returns the reason in words.
func (e *LostError) Error() string {
	return "ownership: the effect may not be kept: " + string(e.Reason)
}
