package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// Guards against eviction of a request that crashes workers by the suspects of many workers that
// crashed at the same time for another reason.
func TestManySuspectsDoNotEvictHarmfulRequest(t *testing.T) {
	const interval = 3.2 // seconds between two crashes by the harmful request
	for _, innocents := range []int{400, 512, 2000, 10_000} {
		t.Run(fmt.Sprint(innocents), func(t *testing.T) {
			tracker := NewTracker()
			sent := 0
			for round := range 8 {
				if tracker.Standing(attempt(1).callerRequest()) == Quarantined {
					break
				}
				sent++
				seconds := interval * float64(round)
				tracker.RecordCrash(at(seconds), attempt(1), testCrash(workers.ID(fmt.Sprint("alone-", round)), seconds))
				crashTogether(tracker, round, innocents, seconds+1)
			}
			assert.Equal(t, sent, crashThreshold)
			assert.Assert(t, len(tracker.Records()) <= maxRecords)
		})
	}
}

// crashTogether crashes workers at the same time, with three innocent requests in progress at each.
func crashTogether(tracker *Tracker, round, innocents int, seconds float64) {
	for index := range innocents {
		one := Attempt{Request: Fingerprint{2, byte(round), byte(index >> 8), byte(index)}}
		tracker.RecordCrash(at(seconds), one, testCrash(workers.ID(fmt.Sprint("rack-", round, "-", index/3)), seconds))
	}
	tracker.Evaluate(at(seconds + 1.1))
}
