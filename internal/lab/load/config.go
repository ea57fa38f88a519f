// Package load plays the callers of a bundle's services over HTTP: it looks up
// keys, confirms bookings and pulls long bodies, at a bounded rate and on a
// schedule that slow answers do not hold back. It records what each caller saw.
//
// Callers behave as the users' do: a lookup that failed is asked again soon at
// another gateway; what must run at most once is repeated with the same
// Idempotency-Key when the answer says so.
package load

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
)

// Error is the class of errors of this package.
var Error = errs.Class("lab load")

// Config says how much load to make, and from what.
type Config struct {
	// Gateways are the addresses for callers, host:port.
	Gateways []string
	Bundle   bundle.Bundle
	// Rate is the number of new operations per second.
	Rate float64
	// Duration after which no new operation begins.
	Duration time.Duration
	// Keys is how many keys each keyed service has.
	Keys int
	// Skew is the exponent of the keys' Zipf distribution, above 1.
	Skew float64
	// PullEvery is the time between two slow pulls; zero means none.
	PullEvery time.Duration
	// Pull says how a pull is made.
	Pull Pull
	Seed uint64
	// Recorder takes each request as its caller saw it.
	Recorder *history.Recorder
}

// DefaultConfig returns what flags start from.
func DefaultConfig() Config {
	return Config{
		Rate:     400,
		Duration: 30 * time.Second,
		Keys:     2000,
		Skew:     1.1,
		Seed:     1,
	}
}

// Behaviour of callers.
const (
	// requestTimeout ends a request that the gateway does not answer.
	requestTimeout = 5 * time.Second
	// patience is how long a caller goes on with one operation.
	patience = 8 * time.Second
	// lookupRetry is how soon a lookup that failed is asked again.
	lookupRetry = 100 * time.Millisecond
	// defaultRetryAfter stands in for an answer without Retry-After.
	defaultRetryAfter = time.Second
	// maxOutstanding bounds the operations in flight; more are not begun.
	maxOutstanding = 4000
)

// Validate returns an error for a configuration that makes no load.
func (c Config) Validate() error {
	switch {
	case len(c.Gateways) == 0:
		return Error.New("name at least one gateway")
	case len(c.Bundle.Services) == 0:
		return Error.New("the bundle has no services")
	case c.Rate <= 0 || c.Duration <= 0 || c.Keys <= 0:
		return Error.New("rate, duration and keys must be above zero")
	case c.Skew <= 1:
		return Error.New("the skew must be above 1")
	case c.Recorder == nil:
		return Error.New("a recorder is required")
	default:
		return nil
	}
}
