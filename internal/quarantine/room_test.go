package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// Suspects of many workers that ended at one moment took the room of a request that had crashed
// workers of its own.
func TestManySuspectsDoNotHideAHarmfulRequest(t *testing.T) {
	const between = 3.2 // seconds from one crash under the harmful request to the next
	for _, innocents := range []int{400, 512, 2000, 10_000} {
		t.Run(fmt.Sprint(innocents), func(t *testing.T) {
			b := NewTracker()
			sent := 0
			for round := range 8 {
				if b.Standing(attempt(1).run()) == Quarantined {
					break
				}
				sent++
				seconds := between * float64(round)
				b.RecordCrash(at(seconds), attempt(1), crashAt(workers.ID(fmt.Sprint("alone-", round)), seconds))
				endTogether(b, round, innocents, seconds+1)
			}
			assert.Equal(t, sent, mostCrashes)
			assert.Assert(t, len(b.Records()) <= mostRecords)
		})
	}
}

// endTogether ends workers at one moment, with innocent requests under way, three at each.
func endTogether(b *Tracker, round, innocents int, seconds float64) {
	for index := range innocents {
		one := Attempt{Request: Fingerprint{2, byte(round), byte(index >> 8), byte(index)}}
		b.RecordCrash(at(seconds), one, crashAt(workers.ID(fmt.Sprint("rack-", round, "-", index/3)), seconds))
	}
	b.Evaluate(at(seconds + 1.1))
}
