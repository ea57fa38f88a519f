package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOccupancyEstimatesTheWait(t *testing.T) {
	var occupancy Occupancy
	assert.Equal(t, occupancy.Wait(3, 2), time.Duration(0), "nothing is known")
	occupancy.Add(100 * time.Millisecond)
	occupancy.Add(100 * time.Millisecond)
	assert.Equal(t, occupancy.mean, 19*time.Millisecond)
	assert.Equal(t, occupancy.Wait(4, 2), 38*time.Millisecond)
	assert.Equal(t, occupancy.Wait(4, 0), time.Duration(0), "no bound")
}
