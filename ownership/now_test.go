package ownership

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

// A hold expires while the server's machine is suspended, since the keys may be granted to another
// server meanwhile.
func TestHoldEndsDuringSuspension(t *testing.T) {
	assert.Equal(t, CountsSuspension(), runtime.GOOS == "linux")
	holder := NewHolder()
	assert.Equal(t, holder.Grant(Now(), Grant{Keys: Keys{From: 0, To: 9}, Fence: 1, Hold: 3 * time.Second}), Taken)
	work, begun := holder.Begin(Now(), 5)
	assert.Assert(t, begun)
	defer work.End()
	defer clock.SimulateSuspension(4 * time.Second)()
	assert.Assert(t, !holder.Holds(Now(), 5))
	assert.Assert(t, !work.StillHeld(Now()), "the effect of the work must be discarded")
	_, begun = holder.Begin(Now(), 5)
	assert.Assert(t, !begun)
}
