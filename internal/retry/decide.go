package retry

import "github.com/shalefork/shalefork/internal/wire"

// Attempt is what is known of one try that brought no answer to pass on.
type Attempt struct {
	// BytesSent says that at least one byte of the request may have left.
	BytesSent bool
	// ServerNotRun says that the server itself answered that it did not run
	// the request, under the request's own id.
	ServerNotRun bool
	// Reason is the server's reason, or the gateway's own.
	Reason wire.Reason
}

// ProvedNotRun reports whether no server can have run the request: no byte of
// it left, or the server that got it said so. Nothing else is a proof.
func (a Attempt) ProvedNotRun() bool {
	return !a.BytesSent || a.ServerNotRun
}

// Decision is what to do after a failed attempt.
type Decision struct {
	// Again says that the request may be sent again.
	Again bool
	// Budgeted says that the retry must be paid for from the Budget.
	Budgeted bool
	// AwaitTable says that the gateway's table is probably behind: wait for
	// a newer one for a short while first.
	AwaitTable bool
	// Outcome to answer if the request is not sent again.
	Outcome wire.Outcome
}

// Decide returns what may be done after an attempt. A request that may not be
// repeated goes out again only when it is proved that it did not run.
// replayable says that its body can be produced again.
func Decide(attempt Attempt, repeatable, replayable bool) Decision {
	if !attempt.ProvedNotRun() {
		return Decision{
			Again:    repeatable && replayable,
			Budgeted: true,
			Outcome:  wire.OutcomeUnknown,
		}
	}
	return Decision{
		Again:      replayable && attempt.Reason != wire.ReasonMalformed,
		Budgeted:   attempt.ServerNotRun && !ownershipReason(attempt.Reason),
		AwaitTable: ownershipReason(attempt.Reason),
		Outcome:    wire.OutcomeNotRun,
	}
}

// ownershipReason reports whether a server refused since its grants and the
// gateway's table differ, which a newer table mends.
func ownershipReason(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonNoGrant, wire.ReasonExpired, wire.ReasonWrongFence,
		wire.ReasonWrongBundle, wire.ReasonReleasing, wire.ReasonDraining:
		return true
	default:
		return false
	}
}
