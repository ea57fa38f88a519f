package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHelpersAreChosenByWhatTheLeaderTells(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet(nil, func() []string { return []string{"told:1", "untold:1"} })
	assert.Assert(t, set.Take(now, map[string]bool{"told:1": true, "untold:1": true}) == nil)
	set.Told(now, []string{"told:1", "told:2"})
	tried := map[string]bool{}
	for range 2 {
		helper := set.Take(now, tried)
		assert.Assert(t, helper.Address != "untold:1")
		tried[helper.Address] = true
	}
	assert.Equal(t, set.Take(now, tried).Address, "untold:1")
}

// A helper that is cut off next, frozen or gone must not take all requests.
func TestHelpersThatDoNotAnswerGetFewRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet(nil, func() []string { return nil })
	set.Told(now, []string{"silent:1", "well:1"})
	counts := map[string]int{}
	for range 20 {
		helper := set.Take(now, nil)
		counts[helper.Address]++
		if helper.Address == "well:1" {
			set.Return(now, helper, true)
		}
	}
	assert.Equal(t, counts["silent:1"], 1)
	set.Return(now, set.helpers["silent:1"], false)
	for range 5 {
		helper := set.Take(now, nil)
		assert.Equal(t, helper.Address, "well:1")
	}
	assert.Assert(t, set.Take(now.Add(avoidTime), nil).Address == "silent:1")
}

func TestUnknownHelpersAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet(nil, func() []string { return nil })
	set.Told(now, []string{"told:1", "told:2"})
	used := set.Take(now, map[string]bool{"told:2": true})
	set.Prune(now.Add(toldLifetime))
	assert.Equal(t, len(set.helpers), 1)
	set.Return(now, used, true)
	set.Prune(now.Add(toldLifetime))
	assert.Equal(t, len(set.helpers), 0)
}
