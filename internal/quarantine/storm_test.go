package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	stormRouters  = 99
	stormWorkers  = 325
	stormZones    = 3
	stormDuration = 24 * time.Second
	// stormRequests is how many innocent requests are asked in a step.
	stormRequests = 27
)

// endZone ends a third of all workers at one moment, and has callers ask again whose requests were
// under way there.
func (w *simulation) crashZone(now time.Time, zone int) {
	for _, worker := range w.workers {
		if worker.rack != zone {
			continue
		}
		for _, run := range worker.runs {
			w.retryLater(now, run.request)
		}
		w.crash(now, worker)
		w.otherCrashes++
	}
}

// retryLater lets the caller of a request that is asked once ask again within a second.
func (w *simulation) retryLater(now time.Time, request Fingerprint) {
	if request[0] != 3 {
		return
	}
	w.messages = append(w.messages, message{at: now.Add(time.Duration(w.random.IntN(900)) * time.Millisecond), deliver: func(at time.Time) {
		w.sendInnocent(at, request)
	}})
}

// stormHarmfulPeriod is how often a harmful request comes in a step, on average: once in so many.
const stormHarmfulPeriod = 3

// A third of all workers ends at one moment three times in 20 s, alone and beside a request that
// crashes dozens.
func TestZonesThatEndInSeriesQuarantineNoInnocentRequest(t *testing.T) {
	for name, harmful := range map[string]bool{"alone": false, "beside a harmful request": true} {
		t.Run(name, func(t *testing.T) {
			w := newSimulationOf(1, stormRouters, stormWorkers, stormZones)
			w.playStorm(harmful)
			t.Logf("%d innocent requests, %d refused, %d sent as suspects; %d workers ended", w.requests, w.rejected, w.sentAsSuspects, w.otherCrashes)
			assert.Equal(t, w.rejected, 0)
			assert.Assert(t, w.lateSends[stormHarmful] <= maxLateSends)
			assert.Equal(t, w.crashed[stormHarmful] >= crashThreshold, harmful)
		})
	}
}

// stormHarmful crashes the workers that run it.
var stormHarmful = Fingerprint{2, 1}

// playStorm plays the whole time.
func (w *simulation) playStorm(harmful bool) {
	w.harmful[stormHarmful] = harmful
	pollers := make([]Fingerprint, 400)
	for index := range pollers {
		pollers[index] = Fingerprint{1, byte(index), byte(index >> 8)}
	}
	ends := map[time.Duration]int{2 * time.Second: 0, 9 * time.Second: 1, 16 * time.Second: 2}
	for now := start; now.Before(start.Add(stormDuration)); now = now.Add(simStep) {
		w.step(now)
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			w.exchange(now)
		}
		for range stormRequests {
			request := Fingerprint{3, byte(w.requests), byte(w.requests >> 8), byte(w.requests >> 16)}
			if w.random.IntN(3) == 0 {
				request = pollers[w.random.IntN(len(pollers))]
			}
			w.sendInnocent(now, request)
		}
		if harmful && w.random.IntN(stormHarmfulPeriod) == 0 {
			w.send(now, w.routers[w.random.IntN(len(w.routers))], stormHarmful)
		}
		if zone, ending := ends[now.Sub(start)]; ending {
			w.crashZone(now, zone)
		}
	}
}
