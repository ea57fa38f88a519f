package scale

import (
	"encoding/json"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
)

// oneWay is the delay of the emulated network, as between Tawila's zones.
const oneWay = time.Millisecond

// node is one simulated process.
type node struct {
	account
	cell    *cell
	machine int
	name    string
	address string
	zone    bundle.Zone
	alive   bool
	// silent says that the machine went with the process, so that no peer is
	// told: calls time out and streams fall silent.
	silent bool
}

// now is the process's own clock, which agrees with all others.
func (n *node) now() clock.Instant {
	return clock.Exact(n.cell.Now())
}

// call is one HTTP exchange between two simulated processes.
type call struct {
	part     component
	from, to *node
	body     []byte
	// bare says that the answer has no Date and no Content-Type.
	bare bool
	// timeout is how long the caller waits for a process that is gone.
	timeout time.Duration
	// serve runs at the receiver and gives the answer's body.
	serve func(body []byte) []byte
	// done runs at the caller; answered is false for a call that failed.
	done func(answer []byte, answered bool)
}

// exchange makes a call. It must be called while the caller's account runs.
func (c *cell) exchange(made call) {
	made.from.sent(made.part, float64(len(made.body))+c.overhead.RequestBytes)
	c.After(oneWay, func() {
		if !made.to.alive {
			c.After(made.to.failsAfter(made.timeout), func() { c.finish(made, nil, false) })
			return
		}
		var answer []byte
		made.to.received(made.part, float64(len(made.body))+c.overhead.RequestBytes)
		made.to.run(made.part, func() { answer = made.serve(made.body) })
		made.to.sent(made.part, float64(len(answer))+c.overhead.answerBytes(made.bare))
		c.After(oneWay, func() { c.finish(made, answer, true) })
	})
}

// failsAfter is how long a caller waits for a process that is gone.
func (n *node) failsAfter(timeout time.Duration) time.Duration {
	if n.silent {
		return timeout - oneWay
	}
	return oneWay // the connection is refused
}

func (c *cell) finish(made call, answer []byte, answered bool) {
	if !made.from.alive {
		return
	}
	if answered {
		made.from.received(made.part, float64(len(answer))+c.overhead.answerBytes(made.bare))
	}
	made.from.run(made.part, func() { made.done(answer, answered) })
}

// encode returns the JSON of a message; one that has none is a bug.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(Error.Wrap(err))
	}
	return encoded
}

// decode reads what encode wrote.
func decode[Message any](encoded []byte) Message {
	var message Message
	if err := json.Unmarshal(encoded, &message); err != nil {
		panic(Error.Wrap(err))
	}
	return message
}
