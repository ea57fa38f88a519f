package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// meterWindow is the time over which a server measures rates.
	meterWindow = 5 * time.Second
	// maximumSlices bounds a load report.
	maximumSlices = 16
	// reportEvery is the time between reports with rates to one leader, as in
	// the ownership library.
	reportEvery = 2 * time.Second
)

// meter counts a server's requests by slice and hash, in two windows: the
// present one and the one before it.
type meter struct {
	since         time.Duration
	present, last window
}

type window map[keyspace.Slice]*sliceCount

type sliceCount struct {
	total  int
	hashes map[keyspace.Hash]int
}

func newMeter() *meter {
	return &meter{present: window{}, last: window{}}
}

func (m *meter) roll(now time.Duration) {
	if now-m.since < meterWindow {
		return
	}
	m.last = m.present
	if now-m.since >= 2*meterWindow {
		m.last = window{}
	}
	m.present = window{}
	m.since = now
}

func (m *meter) count(now time.Duration, a *attempt) {
	m.roll(now)
	slice := a.entry.Slice
	counted := m.present[slice]
	if counted == nil {
		counted = &sliceCount{hashes: map[keyspace.Hash]int{}}
		m.present[slice] = counted
	}
	counted.total++
	if a.call.keyed {
		counted.hashes[a.call.key.hash]++
	}
}

// report returns the rates over both windows, the busiest slices first.
func (m *meter) report(now time.Duration, hotKeys bool) []wire.SliceLoad {
	m.roll(now)
	span := (now - m.since + meterWindow).Seconds()
	var loads []wire.SliceLoad
	for slice := range union(m.present, m.last) {
		loads = append(loads, m.load(slice, span, hotKeys))
	}
	slices.SortFunc(loads, func(a, b wire.SliceLoad) int {
		return cmp.Or(
			cmp.Compare(b.Rate, a.Rate),
			cmp.Compare(a.Slice.Partition, b.Slice.Partition),
			cmp.Compare(a.Slice.Range.First, b.Slice.Range.First),
			cmp.Compare(a.Slice.Range.Last, b.Slice.Range.Last),
		)
	})
	return loads[:min(len(loads), maximumSlices)]
}

func union(a, b window) map[keyspace.Slice]bool {
	all := map[keyspace.Slice]bool{}
	for slice := range a {
		all[slice] = true
	}
	for slice := range b {
		all[slice] = true
	}
	return all
}

func (m *meter) load(slice keyspace.Slice, span float64, hotKeys bool) wire.SliceLoad {
	total := m.present.total(slice) + m.last.total(slice)
	load := wire.SliceLoad{Slice: slice, Rate: float64(total) / span}
	if !hotKeys {
		return load
	}
	highest := 0
	for _, counted := range []*sliceCount{m.present[slice], m.last[slice]} {
		if counted == nil {
			continue
		}
		for hash := range counted.hashes {
			count := m.present.hash(slice, hash) + m.last.hash(slice, hash)
			if count > highest || count == highest && hash < load.HotHash {
				highest, load.HotHash = count, hash
			}
		}
	}
	load.HotShare = float64(highest) / float64(max(1, total))
	return load
}

func (w window) total(slice keyspace.Slice) int {
	if counted := w[slice]; counted != nil {
		return counted.total
	}
	return 0
}

func (w window) hash(slice keyspace.Slice, hash keyspace.Hash) int {
	if counted := w[slice]; counted != nil {
		return counted.hashes[hash]
	}
	return 0
}

// renew answers a leader's renewal through the library's lease.
func (s *server) renew(request wire.RenewRequest) wire.RenewResponse {
	response := s.holder.Renew(s.world.instant(), request)
	if request.Term == s.reportedTerm && s.world.Now() < s.reportedAt+reportEvery {
		response.Load = wire.LoadReport{Partial: true, InFlight: s.busy, Queued: len(s.waiting)}
		return response
	}
	s.reportedTerm = request.Term
	s.reportedAt = s.world.Now()
	response.Load = s.loadReport()
	return response
}

// loadReport returns the report that is as old as the scenario says.
func (s *server) loadReport() wire.LoadReport {
	now := s.world.Now()
	s.reports = append(s.reports, agedReport{at: now, load: s.measured()})
	for len(s.reports) > 1 && s.reports[1].at <= now-s.lag {
		s.reports = s.reports[1:]
	}
	return s.reports[0].load
}

func (s *server) measured() wire.LoadReport {
	if s.lies {
		return wire.LoadReport{}
	}
	return wire.LoadReport{
		InFlight: s.busy,
		Queued:   len(s.waiting),
		Slices:   s.meter.report(s.world.Now(), s.world.variant.mechanisms.hotKeySlices),
	}
}
