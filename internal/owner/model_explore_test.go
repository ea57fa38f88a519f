package owner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// key describes the state, with times relative to now, so that equal states are
// explored once.
func (m *model) key() string {
	var text strings.Builder
	at := func(t time.Time) string {
		if t.IsZero() || !t.After(m.now) {
			return "-"
		}
		return t.Sub(m.now).String()
	}
	fmt.Fprintf(&text, "%v %s|", m.bounds, at(m.lease))
	for _, one := range m.holders {
		fmt.Fprintf(&text, "%d %s %d %v %v|", one.fence, at(one.until), one.seen, one.cut, one.lateCut)
		fmt.Fprintf(&text, "%d %d %v|", one.born, one.before, one.untold)
	}
	for _, one := range m.leaders {
		fmt.Fprintf(&text, "%s %v %v %v %d %d %d %d|", at(one.authority), one.cutOff, one.dead, one.write != nil,
			one.book.fence, one.book.change, one.book.stored, one.book.holdsVersion)
		span := one.book.spans[0]
		fmt.Fprintf(&text, "%s %d %v %s %s %v %d %s %v %s %v|", span.owner, span.fence, span.granted, at(span.heldUntil), at(span.lateUntil),
			span.doubtful, span.doubtFence, at(span.takenUntil), span.busy, at(span.next), span.planned)
		fmt.Fprintf(&text, "%v %v %d %s %v|", span.reached(), span.unsure, span.takenFence, at(span.forgottenUntil), one.lives)
		if span.planned != nil {
			fmt.Fprintf(&text, "%v|", *span.planned)
		}
		for _, old := range span.formers {
			fmt.Fprintf(&text, "%s %s %s %d|", old.worker, at(old.until), at(old.lateUntil), old.version)
		}
		for _, one := range one.book.doubts {
			fmt.Fprintf(&text, "%s %d %s %s %v|", one.worker, one.fence, at(one.until), at(one.next), one.busy)
			fmt.Fprintf(&text, "%v|", one.told)
		}
		fmt.Fprintf(&text, "%s|", at(one.book.lateSeen.Add(2*modelConfig.MaxOrderDelay)))
	}
	fmt.Fprintf(&text, "%d %d %d %s %s %d|", m.standby.term, m.standby.mandate.KnownVersion, m.standby.pure.term,
		at(m.standby.mandate.Until), at(m.standby.mandate.LastRenewal.Add(modelConfig.MaxOrderDelay)), m.standby.pure.version)
	for _, one := range m.standby.pure.holds {
		fmt.Fprintf(&text, "%s %d %v|", one.Target.ID, one.Fence, one.busy)
	}
	for _, one := range m.orders {
		fmt.Fprintf(&text, "%d %d|", one.order.Target.Incarnation, one.born)
		fmt.Fprintf(&text, "%s %v %d %v %v %d %s|", one.order.Target.ID, one.order.Release, one.order.Fence, one.late, one.cut, one.leader, at(one.until))
	}
	text.Write(m.record)
	return text.String()
}

// replay plays a path of choices from the start.
func replay(bounds modelBounds, path []string) *model {
	m := newModel(bounds)
	for _, choice := range path {
		m.take(choice)
	}
	return m
}

// explore visits every state within the bounds; it returns their number, and the
// path to a broken one.
func explore(bounds modelBounds) (states int, path []string, broken string) {
	seen := map[string]bool{}
	queue := [][]string{nil}
	for len(queue) > 0 {
		path := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, choice := range replay(bounds, path).choices() {
			next := append(slices.Clone(path), choice)
			m := replay(bounds, next)
			if m.broken != "" {
				return len(seen), next, m.broken
			}
			if key := m.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil, ""
}

func TestEveryOrderOfEvents(t *testing.T) {
	for name, bounds := range map[string]modelBounds{
		"late grants and cuts":          {ticks: 6, moves: 1, lates: 1, cuts: 1},
		"two moves and lost answers":    {ticks: 6, moves: 2, losses: 2},
		"a leader that loses the store": {ticks: 7, moves: 1, leaders: 1, cuts: 1},
		"a successor and late grants":   {ticks: 7, moves: 1, lates: 1, leaders: 1},
		"a standby beside its leader":   {ticks: 6, moves: 1, cuts: 1, tellings: 1, renewals: 2},
		"a standby and a successor":     {ticks: 6, moves: 1, leaders: 1, tellings: 1, renewals: 1},
		"a standby that is asked":       {ticks: 5, moves: 1, leaders: 1, asks: 1, cuts: 1, tellings: 1, renewals: 1},
		"owners that nobody reaches":    {ticks: 3, moves: 2, lates: 1, cuts: 1},
		"unreached beside a standby":    {ticks: 3, moves: 2, cuts: 1, tellings: 1, renewals: 1},
		"unreached before a successor":  {ticks: 3, moves: 2, leaders: 1, cuts: 1},
		"a restart and late grants":     {ticks: 4, moves: 1, lates: 1, restarts: 1},
		"a restart and a cut":           {ticks: 3, moves: 1, cuts: 1, restarts: 1},
		"a restart and lost answers":    {ticks: 3, moves: 1, losses: 1, restarts: 1},
		"two restarts":                  {ticks: 3, moves: 1, restarts: 2},
		"a restart and a successor":     {ticks: 3, moves: 1, leaders: 1, restarts: 1},
		"a restart and a standby":       {ticks: 3, moves: 1, tellings: 1, renewals: 1, restarts: 1},
		"a standby whose grant is late": {ticks: 7, moves: 1, lates: 1, tellings: 1, renewals: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, path, broken := explore(bounds)
			if broken != "" {
				t.Fatalf("%s, by %s", broken, strings.Join(path, ", "))
			}
			t.Logf("%d states", states)
		})
	}
}
