package retry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/wire"
)

func TestBudgetIsAShareOfFirstTries(t *testing.T) {
	budget := NewBudget()
	for budget.Spend() { // the burst
	}
	spent := 0
	for range 1000 {
		budget.FirstTry(0.25)
		if budget.Spend() {
			spent++
		}
	}
	assert.Equal(t, spent, 250)
}

// A request that may not be repeated goes out again only after a proof.
func TestDecisions(t *testing.T) {
	sent := Attempt{BytesSent: true, Reason: wire.ReasonAnswerLost}
	unsent := Attempt{Reason: wire.ReasonAnswerLost}
	fence := Attempt{BytesSent: true, ServerNotRun: true, Reason: wire.ReasonWrongFence}
	overloaded := Attempt{BytesSent: true, ServerNotRun: true, Reason: wire.ReasonOverloaded}
	malformed := Attempt{BytesSent: true, ServerNotRun: true, Reason: wire.ReasonMalformed}
	cases := []struct {
		name                   string
		attempt                Attempt
		repeatable, replayable bool
		want                   Decision
	}{
		{"sent", sent, false, true, Decision{Budgeted: true, Outcome: wire.OutcomeUnknown}},
		{"sent, repeatable", sent, true, true, Decision{Again: true, Budgeted: true, Outcome: wire.OutcomeUnknown}},
		{"sent, body gone", sent, true, false, Decision{Budgeted: true, Outcome: wire.OutcomeUnknown}},
		{"unsent", unsent, false, true, Decision{Again: true, Outcome: wire.OutcomeNotRun}},
		{"unsent, body gone", unsent, false, false, Decision{Outcome: wire.OutcomeNotRun}},
		{"wrong fence", fence, false, true, Decision{Again: true, AwaitTable: true, Outcome: wire.OutcomeNotRun}},
		{"overloaded", overloaded, false, true, Decision{Again: true, Budgeted: true, Outcome: wire.OutcomeNotRun}},
		{"malformed", malformed, true, true, Decision{Budgeted: true, Outcome: wire.OutcomeNotRun}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, Decide(test.attempt, test.repeatable, test.replayable), test.want)
		})
	}
}
