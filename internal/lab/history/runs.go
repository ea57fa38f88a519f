package history

import (
	"fmt"
	"slices"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// sameRequest names a request that may run once. One field besides the service
// is set.
type sameRequest struct {
	service        keyspace.ServiceName
	nonce          Nonce
	requestID      wire.RequestID
	idempotencyKey string
}

// names returns every name under which an execution may run once.
func (e Execution) names() []sameRequest {
	var names []sameRequest
	if e.Nonce != "" {
		names = append(names, sameRequest{service: e.Service, nonce: e.Nonce})
	}
	if e.RequestID != "" {
		names = append(names, sameRequest{service: e.Service, requestID: e.RequestID})
	}
	if e.IdempotencyKey != "" {
		names = append(names, sameRequest{service: e.Service, idempotencyKey: e.IdempotencyKey})
	}
	return names
}

func (n sameRequest) String() string {
	return string(n.nonce) + string(n.requestID) + n.idempotencyKey
}

// checkSingleRuns finds requests that ran twice though they are not repeatable.
// A run whose end nobody recorded may have kept its effect, so a second run
// after it was sent without proof and is a breach as well.
func checkSingleRuns(executions []Execution) []Violation {
	runs := map[sameRequest][]Execution{}
	var names []sameRequest
	for _, execution := range executions {
		if execution.Repeatable || !execution.mayHaveKept() {
			continue
		}
		for _, name := range execution.names() {
			if len(runs[name]) == 0 {
				names = append(names, name)
			}
			runs[name] = append(runs[name], execution)
		}
	}
	var violations []Violation
	for _, name := range names {
		// A request that ran twice under several names is reported once.
		if len(runs[name]) < 2 || reported(violations, runs[name]) {
			continue
		}
		violations = append(violations, Violation{
			Rule:       RuleRanTwice,
			Subject:    name.String(),
			Detail:     fmt.Sprintf("%d runs kept or may have kept an effect", len(runs[name])),
			Executions: runs[name],
		})
	}
	return violations
}

func reported(violations []Violation, runs []Execution) bool {
	return slices.ContainsFunc(violations, func(violation Violation) bool {
		return slices.Equal(violation.Executions, runs)
	})
}

// checkCalls compares what callers saw with what ran.
func checkCalls(history History) []Violation {
	index := newRunIndex(history)
	var violations []Violation
	for _, call := range history.Calls {
		add := func(rule Rule, detail string, executions ...Execution) {
			violations = append(violations, Violation{
				Rule: rule, Subject: string(call.Nonce), Detail: detail, Executions: executions, Call: &call,
			})
		}
		if run, ran := index.byNonce[call.Nonce]; ran && call.Outcome == wire.OutcomeNotRun {
			add(RuleNotRunThatRan, "the caller was told that it did not run", run)
		}
		if !call.succeeded() {
			continue
		}
		if !index.ran(call) {
			add(RuleLostRun, "the caller was told that it ran")
		}
		if rule, detail := index.bodyFault(call); rule != "" {
			add(rule, detail)
		}
	}
	return violations
}

// idempotent names the calls that share one run.
type idempotent struct {
	service keyspace.ServiceName
	key     string
}

// runIndex finds the kept executions of a call.
type runIndex struct {
	byNonce       map[Nonce]Execution
	byIdempotency map[idempotent]Execution
}

func newRunIndex(history History) runIndex {
	index := runIndex{byNonce: map[Nonce]Execution{}, byIdempotency: map[idempotent]Execution{}}
	for _, execution := range history.Executions {
		if !execution.Kept {
			continue
		}
		index.byNonce[execution.Nonce] = execution
		if execution.IdempotencyKey != "" {
			index.byIdempotency[idempotent{execution.Service, execution.IdempotencyKey}] = execution
		}
	}
	return index
}

// run returns the execution that a call's answer should come from. A call that
// repeats an idempotency key is answered from the first call's run.
func (i runIndex) run(call Call) (Execution, bool) {
	if run, found := i.byNonce[call.Nonce]; found {
		return run, true
	}
	if call.IdempotencyKey == "" {
		return Execution{}, false
	}
	run, found := i.byIdempotency[idempotent{call.Service, call.IdempotencyKey}]
	return run, found
}

func (i runIndex) ran(call Call) bool {
	_, found := i.run(call)
	return found
}

// bodyFault returns the rule that an answer's body breaks, empty for none.
func (i runIndex) bodyFault(call Call) (Rule, string) {
	if call.Body == nil {
		return RuleForeignAnswer, "the body names no request"
	}
	want := call.Nonce
	if run, found := i.run(call); found {
		want = run.Nonce
	}
	if call.Body.Nonce != want {
		return RuleForeignAnswer, fmt.Sprintf("the body is for %q", call.Body.Nonce)
	}
	if call.Body.Received != call.Body.Padding {
		return RuleCutAnswer, fmt.Sprintf("%d of %d bytes, ended cleanly", call.Body.Received, call.Body.Padding)
	}
	return "", ""
}
