package peerlink

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Meter counts what a process sees, for its reports. It is safe for concurrent
// use.
type Meter struct {
	mu            sync.Mutex
	keyCounts     map[routing.ServiceName]map[int]int
	responseTimes map[workers.ID][2]int
	// backoffs are, by worker, for how many backoffs it has asked, and their sum in milliseconds.
	backoffs map[workers.ID][2]int
	// timesAt is when times were last taken.
	responseTimesTakenAt time.Time
}

// responseTimesInterval is the pause between reports of workers' times, which change slowly;
// bytes between zones are dear.
const responseTimesInterval = 600 * time.Millisecond

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter {
	return &Meter{
		keyCounts: map[routing.ServiceName]map[int]int{}, responseTimes: map[workers.ID][2]int{}, backoffs: map[workers.ID][2]int{},
	}
}

// Asked counts a request for a key.
func (m *Meter) CountRequest(service routing.ServiceName, key int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(service, key, 1)
}

// count counts requests for a key. The caller holds mu.
func (m *Meter) count(service routing.ServiceName, key, requests int) {
	counts := m.keyCounts[service]
	if counts == nil {
		counts = map[int]int{}
		m.keyCounts[service] = counts
	}
	counts[key] += requests
}

// Served counts an answer of a worker whose request did not wait there.
func (m *Meter) CountResponse(worker workers.ID, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addSum(m.responseTimes, worker, 1, int(took.Milliseconds()))
}

// BackedOff counts that a worker has asked this process to send it nothing for a time, or for so much
// longer.
func (m *Meter) CountBackoff(worker workers.ID, longer time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addSum(m.backoffs, worker, 1, int(longer.Milliseconds()))
}

// add counts events and the sum of their times at a worker.
func addSum(sums map[workers.ID][2]int, worker workers.ID, count, millis int) {
	sum := sums[worker]
	sums[worker] = [2]int{sum[0] + count, sum[1] + millis}
}

// Add adds what another process has counted.
func (m *Meter) AddReport(report Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, pairs := range report.Keys {
		for index := 0; index+1 < len(pairs); index += 2 {
			m.count(service, pairs[index], pairs[index+1])
		}
	}
	for worker, sum := range report.ResponseTimes {
		addSum(m.responseTimes, worker, sum[0], sum[1])
	}
	for worker, sum := range report.Backoffs {
		addSum(m.backoffs, worker, sum[0], sum[1])
	}
}

// Take returns what was counted and begins anew.
func (m *Meter) Take() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := Report{}
	if now := clock.Now(); now.Sub(m.responseTimesTakenAt) >= responseTimesInterval {
		report.ResponseTimes, m.responseTimes, m.responseTimesTakenAt = m.responseTimes, map[workers.ID][2]int{}, now
	}
	if len(m.backoffs) > 0 {
		report.Backoffs, m.backoffs = m.backoffs, map[workers.ID][2]int{}
	}
	if len(m.keyCounts) > 0 {
		report.Keys = map[routing.ServiceName][]int{}
	}
	for service, counts := range m.keyCounts {
		pairs := make([]int, 0, 2*len(counts))
		for key, count := range counts {
			pairs = append(pairs, key, count)
		}
		report.Keys[service] = pairs
	}
	m.keyCounts = map[routing.ServiceName]map[int]int{}
	return report
}
