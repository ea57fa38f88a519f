package history

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// checkOwners finds keys that an older owner still worked on after a newer one
// had begun. Fences order the owners of a key, also across splits and merges.
func checkOwners(executions []Execution) []Violation {
	groups, keys := groupByKey(executions)
	var violations []Violation
	for _, key := range keys {
		violations = append(violations, checkOwnersOfKey(groups[key])...)
	}
	return violations
}

// checkOwnersOfKey compares each execution with the newest owner that had begun
// before it. It walks the executions in order of their start and keeps, of the
// owners with a higher fence, only what is needed: the first start of each.
func checkOwnersOfKey(executions []Execution) []Violation {
	firsts := firstStarts(executions)
	var violations []Violation
	for _, execution := range executions {
		for _, newer := range firsts {
			if newer.Fence < execution.Fence {
				continue
			}
			if detail := overlap(execution, newer); detail != "" {
				violations = append(violations, Violation{
					Rule:       RuleTwoOwners,
					Subject:    execution.Key,
					Detail:     detail,
					Executions: []Execution{execution, newer},
				})
				break
			}
		}
	}
	return violations
}

// owner is one process under one fence.
type owner struct {
	server  bundle.ServerName
	process string
	fence   uint64
}

func firstStarts(executions []Execution) []Execution {
	position := map[owner]int{}
	var firsts []Execution
	for _, execution := range executions {
		id := owner{server: execution.Server, process: execution.Process, fence: uint64(execution.Fence)}
		at, found := position[id]
		if !found {
			position[id] = len(firsts)
			firsts = append(firsts, execution)
			continue
		}
		if execution.Started < firsts[at].Started {
			firsts[at] = execution
		}
	}
	return firsts
}

// overlap says how older breaks in on newer, empty if it does not. Each reading
// is the bound that can only hide a breach: Arrived and Effect are read before
// the event, Started after it.
func overlap(older, newer Execution) string {
	sameProcess := older.Server == newer.Server && older.Process == newer.Process
	if older.Fence == newer.Fence {
		// Both break in on each other; the later of the two is named.
		if sameProcess || byArrival(older, newer) < 0 {
			return ""
		}
		return fmt.Sprintf("%s and %s both ran under fence %s", older.Server, newer.Server, older.Fence)
	}
	if older.Kept && older.Effect > newer.Started {
		return fmt.Sprintf("%s kept an effect under fence %s, %s after %s began under fence %s",
			older.Server, older.Fence, older.Effect-newer.Started, newer.Server, newer.Fence)
	}
	if older.Arrived > newer.Started {
		return fmt.Sprintf("%s took work under fence %s, %s after %s began under fence %s",
			older.Server, older.Fence, older.Arrived-newer.Started, newer.Server, newer.Fence)
	}
	return ""
}

// checkBundleOrder finds work that began under an older bundle version after
// work under a newer one, in one process of a service or on one key.
func checkBundleOrder(executions []Execution) []Violation {
	type place struct {
		server  bundle.ServerName
		process string
		service keyspace.ServiceName
	}
	// newest is, per place, the execution with the highest version, and of
	// these the first to start.
	newest := map[place]Execution{}
	var violations []Violation
	for _, execution := range executions {
		at := place{server: execution.Server, process: execution.Process, service: execution.Service}
		top, found := newest[at]
		if found && execution.Bundle < top.Bundle && execution.Arrived > top.Started {
			violations = append(violations, olderBundle(string(at.server), execution, top))
		}
		if !found || supersedes(execution, top) {
			newest[at] = execution
		}
	}
	return append(violations, checkBundleOfOwners(executions)...)
}

func supersedes(execution, top Execution) bool {
	if execution.Bundle != top.Bundle {
		return execution.Bundle > top.Bundle
	}
	return execution.Started < top.Started
}

// checkBundleOfOwners finds a key whose newer owner runs under an older version
// than the owner before it began to.
func checkBundleOfOwners(executions []Execution) []Violation {
	groups, keys := groupByKey(executions)
	var violations []Violation
	for _, key := range keys {
		var top *Execution
		for _, execution := range groups[key] {
			if top != nil && execution.Bundle < top.Bundle && execution.Fence > top.Fence {
				violations = append(violations, olderBundle(key.key, execution, *top))
			}
			if top == nil || execution.Bundle > top.Bundle {
				top = &execution
			}
		}
	}
	return violations
}

func olderBundle(subject string, execution, top Execution) Violation {
	return Violation{
		Rule:       RuleOlderBundle,
		Subject:    subject,
		Detail:     fmt.Sprintf("version %d began after version %d", execution.Bundle, top.Bundle),
		Executions: []Execution{execution, top},
	}
}
