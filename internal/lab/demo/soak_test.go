package demo

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
)

func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	schedule := drawSchedule(7, time.Minute)
	assert.DeepEqual(t, schedule, drawSchedule(7, time.Minute))
	assert.Assert(t, len(schedule) > 0)
	last := schedule[len(schedule)-1]
	longer := drawSchedule(7, 2*time.Minute)
	assert.DeepEqual(t, longer[:len(schedule)], schedule)
	assert.Assert(t, last.At < time.Minute+spreadOfWave)
	for _, each := range longer {
		assert.Assert(t, each.For >= shortestFault && each.For <= longestFault, "%s", each)
	}
}

func TestEveryFaultIsDrawn(t *testing.T) {
	drawn := map[fault]bool{}
	for _, each := range drawSchedule(1, time.Hour) {
		drawn[each.Fault] = true
	}
	for _, each := range allFaults {
		assert.Assert(t, drawn[each], "%s", each)
	}
}

func call(key string, sent, answered time.Duration, status int) history.Call {
	return history.Call{Key: key, Sent: sent, Answered: answered, Status: status, Whole: status == http.StatusOK}
}

func TestFailingSpansNeedAskingCallers(t *testing.T) {
	spans := failingSpans([]history.Call{
		call("a", 1*time.Second, 2*time.Second, http.StatusServiceUnavailable),
		call("b", 1*time.Second, 2*time.Second, http.StatusServiceUnavailable),
		call("a", 3*time.Second, 4*time.Second, http.StatusServiceUnavailable),
		call("b", 5*time.Second, 6*time.Second, http.StatusServiceUnavailable),
		call("a", 5*time.Second, 5*time.Second, http.StatusOK),
		call("a", 9*time.Second, 9*time.Second, http.StatusOK),
	})
	assert.DeepEqual(t, spans, []load.Span{
		{Key: "a", Begin: 1 * time.Second, End: 4 * time.Second},
		{Key: "b", Begin: 1 * time.Second, End: 2 * time.Second},
		{Key: "b", Begin: 5 * time.Second, End: 6 * time.Second},
	})
}

func TestPoolFailsWhileAllRequestsFail(t *testing.T) {
	spans := failingSpans([]history.Call{
		call("", 1*time.Second, 2*time.Second, http.StatusServiceUnavailable),
		call("", 2*time.Second, 8*time.Second, http.StatusServiceUnavailable),
		call("", 8*time.Second, 9*time.Second, http.StatusOK),
	})
	assert.DeepEqual(t, spans, []load.Span{{Begin: 1 * time.Second, End: 8 * time.Second}})
}

func TestStuckKeysAreThoseThatNoFaultExplains(t *testing.T) {
	unserved := []history.Call{
		call("a", 0, 4*time.Second, http.StatusServiceUnavailable),
		call("a", 4*time.Second, 14*time.Second, http.StatusServiceUnavailable),
	}
	alone := soak{injected: []injectedFault{{faultKillLeader, time.Second, 5 * time.Second}}}
	assert.Equal(t, len(alone.stuck(failingSpans(unserved))), 1)
	twice := soak{injected: []injectedFault{
		{faultKillLeader, time.Second, 5 * time.Second},
		{faultOutage, 2 * time.Second, 6 * time.Second},
	}}
	// Both last from 2 s to 9 s, so 5 s at the end are left.
	assert.Equal(t, len(twice.stuck(failingSpans(unserved))), 0)
	unserved[1].Answered += time.Second
	assert.Equal(t, len(twice.stuck(failingSpans(unserved))), 1)
}
