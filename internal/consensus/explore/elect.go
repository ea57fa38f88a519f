package explore

import (
	"time"

	"github.com/shalefork/shalefork/internal/consensus"
)

// elect runs the world without faults until A is the leader and all know it.
// A unit later its next heartbeat has just been sent.
func elect(w *world) {
	tickFirst(w)
	settle(w)
	pass(w, heartbeat)
	tickFirst(w)
}

func pass(w *world, units time.Duration) {
	for i := range w.clocks {
		w.clocks[i] = w.clocks[i].Add(units)
	}
}

func tickFirst(w *world) {
	mustChange(w, 0, func(node *consensus.Node) { node.Tick(w.clocks[0]) })
}

// settle delivers every message in the order of sending.
func settle(w *world) {
	for len(w.network) > 0 {
		sent := w.network[0]
		w.network = w.network[1:]
		mustChange(w, sent.to, func(node *consensus.Node) { node.Step(w.clocks[sent.to], sent.message) })
	}
}

func mustChange(w *world, i int, act func(*consensus.Node)) {
	if err := w.change(i, act); err != nil {
		panic(err)
	}
}

// takenOver reports whether a leader of a later term than the first holds the
// lease: an exploration without such states has shown little.
func (w *world) takenOver() bool {
	for i, node := range w.nodes {
		until, ok := node.LeaseUntil()
		if ok && !w.clocks[i].HolderExpired(until) && node.Term() > 1 {
			return true
		}
	}
	return false
}
