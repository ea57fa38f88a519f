package platform

import "time"

// Paths of the key-value service and the machine list. docs/PLATFORM.md
// describes the protocol.
const (
	PathEntry      = "/v1/entry"       // GET ?key= -> Entry
	PathEntries    = "/v1/entries"     // GET ?prefix= -> Listing
	PathWrite      = "/v1/write"       // POST Write -> Entry
	PathDelete     = "/v1/delete"      // POST DeleteRequest -> {}
	PathLease      = "/v1/lease"       // POST LeaseRequest -> LeaseResponse
	PathLeaseRenew = "/v1/lease/renew" // POST RenewLeaseRequest -> {}
	PathWatch      = "/v1/watch"       // GET ?prefix=&from= -> WatchLine, one a line
	PathMachines   = "/v1/machines"    // GET -> []Machine; ?since= -> MachineChanges
)

// Limits of the service.
const (
	MaxKeyBytes   = 512
	MaxValueBytes = 4 << 20
)

// WatchHeartbeat is the longest silence of a watch stream; a client that hears
// nothing for three times as long gives the stream up.
const WatchHeartbeat = 2 * time.Second

// DeleteRequest asks to delete a key.
type DeleteRequest struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMilliseconds int64 `json:"ttl_ms"`
}

// LeaseResponse names a new lease.
type LeaseResponse struct {
	Lease string `json:"lease"`
}

// RenewLeaseRequest asks for another TTL of a lease.
type RenewLeaseRequest struct {
	Lease string `json:"lease"`
}

// WatchLine is one line of a watch stream: an event, a heartbeat or, as the
// last line, the failure that ended the stream.
type WatchLine struct {
	Event     *Event   `json:"event,omitempty"`
	Heartbeat bool     `json:"heartbeat,omitempty"`
	Failure   *Failure `json:"failure,omitempty"`
}

// FailureCode tells failures of the service apart.
type FailureCode string

// Codes of failures, with the status of the answer that carries them.
const (
	FailureMalformed   FailureCode = "malformed"    // 400
	FailureNotFound    FailureCode = "not-found"    // 404
	FailureConflict    FailureCode = "conflict"     // 409
	FailureCompacted   FailureCode = "compacted"    // 410
	FailureRateLimited FailureCode = "rate-limited" // 429
	FailureUnavailable FailureCode = "unavailable"  // 503
)

// Failure is the body of every answer that is not 200.
type Failure struct {
	Code    FailureCode `json:"code"`
	Message string      `json:"message"`
}
