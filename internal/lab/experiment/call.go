package experiment

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/simulation"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// call is one caller's request.
type call struct {
	service     string
	serviceName keyspace.ServiceName
	keyed       bool
	key         key
	repeatable  bool
	// work is the service time in means of its server.
	work       float64
	started    time.Duration
	deadline   time.Duration // from started; zero means none
	hedgeAfter time.Duration

	// progress at the gateway.
	done       bool
	tries      int
	mayHaveRun bool
	avoid      bundle.ServerName
	pause      time.Duration
	waitsFor   bundle.ServerName
	why        wire.Reason
	open       []*attempt
	limit      *simulation.Timer
	hedge      *simulation.Timer
	resume     *simulation.Timer
}

func (c *call) expired(now time.Duration) bool {
	return c.deadline > 0 && now >= c.started+c.deadline
}

// left is the time until the deadline, zero without one.
func (c *call) left(now time.Duration) time.Duration {
	if c.deadline == 0 {
		return 0
	}
	return c.started + c.deadline - now
}

// attempt is one try of a call at one server.
type attempt struct {
	call    *call
	service *service
	server  *server
	entry   wire.TableEntry
	began   time.Duration
	closed  bool
	// first says that no try of the call went before.
	first bool

	// at the server: which run of it took the attempt, and its work there.
	run     int
	ticket  lease.Ticket
	working bool
	timer   *simulation.Timer
}

// ending is how a call ended.
type ending struct {
	outcome wire.Outcome // empty for an answer
	reason  wire.Reason
}

func notRun(reason wire.Reason) ending {
	return ending{outcome: wire.OutcomeNotRun, reason: reason}
}

func unknown(reason wire.Reason) ending {
	return ending{outcome: wire.OutcomeUnknown, reason: reason}
}

// final never says "not run" after a try that may have run.
func (c *call) final(last ending) ending {
	if c.mayHaveRun && last.outcome == wire.OutcomeNotRun {
		return unknown(last.reason)
	}
	return last
}
