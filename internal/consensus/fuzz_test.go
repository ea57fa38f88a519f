package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/wire"
)

var fuzzIDs = []wire.Incarnation{"A", "B", "C", "D", "E"}

// FuzzEvents runs three voters and two joining processes through events drawn
// from the input, and checks after each that a term has one leader, that
// committed entries never differ, and that one node at most holds the lease.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("run and let a leader be elected"))
	f.Add([]byte{0, 50, 8, 0, 0, 20, 3, 0, 8, 1, 0, 90, 3, 0, 0, 90})
	f.Add([]byte{0, 50, 10, 3, 0, 30, 11, 3, 0, 30, 12, 2, 0, 30, 1, 0, 0, 90, 10, 4, 0, 40})
	f.Add([]byte{0, 50, 8, 0, 0, 9, 2, 2, 8, 1, 13, 0, 0, 60, 2, 2, 0, 60, 14, 1, 0, 80})
	f.Add([]byte{0, 50, 5, 0, 8, 7, 0, 60, 6, 1, 5, 0, 0, 90, 7, 2, 0, 40, 4, 0, 0, 70})
	f.Fuzz(func(t *testing.T, input []byte) {
		c := newCluster()
		c.startGroup([]string{"A", "B", "C"})
		c.start("D", Membership{})
		c.start("E", Membership{})
		for k := 0; k+1 < min(len(input), 400); k += 2 {
			c.fuzzEvent(input[k], input[k+1])
			assert.NilError(t, c.violation)
		}
	})
}

// fuzzEvent turns an operation and its argument into an event.
func (c *cluster) fuzzEvent(operation, argument byte) {
	id := fuzzIDs[int(argument)%len(fuzzIDs)]
	r := c.replicas[id]
	switch operation % 16 {
	case 1:
		r.paused = !r.paused
	case 2:
		c.cut[id] = !c.cut[id]
	case 3:
		c.holding[id] = true
	case 4:
		c.holding[id] = false
		c.network = append(c.network, c.held...)
		c.held = nil
	case 5:
		r.stalled = !r.stalled
	case 6:
		r.clock.Upper += time.Duration(argument) * time.Millisecond
	case 7, 8, 9:
		r.node.Propose(r.clock, quoted(string(argument)))
	case 10, 11, 12:
		c.fuzzChange(operation, id)
	case 13:
		r.node.Compact(Snapshot{Index: r.node.Status().Commit, State: quoted("state")})
	case 14:
		r.node.Seal(r.clock)
	case 15:
		r.lost = r.lost || argument > 250
	default:
		c.advance(time.Duration(argument%100) * tickPeriod)
	}
	if !r.lost {
		c.collect(id)
	}
}

// fuzzChange proposes a membership change at whoever leads.
func (c *cluster) fuzzChange(operation byte, id wire.Incarnation) {
	verbs := map[byte]string{10: "add", 11: "promote", 12: "remove"}
	for _, leader := range c.ids {
		r := c.replicas[leader]
		if !r.lost && r.node.Status().Role == RoleLeader {
			r.node.ProposeMembership(r.clock, c.change(verbs[operation%16], leader, id))
			c.collect(leader)
		}
	}
}
