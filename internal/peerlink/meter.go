package peerlink

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Meter counts requests, responses and backoffs for a process's reports. It is safe for concurrent
// use.
type Meter struct {
	mu            sync.Mutex
	keyCounts     map[routing.ServiceName]map[int]int
	responseTimes map[workers.ID][2]int
	// backoffs are, by worker, the number of backoffs that it requested and their sum in
	// milliseconds.
	backoffs map[workers.ID][2]int
	// responseTimesTakenAt is when responseTimes were last taken.
	responseTimesTakenAt time.Time
}

// responseTimesInterval is the pause between reports of response times. They change slowly, and
// traffic between zones is expensive.
const responseTimesInterval = 600 * time.Millisecond

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	return &Meter{
		keyCounts: map[routing.ServiceName]map[int]int{}, responseTimes: map[workers.ID][2]int{}, backoffs: map[workers.ID][2]int{},
	}
}

// CountRejection records that a worker has rejected a request. Its response time says nothing, but
// requests reach the worker.
func (m *Meter) CountRejection(worker workers.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addSum(m.responseTimes, worker, 0, 0)
}

// CountRequest counts a request for a key.
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

// CountResponse counts a response of a worker to a request that did not wait there.
func (m *Meter) CountResponse(worker workers.ID, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addSum(m.responseTimes, worker, 1, int(duration.Milliseconds()))
}

// CountBackoff counts a request of a worker to send it nothing for a time, or for that much longer.
func (m *Meter) CountBackoff(worker workers.ID, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addSum(m.backoffs, worker, 1, int(duration.Milliseconds()))
}

// addSum adds a number of events and the sum of their times to those of a worker.
func addSum(sums map[workers.ID][2]int, worker workers.ID, count, millis int) {
	sum := sums[worker]
	sums[worker] = [2]int{sum[0] + count, sum[1] + millis}
}

// AddReport adds the counts of another process.
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

// TakeReport returns the counts and resets them. Response times are included at most every
// responseTimesInterval.
func (m *Meter) TakeReport() Report {
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
