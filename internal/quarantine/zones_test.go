package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	zoneSimRouters  = 99
	zoneSimWorkers  = 325
	zoneSimZones    = 3
	zoneSimDuration = 24 * time.Second
	// zoneSimRequests is how many innocent requests are sent per step.
	zoneSimRequests = 27
)

// crashZone crashes all workers of a zone, a third of all, at the same time, and retries the
// requests that were in progress there.
func (s *simulation) crashZone(now time.Time, zone int) {
	for _, worker := range s.workers {
		if worker.rack != zone {
			continue
		}
		for _, run := range worker.runs {
			s.retryLater(now, run.request)
		}
		s.crash(now, worker)
		s.otherCrashes++
	}
}

// retryLater retries a request within a second, unless its caller polls anyway.
func (s *simulation) retryLater(now time.Time, request Fingerprint) {
	if request[0] != 3 {
		return
	}
	s.messages = append(s.messages, message{at: now.Add(time.Duration(s.random.IntN(900)) * time.Millisecond), deliver: func(at time.Time) {
		s.sendInnocent(at, request)
	}})
}

// zoneSimHarmfulPeriod is the average number of steps between two sends of the harmful request.
const zoneSimHarmfulPeriod = 3

// A third of all workers crashes at the same time, three times in 20 s, alone and beside a request
// that crashes dozens of workers.
func TestZoneCrashesQuarantineNoInnocentRequest(t *testing.T) {
	for name, harmful := range map[string]bool{"alone": false, "beside a harmful request": true} {
		t.Run(name, func(t *testing.T) {
			s := newSimulationOf(1, zoneSimRouters, zoneSimWorkers, zoneSimZones)
			s.playZoneCrashes(harmful)
			t.Logf("%d innocent requests, %d rejected, %d sent as suspects; %d workers crashed", s.requests, s.rejected, s.sentAsSuspects, s.otherCrashes)
			assert.Equal(t, s.rejected, 0)
			assert.Assert(t, s.lateSends[zoneSimHarmful] <= maxLateSends)
			assert.Equal(t, s.crashed[zoneSimHarmful] >= crashThreshold, harmful)
		})
	}
}

// zoneSimHarmful crashes the workers that run it.
var zoneSimHarmful = Fingerprint{2, 1}

// playZoneCrashes runs the whole simulation, in which the three zones crash one after the other.
func (s *simulation) playZoneCrashes(harmful bool) {
	s.harmful[zoneSimHarmful] = harmful
	pollers := make([]Fingerprint, 400)
	for index := range pollers {
		pollers[index] = Fingerprint{1, byte(index), byte(index >> 8)}
	}
	crashes := map[time.Duration]int{2 * time.Second: 0, 9 * time.Second: 1, 16 * time.Second: 2}
	for now := start; now.Before(start.Add(zoneSimDuration)); now = now.Add(simStep) {
		s.step(now)
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			s.exchange(now)
		}
		for range zoneSimRequests {
			request := Fingerprint{3, byte(s.requests), byte(s.requests >> 8), byte(s.requests >> 16)}
			if s.random.IntN(3) == 0 {
				request = pollers[s.random.IntN(len(pollers))]
			}
			s.sendInnocent(now, request)
		}
		if harmful && s.random.IntN(zoneSimHarmfulPeriod) == 0 {
			s.send(now, s.routers[s.random.IntN(len(s.routers))], zoneSimHarmful)
		}
		if zone, crashing := crashes[now.Sub(start)]; crashing {
			s.crashZone(now, zone)
		}
	}
}
