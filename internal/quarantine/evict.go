package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxRecords bounds the number of records. Those with the least evidence are evicted; requests
	// that are or were quarantined never are.
	maxRecords = 512
	// evictionBatch is how many extra records are evicted at once, so that a burst of crashes does
	// not sort the records at each crash.
	evictionBatch = maxRecords / 16
)

// evict removes the records with the least evidence if there are too many.
func (t *Tracker) evict() {
	if len(t.records) <= maxRecords {
		return
	}
	candidates := make([]evictionRank, 0, len(t.records))
	for _, record := range t.records {
		if record.QuarantinedAt.IsZero() {
			candidates = append(candidates, t.rank(record))
		}
	}
	slices.SortFunc(candidates, compareRanks)
	for _, candidate := range candidates[:min(len(candidates), len(t.records)-maxRecords+evictionBatch)] {
		delete(t.records, candidate.request)
		if candidate.crashes > 0 {
			t.evicted++
		}
	}
}

// evictionRank describes how strong the evidence is against a request that is not quarantined.
type evictionRank struct {
	request Fingerprint
	// crashes counts the workers that crashed with the request, and concurrent how many of all
	// workers crashed around the time of its last crash: the more, the weaker the evidence against
	// one request.
	crashes, concurrent int
	lastCrashAt         time.Time
}

// rank returns the eviction rank of a record.
func (t *Tracker) rank(record *Record) evictionRank {
	if len(record.Crashes) == 0 {
		return evictionRank{request: record.Attempt.Request, lastCrashAt: record.clearedOrLiftedAt()}
	}
	return evictionRank{
		request: record.Attempt.Request, crashes: len(record.crashTimes()), concurrent: t.crashCounts.near(record.lastCrashAt()), lastCrashAt: record.lastCrashAt(),
	}
}

// crashCounts counts crashed workers by time, in buckets that are a fraction of clusterWindow.
type crashCounts map[int64]int

// bucketsPerWindow is the number of buckets per clusterWindow.
const bucketsPerWindow = 4

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(clusterWindow/bucketsPerWindow) }

func (c crashCounts) add(at time.Time) { c[bucketOf(at)]++ }

// near returns how many workers crashed less than clusterWindow before or after a time, to the
// resolution of the buckets.
func (c crashCounts) near(at time.Time) int {
	count := 0
	for bucket := bucketOf(at) - bucketsPerWindow + 1; bucket < bucketOf(at)+bucketsPerWindow; bucket++ {
		count += c[bucket]
	}
	return count
}

// forget removes the counts from before a time.
func (c crashCounts) forget(before time.Time) {
	maps.DeleteFunc(c, func(bucket int64, _ int) bool { return bucket < bucketOf(before) })
}

// compareRanks orders requests by the strength of the evidence, the weakest first.
func compareRanks(a, b evictionRank) int {
	return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(b.concurrent, a.concurrent), a.lastCrashAt.Compare(b.lastCrashAt))
}
