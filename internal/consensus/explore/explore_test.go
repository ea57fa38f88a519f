package explore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEveryStateIsSafe(t *testing.T) {
	cases := map[string]Options{
		"fresh start":        {Steps: 13, InFlight: 4, MaxTerm: 2, SkipClock: NoSkip},
		"takeover":           {Elected: true, Steps: 13, InFlight: 4, MaxTerm: 2, SkipClock: NoSkip},
		"takeover leap of A": {Elected: true, Steps: 12, InFlight: 4, MaxTerm: 2, SkipClock: 0},
		"takeover leap of B": {Elected: true, Steps: 12, InFlight: 4, MaxTerm: 2, SkipClock: 1},
		"seal":               {Elected: true, Steps: 11, InFlight: 4, MaxTerm: 2, SkipClock: NoSkip, Proposals: 1, Seals: 2},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			b := time.Now()
			result := Run(options)
			t.Logf("%s: %d states, %d transitions, %d takeovers %s", name, result.States, result.Transitions, result.Takeovers, time.Since(b))
			assert.Equal(t, result.Violation, "")
		})
	}
}
