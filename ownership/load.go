package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// loadWindow is the time over which rates are averaged: older requests
	// count for 1/e after it.
	loadWindow = 5 * time.Second
	// hotCounters bounds the hashes that are counted for a slice.
	hotCounters = 8
	// maxReportedSlices bounds a report.
	maxReportedSlices = 16
	// reportEvery is the time between whole reports to one leader. Rates are
	// averaged over longer, and a whole report is up to 3 KB.
	reportEvery = 2 * time.Second
	// forgetRate is the rate, in requests per second, of a slice that is
	// dropped from the table.
	forgetRate = 0.01
)

// loadTable estimates the rate of each slice, and of its hottest hash. Its size
// is bounded by the slices that a server holds.
type loadTable struct {
	slices map[keyspace.Slice]*sliceLoad
	// reportedTo got the last whole report, at reportedAt.
	reportedTo reader
	reportedAt time.Duration
}

// reader is a leader that reads reports.
type reader struct {
	generation wire.Generation
	term       uint64
}

func newLoadTable() *loadTable {
	return &loadTable{slices: map[keyspace.Slice]*sliceLoad{}}
}

func (t *loadTable) record(now time.Duration, slice keyspace.Slice, key string) {
	load, found := t.slices[slice]
	if !found {
		load = &sliceLoad{at: now}
		t.slices[slice] = load
	}
	load.decay(now)
	load.total++
	if key != "" {
		load.count(keyspace.HashKey(key))
	}
}

// reportTo returns a whole report if the leader is new or its last one is old,
// and otherwise one without rates.
func (t *loadTable) reportTo(now time.Duration, leader reader) wire.LoadReport {
	if leader == t.reportedTo && now < t.reportedAt+reportEvery {
		return wire.LoadReport{Partial: true}
	}
	t.reportedTo = leader
	t.reportedAt = now
	return t.report(now)
}

// report returns the busiest slices, and forgets those that are idle.
func (t *loadTable) report(now time.Duration) wire.LoadReport {
	var loads []wire.SliceLoad
	for slice, load := range t.slices {
		load.decay(now)
		rate := load.total / loadWindow.Seconds()
		if rate < forgetRate {
			delete(t.slices, slice)
			continue
		}
		hash, share := load.hottest()
		loads = append(loads, wire.SliceLoad{Slice: slice, Rate: round(rate), HotHash: hash, HotShare: round(share)})
	}
	slices.SortFunc(loads, func(a, b wire.SliceLoad) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Slice.String(), b.Slice.String()))
	})
	return wire.LoadReport{Slices: loads[:min(len(loads), maxReportedSlices)]}
}

// round keeps a report short.
func round(value float64) float64 {
	return math.Round(value*100) / 100
}

// sliceLoad counts requests with exponential decay. The hashes are counted by
// the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005): a hash
// that has no counter takes over the smallest one, whose count becomes its
// error.
type sliceLoad struct {
	at       time.Duration
	total    float64
	counters []hashCounter
}

type hashCounter struct {
	hash  keyspace.Hash
	count float64
	// overcount is the most by which count can be too high.
	overcount float64
}

func (l *sliceLoad) decay(now time.Duration) {
	factor := math.Exp(-float64(now-l.at) / float64(loadWindow))
	l.at = now
	l.total *= factor
	for i := range l.counters {
		l.counters[i].count *= factor
		l.counters[i].overcount *= factor
	}
}

func (l *sliceLoad) count(hash keyspace.Hash) {
	smallest := 0
	for i := range l.counters {
		if l.counters[i].hash == hash {
			l.counters[i].count++
			return
		}
		if l.counters[i].count < l.counters[smallest].count {
			smallest = i
		}
	}
	if len(l.counters) < hotCounters {
		l.counters = append(l.counters, hashCounter{hash: hash, count: 1})
		return
	}
	overcount := l.counters[smallest].count
	l.counters[smallest] = hashCounter{hash: hash, count: overcount + 1, overcount: overcount}
}

// hottest returns the hash with the largest share that is certain.
func (l *sliceLoad) hottest() (keyspace.Hash, float64) {
	var hottest hashCounter
	for _, counter := range l.counters {
		if counter.count-counter.overcount > hottest.count-hottest.overcount {
			hottest = counter
		}
	}
	if l.total == 0 {
		return 0, 0
	}
	return hottest.hash, (hottest.count - hottest.overcount) / l.total
}

// otherInFlight is the number of admitted requests beside the one that asks,
// those that wait for a slot included.
func (o *Owner) otherInFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(0, o.holder.InFlight()-1)
}
