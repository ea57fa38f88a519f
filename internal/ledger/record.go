// Package ledger holds the idempotency records of requests that must not run
// twice: what is known of each Idempotency-Key, and which gateways were up long
// enough to vouch that they hold every record of a slice.
//
// It is pure: no clock, no I/O, no goroutine. Times are the elapsed time of the
// process.
//
// Why a request runs at most once. A record is stored at the slice's owner and
// copied to a second gateway before the request leaves. A new owner first
// collects the records from all gateways, and each that answers promises to
// take no more copies under older fences. So every request that left under an
// older owner is known to the new one, unless two gateways were lost at once,
// which the new owner notices (see Takeover) and then begins no unknown key.
package ledger

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Error is the class of errors of this package.
var Error = errs.Class("ledger")

// The ledger as a keyed service.
const (
	Service   keyspace.ServiceName   = "system/ledger"
	Partition keyspace.PartitionName = "all"
)

// ServerPrefix begins the name of every gateway as a server of the ledger.
const ServerPrefix = string(Service) + "/"

// Key names a record: an Idempotency-Key within a service.
type Key struct {
	Service keyspace.ServiceName `json:"service"`
	Value   string               `json:"value"`
}

// Hash is the key's position in the ledger's partition.
func (k Key) Hash() keyspace.Hash {
	return keyspace.HashKey(string(k.Service) + "\x00" + k.Value)
}

// Digest is a hash of everything that makes two requests the same one.
type Digest string

// Stamp orders the records of one key: by the fence of the owner that began
// it, then by that owner's count.
type Stamp struct {
	Fence    wire.Fence `json:"fence"`
	Sequence uint64     `json:"sequence"`
}

// Newer reports whether s is later than other.
func (s Stamp) Newer(other Stamp) bool {
	if s.Fence != other.Fence {
		return s.Fence > other.Fence
	}
	return s.Sequence > other.Sequence
}

// State says what is known of the request.
type State string

// States of a record.
const (
	// StateRunning: the request may have left and has no answer yet.
	StateRunning State = "running"
	// StateUnknown: it may have run, and no answer will come.
	StateUnknown State = "unknown"
	// StateAnswered: its answer is kept.
	StateAnswered State = "answered"
)

// rank orders states of one record by what they know.
func (s State) rank() int {
	switch s {
	case StateAnswered:
		return 2
	case StateUnknown:
		return 1
	default:
		return 0
	}
}

// MaxAnswerBytes bounds the body of a kept answer. A request with a longer one
// ends as StateUnknown for those who repeat it.
const MaxAnswerBytes = 64 << 10

// Answer is a kept HTTP answer, with a body of at most MaxAnswerBytes.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Record is what one gateway knows of a key, as gateways send it to each other.
type Record struct {
	Key    Key    `json:"key"`
	Digest Digest `json:"digest"`
	Stamp  Stamp  `json:"stamp"`
	// Attempt is the request that the record was made for, so that a gateway
	// that lost the owner's answer can ask again.
	Attempt wire.RequestID `json:"attempt"`
	State   State          `json:"state"`
	Answer  *Answer        `json:"answer,omitempty"`
	// KeepFor is how long the record is kept from the moment it is sent.
	KeepFor time.Duration `json:"keep_for"`
	// RunsFor is how much longer a running request may take.
	RunsFor time.Duration `json:"runs_for,omitempty"`
}

// Holder names one run of a gateway that holds records.
type Holder struct {
	Name        bundle.ServerName `json:"name"`
	Incarnation wire.Incarnation  `json:"incarnation"`
}
