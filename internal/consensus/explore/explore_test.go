package explore

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

// collectRarely lets the heap grow sixfold: the states of a level are all live,
// so that collecting more often frees little.
const collectRarely = 500

// TestEveryStateIsSafe visits all states within bounds that still reach the
// known faults: lease counted from an answer's receipt, vote given inside the
// promise, commit by a paused leader whose followers have sealed.
func TestEveryStateIsSafe(t *testing.T) {
	cases := map[string]Options{
		"new processes":           {Steps: 10, Ticking: 3},
		"takeover":                {Elected: true, Steps: 12, Ticking: 2},
		"leader's clock skips":    {Elected: true, Steps: 10, Ticking: 2, SkipClock: 0, Skips: 1},
		"candidate's clock skips": {Elected: true, Steps: 10, Ticking: 2, SkipClock: 1, Skips: 1},
		"voter's clock skips":     {Elected: true, Steps: 10, Ticking: 2, SkipClock: 2, Skips: 1},
		"seals":                   {Elected: true, Steps: 9, Ticking: 1, Proposals: 1, Seals: 2},
	}
	defer debug.SetGCPercent(debug.SetGCPercent(collectRarely))
	total := 0
	for name, options := range cases {
		options.Steps -= fewerSteps
		options.MaxTerm = 2
		options.InFlight = 4
		t.Run(name, func(t *testing.T) {
			result := Run(options)
			total += result.States
			t.Logf("%d states, %d transitions, %d with a second leader's lease",
				result.States, result.Transitions, result.Takeovers)
			assert.Equal(t, result.Violation, "")
		})
	}
	t.Logf("%d states in all", total)
}
