package experiment

import (
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
)

const (
	// restartTime is from the stop of a replaced server to its start.
	restartTime = time.Second
	// staticNotice is how long a server of the baseline says that it is
	// draining before it stops.
	staticNotice = 3 * time.Second
)

// planEvents puts the scenario's events on the schedule.
func (w *world) planEvents() {
	for _, event := range w.scenario.Events {
		w.After(event.At.Std(), func() { w.begin(event) })
	}
}

// begin starts an event and plans its end.
func (w *world) begin(event Event) {
	lasting := event.Lasting.Std()
	switch event.Kind {
	case EventHotKey:
		w.heat(event.Share, lasting)
	case EventMachineLoss:
		w.loseServer(w.server(event.Server), lasting)
	case EventZoneLoss:
		w.loseZone(event, lasting)
	case EventLeaderLoss:
		w.loseLeader()
	case EventReplacement:
		w.replaceNext(w.serversOf(event.Service), event.Each.Std())
	case EventPlatformOutage:
		w.platformDown = true
		w.After(lasting, func() { w.platformDown = false })
	case EventBundle:
		w.rollBundle()
	default:
		w.misbehave(event, lasting)
	}
}

// misbehave changes how servers behave, for a time.
func (w *world) misbehave(event Event, lasting time.Duration) {
	if event.Kind == EventLag {
		for _, each := range w.serversOf(event.Service) {
			each.lag = event.Lag.Std()
		}
		return
	}
	target := w.server(event.Server)
	switch event.Kind {
	case EventShed:
		target.shed = event.Share
	case EventSlow:
		target.factor = event.Factor
	case EventLie:
		target.lies = true
	}
	w.After(lasting, func() {
		target.shed, target.factor, target.lies = 0, 1, false
	})
}

// heat makes a key hot that was of little interest before.
func (w *world) heat(share float64, lasting time.Duration) {
	w.popularity.hot = w.popularity.byRank[len(w.popularity.byRank)/2]
	w.popularity.hotShare = share
	w.After(lasting, func() { w.popularity.hotShare = 0 })
}

func (w *world) serversOf(service string) []*server {
	var found []*server
	for _, each := range w.servers {
		if each.workload.name == service {
			found = append(found, each)
		}
	}
	return found
}

func (w *world) loseServer(lost *server, lasting time.Duration) {
	lost.lose()
	run := lost.starts
	w.After(lasting, func() {
		if lost.starts == run {
			w.startServer(lost)
		}
	})
}

// startServer starts a server's process anew; the old connections are gone.
func (w *world) startServer(started *server) {
	started.start()
	for _, each := range w.gateways {
		each.idle[started.name] = 0
	}
}

func (w *world) loseZone(event Event, lasting time.Duration) {
	for _, each := range w.servers {
		if each.zone == event.Zone && each.alive {
			w.loseServer(each, lasting)
		}
	}
	for i, each := range w.gateways {
		if each.zone != event.Zone {
			continue
		}
		each.lose()
		w.After(lasting, func() {
			w.control.forget(i)
			each.reset()
			w.control.publish()
		})
	}
	if w.control.zone == event.Zone {
		w.loseLeader()
	}
}

func (w *world) loseLeader() {
	if w.variant.mechanisms.fenced && w.control.leading {
		w.control.loseLeader()
	}
}

// replaceNext drains, stops and restarts the first server, then the others.
func (w *world) replaceNext(left []*server, each time.Duration) {
	if len(left) == 0 {
		return
	}
	first := left[0]
	w.After(each, func() { w.replaceNext(left[1:], each) })
	if !first.alive {
		return
	}
	notice := time.Duration(0)
	if !w.variant.mechanisms.fenced {
		first.draining = true
		notice = staticNotice
	}
	w.After(notice, func() { first.drain(func() { w.restart(first) }) })
}

// restart stops a server that has drained; what it still runs is cut.
func (w *world) restart(stopped *server) {
	w.measures.cut += stopped.busy + len(stopped.waiting)
	stopped.lose()
	w.After(restartTime, func() { w.startServer(stopped) })
}

// rollBundle adopts the next version, once the platform's service answers.
func (w *world) rollBundle() {
	if !w.variant.mechanisms.fenced {
		return
	}
	if w.platformDown || !w.control.leading {
		w.After(time.Second, w.rollBundle)
		return
	}
	w.version++
	w.bundle = w.deployment.bundle(w.version, w.variant.mechanisms)
	w.control.propose([]cellstate.Command{w.control.adoption()})
}
