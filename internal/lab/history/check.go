package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// Rule names what a violation breaks.
type Rule string

// Rules that Check knows.
const (
	RuleTwoOwners     Rule = "two-owners"
	RuleRanTwice      Rule = "ran-twice"
	RuleLostRun       Rule = "lost-run"
	RuleForeignAnswer Rule = "foreign-answer"
	RuleCutAnswer     Rule = "cut-answer"
	RuleNotRunThatRan Rule = "not-run-that-ran"
	RuleOlderBundle   Rule = "older-bundle"
	RuleForbiddenZone Rule = "forbidden-zone"
	RuleLeaving       Rule = "work-on-leaving-server"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule `json:"rule"`
	// Subject is the key, nonce, idempotency key or server concerned.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
	// Executions and Call are the evidence.
	Executions []Execution `json:"executions,omitempty"`
	Call       *Call       `json:"call,omitempty"`
}

// History is all that a run left behind.
type History struct {
	Executions []Execution
	Calls      []Call
	// Bundles that were ever rolled out, for the zones that they allow.
	Bundles []bundle.Bundle
	// Leaving servers, and the time after which they get no new work.
	Leaving    []Leaving
	LeaveGrace time.Duration
}

// Leaving says when a server was told to leave. Returned is when it was taken
// back, zero if it never was.
type Leaving struct {
	Server   bundle.ServerName `json:"server"`
	At       time.Duration     `json:"at"`
	Returned time.Duration     `json:"returned,omitempty"`
}

// Check returns every breach that the history proves, in a fixed order. It
// never reports what could also be a pause between two readings of the clock.
func Check(history History) []Violation {
	history.Executions = Latest(history.Executions)
	var violations []Violation
	violations = append(violations, checkOwners(history.Executions)...)
	violations = append(violations, checkSingleRuns(history.Executions)...)
	violations = append(violations, checkCalls(history)...)
	violations = append(violations, checkBundleOrder(history.Executions)...)
	violations = append(violations, checkZones(history)...)
	violations = append(violations, checkLeaving(history)...)
	return violations
}

// Latest keeps the last phase of each execution, ordered by time of arrival.
func Latest(lines []Execution) []Execution {
	var latest Collector
	for _, line := range lines {
		latest.addExecution(line)
	}
	return latest.History().Executions
}

func byArrival(a, b Execution) int {
	return cmp.Or(
		cmp.Compare(a.Arrived, b.Arrived),
		cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Number, b.Number),
	)
}

// checkLeaving finds work that a leaving server took up after the grace.
func checkLeaving(history History) []Violation {
	var violations []Violation
	for _, leaving := range history.Leaving {
		for _, execution := range history.Executions {
			if execution.Server != leaving.Server || !leaving.covers(execution.Arrived, history.LeaveGrace) {
				continue
			}
			violations = append(violations, Violation{
				Rule:       RuleLeaving,
				Subject:    string(execution.Server),
				Detail:     fmt.Sprintf("new work %s after it was told to leave", execution.Arrived-leaving.At),
				Executions: []Execution{execution},
			})
		}
	}
	return violations
}

func (l Leaving) covers(at, grace time.Duration) bool {
	return at > l.At+grace && (l.Returned == 0 || at < l.Returned)
}

// checkZones finds work at a place that the bundle it ran under does not allow.
func checkZones(history History) []Violation {
	var violations []Violation
	for _, execution := range history.Executions {
		zones, known := allowedZones(history.Bundles, execution)
		if !known || slices.Contains(zones, execution.Zone) {
			continue
		}
		violations = append(violations, Violation{
			Rule:       RuleForbiddenZone,
			Subject:    execution.Key,
			Detail:     fmt.Sprintf("ran in zone %q, allowed are %q", execution.Zone, zones),
			Executions: []Execution{execution},
		})
	}
	return violations
}

// allowedZones returns false for a service or version that no bundle names.
func allowedZones(bundles []bundle.Bundle, execution Execution) ([]bundle.Zone, bool) {
	for _, candidate := range bundles {
		if candidate.Version != execution.Bundle {
			continue
		}
		for _, service := range candidate.Services {
			if candidate.ServiceName(service) == execution.Service {
				return serviceZones(candidate, service, execution.Key)
			}
		}
	}
	return nil, false
}

func serviceZones(from bundle.Bundle, service bundle.Service, key string) ([]bundle.Zone, bool) {
	if service.Kind == bundle.KindPool {
		return from.Zones, true
	}
	partition, found := service.PartitionOf(key)
	return partition.Zones, found
}

// ownedKey is a key of one service.
type ownedKey struct {
	service keyspace.ServiceName
	key     string
}

// groupByKey returns the executions of each key in order of arrival, and the
// keys in a fixed order. Services without keys have no owner and are left out.
func groupByKey(executions []Execution) (map[ownedKey][]Execution, []ownedKey) {
	groups := map[ownedKey][]Execution{}
	var keys []ownedKey
	for _, execution := range executions {
		if execution.Key == "" {
			continue
		}
		key := ownedKey{service: execution.Service, key: execution.Key}
		if len(groups[key]) == 0 {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], execution)
	}
	return groups, keys
}
