package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
)

const (
	// imbalanceWindow is the time over which the servers' loads are compared.
	imbalanceWindow = 5 * time.Second
	// keySecond is the length of the intervals of unavailable time.
	keySecond = time.Second
	// histogramDigits is the number of significant digits of latencies.
	histogramDigits = 3
	// longestLatency bounds the histograms.
	longestLatency = 10 * time.Minute
)

// measures gathers the measures of one run.
type measures struct {
	world *world
	from  time.Duration
	// owner is the last owner of each key, by the key's index.
	owner []bundle.ServerName
	churn Churn
	// cut counts requests that a planned stop has cut.
	cut      int
	hedges   int
	services map[string]*serviceMeasures
	// keySeconds are the intervals not yet judged, the oldest first.
	keySeconds []*keyInterval
	judged     Unavailable
	balance    imbalance
}

// serviceMeasures are those of one service.
type serviceMeasures struct {
	requests int
	answered int
	latency  *hdrhistogram.Histogram
	endings  map[ending]int
}

// keyInterval is one second of requests: which keys asked, and which of them
// got any answer. The whole of a pool counts as one key, of index -1 and below.
type keyInterval struct {
	start    time.Duration
	answered map[int]bool
}

func newMeasures(w *world) *measures {
	made := &measures{
		world:    w,
		from:     w.scenario.MeasureFrom.Std(),
		owner:    make([]bundle.ServerName, len(w.popularity.keys)),
		services: map[string]*serviceMeasures{},
	}
	for _, described := range w.deployment.workloads {
		made.services[described.name] = &serviceMeasures{
			latency: hdrhistogram.New(1, longestLatency.Microseconds(), histogramDigits),
			endings: map[ending]int{},
		}
	}
	made.balance = imbalance{measures: made, accepted: map[bundle.ServerName]int{}}
	w.Every(imbalanceWindow, made.balance.judge)
	return made
}

func (m *measures) counting() bool {
	return m.world.Now() >= m.from
}

// asked notes a request.
func (m *measures) asked(c *call) {
	if c.started < m.from {
		return
	}
	m.services[c.service].requests++
	answered := m.intervalOf(c.started).answered
	index := m.keyIndex(c)
	if !answered[index] {
		answered[index] = false // asked for, and not answered yet
	}
}

// ended notes how a request ended.
func (m *measures) ended(c *call, how ending) {
	if c.started < m.from {
		return
	}
	of := m.services[c.service]
	if how.outcome != "" {
		of.endings[how]++
		return
	}
	of.answered++
	latency := m.world.Now() - c.started + 2*m.world.deployment.client
	_ = of.latency.RecordValue(min(latency, longestLatency).Microseconds())
	for _, interval := range m.keySeconds {
		if c.started >= interval.start && c.started < interval.start+keySecond {
			interval.answered[m.keyIndex(c)] = true
		}
	}
}

// keyIndex gives each pool an index of its own below zero.
func (m *measures) keyIndex(c *call) int {
	if c.keyed {
		return c.key.index
	}
	for i, described := range m.world.deployment.workloads {
		if described.name == c.service {
			return -i
		}
	}
	panic("a call of an unknown service")
}

// intervalOf returns the interval of a request that starts now, and judges
// those that no answer can change any more.
func (m *measures) intervalOf(started time.Duration) *keyInterval {
	start := started.Truncate(keySecond)
	if last := len(m.keySeconds) - 1; last >= 0 && m.keySeconds[last].start == start {
		return m.keySeconds[last]
	}
	for len(m.keySeconds) > 0 && m.keySeconds[0].start+m.patience() < start {
		m.judged.add(m.keySeconds[0])
		m.keySeconds = m.keySeconds[1:]
	}
	made := &keyInterval{start: start, answered: map[int]bool{}}
	m.keySeconds = append(m.keySeconds, made)
	return made
}

// patience is how long an answer may take to count.
func (m *measures) patience() time.Duration {
	return 5 * keySecond
}

func (u *Unavailable) add(interval *keyInterval) {
	for index, answered := range interval.answered {
		if index < 0 {
			continue // a pool's requests may last longer than any interval
		}
		u.AskedKeySeconds++
		if !answered {
			u.KeySeconds++
		}
	}
}

// hedged counts a second try beside the first.
func (m *measures) hedged() {
	if m.counting() {
		m.hedges++
	}
}

// accepted counts a request that a server has taken.
func (m *measures) accepted(s *server) {
	m.balance.accepted[s.name]++
}

// assigned adds the traffic of the keys that get another owner.
func (m *measures) assigned(command cellstate.Assign) {
	if command.Slice.Partition != partitionName {
		return
	}
	for _, each := range m.world.popularity.keys {
		if command.Slice.Range.Contains(each.hash) {
			m.move(each.index, command.Owner)
		}
	}
}

// remapped adds the traffic of the keys that hashing gives another server.
func (m *measures) remapped(r *ring) {
	for _, each := range m.world.popularity.keys {
		m.move(each.index, r.owner(each.hash))
	}
}

func (m *measures) move(index int, to bundle.ServerName) {
	from := m.owner[index]
	m.owner[index] = to
	if from == "" || from == to || !m.counting() {
		return
	}
	share := m.world.popularity.share(index)
	left := m.world.byName[from]
	if left.alive && !left.draining {
		m.churn.Planned += share
	} else {
		m.churn.Forced += share
	}
}

// imbalance compares the servers of the keyed service.
type imbalance struct {
	measures *measures
	accepted map[bundle.ServerName]int
	sum      float64
	windows  int
}

// judge ends one window: the highest count over the mean of the live servers.
func (i *imbalance) judge() {
	total, highest, live := 0, 0, 0
	for _, each := range i.measures.world.servers {
		if each.workload.kind != bundle.KindKeyed {
			continue
		}
		count := i.accepted[each.name]
		total += count
		highest = max(highest, count)
		if each.alive {
			live++
		}
	}
	clear(i.accepted)
	if total == 0 || live == 0 || !i.measures.counting() {
		return
	}
	i.sum += float64(highest) * float64(live) / float64(total)
	i.windows++
}
