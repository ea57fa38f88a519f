package owner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// stateKey describes the state, with times relative to now, so that equal states are explored once.
func (m *model) stateKey() string {
	var text strings.Builder
	at := func(t time.Time) string {
		if t.IsZero() || !t.After(m.now) {
			return "-"
		}
		return t.Sub(m.now).String()
	}
	fmt.Fprintf(&text, "%v %s|", m.bounds, at(m.lease))
	for _, worker := range m.workers {
		fmt.Fprintf(&text, "%d %s %d %v %v|", worker.fence, at(worker.until), worker.highestFence, worker.partitioned, worker.unpreventable)
		fmt.Fprintf(&text, "%d %d %v|", worker.startTime, worker.previousFence, worker.unaware)
		fmt.Fprintf(&text, "%s %v %v|", at(modelConfig.HoldEnd(worker.lastGrantAt)), worker.mute, worker.leaderCut)
	}
	for _, leader := range m.leaders {
		fmt.Fprintf(&text, "%s %v %v %v %d %d %d %d|", at(leader.authority), leader.storeUnreachable, leader.dead, leader.write != nil,
			leader.ledger.fence, leader.ledger.recordVersion, leader.ledger.storedVersion, leader.ledger.holdsVersion)
		span := leader.ledger.spans[0]
		fmt.Fprintf(&text, "%s %d %v %s %s %v %d %s %v %s %v|", span.owner, span.fence, span.granted, at(span.heldUntil), at(span.delayedHeldUntil),
			span.unconfirmed, span.unconfirmedFence, at(span.delayedGrantUntil), span.inFlight, at(span.nextOrderAt), span.pending)
		fmt.Fprintf(&text, "%s %v %s|", at(span.inheritedUntil), span.recordedUngranted, at(leader.inheritedUntil))
		fmt.Fprintf(&text, "%v %v %d %s %v|", span.mayHaveGrant(), span.maybeRestarted, span.acceptedFence, at(span.restartGrantUntil), leader.startTimes)
		if span.pending != nil {
			fmt.Fprintf(&text, "%v|", *span.pending)
		}
		for _, old := range span.previous {
			fmt.Fprintf(&text, "%s %d %s %s %s %d|", old.worker, old.grantTerm, at(old.heldUntil), at(old.inheritedUntil), at(old.delayedGrantUntil), old.holdsVersion)
			fmt.Fprintf(&text, "%s|", at(old.delayedHeldUntil))
		}
		for _, grant := range leader.ledger.unconfirmed {
			fmt.Fprintf(&text, "%s %d %s %s %v|", grant.worker, grant.fence, at(grant.until), at(grant.nextOrderAt), grant.inFlight)
			fmt.Fprintf(&text, "%v|", grant.acknowledged)
		}
		fmt.Fprintf(&text, "%s|", at(leader.ledger.delaySuspectedAt.Add(2*modelConfig.MaxOrderDelay)))
		if m.bounds.delaysSuspected { // otherwise no keys wait for delayed grants
			series := leader.ledger.failing[m.workers[0].id]
			fmt.Fprintf(&text, "%s %s|", at(series.last.Add(failureExpiry)), at(series.unreachableSince.Add(leader.ledger.unreachableAfter())))
		}
	}
	fmt.Fprintf(&text, "%d %d %d %s %s %d|", m.standby.term, m.standby.delegation.KnownVersion, m.standby.standby.term,
		at(m.standby.delegation.Until), at(m.standby.delegation.LastRenewal.Add(modelConfig.MaxOrderDelay)), m.standby.standby.version)
	for _, hold := range m.standby.standby.holds {
		fmt.Fprintf(&text, "%s %d %v|", hold.Target.ID, hold.Fence, hold.inFlight)
	}
	for _, sent := range m.orders {
		fmt.Fprintf(&text, "%d %d|", sent.order.Target.StartTime, sent.startTime)
		fmt.Fprintf(&text, "%s %v %d %v %v %d %s|", sent.order.Target.ID, sent.order.Release, sent.order.Fence, sent.delayed, sent.partitioned, sent.leader, at(sent.until))
	}
	text.Write(m.record)
	return text.String()
}

// replay applies a path of choices to the initial state.
func replay(bounds modelBounds, path []string) *model {
	m := newModel(bounds)
	for _, choice := range path {
		m.apply(choice)
	}
	return m
}

// explore visits every state within the bounds. It returns the number of states, and the path to
// the first violation if there is one.
func explore(bounds modelBounds) (states int, path []string, violation string) {
	seen := map[string]bool{}
	queue := [][]string{nil}
	for len(queue) > 0 {
		path := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, choice := range replay(bounds, path).choices() {
			next := append(slices.Clone(path), choice)
			m := replay(bounds, next)
			if m.violation != "" {
				return len(seen), next, m.violation
			}
			if key := m.stateKey(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil, ""
}

func TestEveryOrderOfEvents(t *testing.T) {
	for name, bounds := range map[string]modelBounds{
		"delayed grants and partitions":         {ticks: 6, moves: 1, delays: 1, partitions: 1},
		"two moves and lost replies":            {ticks: 6, moves: 2, lostReplies: 2},
		"a leader that loses the store":         {ticks: 7, moves: 1, leaders: 1, partitions: 1},
		"a successor and delayed grants":        {ticks: 7, moves: 1, delays: 1, leaders: 1},
		"a standby beside its leader":           {ticks: 6, moves: 1, partitions: 1, holdReports: 1, renewals: 2},
		"a standby and a successor":             {ticks: 6, moves: 1, leaders: 1, holdReports: 1, renewals: 1},
		"a standby that is asked to stop":       {ticks: 5, moves: 1, leaders: 1, revocations: 1, partitions: 1, holdReports: 1, renewals: 1},
		"ages of grants":                        {ticks: 5, moves: 1, leaders: 1, revocations: 1, partitions: 1, grantAges: 1},
		"ages of grants of a standby":           {ticks: 4, moves: 1, leaders: 1, revocations: 1, partitions: 1, holdReports: 1, renewals: 1, grantAges: 1},
		"unreachable owners":                    {ticks: 3, moves: 2, delays: 1, partitions: 1},
		"unreachable owners beside a standby":   {ticks: 3, moves: 2, partitions: 1, holdReports: 1, renewals: 1},
		"unreachable owners before a successor": {ticks: 3, moves: 2, leaders: 1, partitions: 1},
		"ungranted owners before a successor":   {ticks: 4, moves: 2, leaders: 1, partitions: 1},
		"a restart and delayed grants":          {ticks: 4, moves: 1, delays: 1, restarts: 1},
		"a restart and a partition":             {ticks: 3, moves: 1, partitions: 1, restarts: 1},
		"a restart and lost replies":            {ticks: 3, moves: 1, lostReplies: 1, restarts: 1},
		"two restarts":                          {ticks: 3, moves: 1, restarts: 2},
		"a restart and a successor":             {ticks: 3, moves: 1, leaders: 1, restarts: 1},
		"a restart and a standby":               {ticks: 3, moves: 1, holdReports: 1, renewals: 1, restarts: 1},
		"a standby whose renewal is delayed":    {ticks: 7, moves: 1, delays: 1, holdReports: 1, renewals: 1},
		"a mute worker and delayed grants":      {ticks: 6, moves: 1, delays: 1, mute: true, delaysSuspected: true},
		"a worker cut off from the leader only": {ticks: 6, moves: 1, delays: 1, leaderCuts: 1, delaysSuspected: true},
		"a mute worker that is partitioned":     {ticks: 5, moves: 1, delays: 1, mute: true, partitions: 1, delaysSuspected: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, path, violation := explore(bounds)
			if violation != "" {
				t.Fatalf("%s, after %s", violation, strings.Join(path, ", "))
			}
			t.Logf("%d states", states)
		})
	}
}
