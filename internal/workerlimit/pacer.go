package workerlimit

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// savedTime is for how long at most a worker's unused requests are saved up. Requests come in
	// clumps, which a worker with room for that many a second can take.
	savedTime = time.Second
	// leastRate is how many requests a second a worker gets that names less, such as none at all:
	// only an answer can tell that the limit has ended.
	leastRate = 1.0 / 3
	// doubtfulShare of a limit is dealt out by a process whose authority has ended for now: another
	// may deal out all of it.
	doubtfulShare = 0.25
	// longestWait is the longest that a process is told to wait before it asks again.
	longestWait = 2 * time.Second
)

// Pacer says when requests may leave for workers that name limits. It is kept by the one process
// that leads, knows no clock and is not safe for concurrent use.
type Pacer struct {
	buckets map[workers.ID]*bucket
}

// bucket is the pace of one worker.
type bucket struct {
	life workers.Incarnation
	// due is when the next request would leave if all left at an even pace.
	due time.Time
	// refused counts those that were told to wait and have not been let through since.
	refused int
}

// NewPacer returns a pacer that has let nothing through.
func NewPacer() *Pacer { return &Pacer{buckets: map[workers.ID]*bucket{}} }

// Take asks whether a request may leave for a worker that takes so many a second, within some
// patience: it then leaves after wait. If it may not, wait is when to ask again. doubtful says that
// another process may lead.
func (p *Pacer) Take(now time.Time, life workers.Incarnation, perSecond float64, patience time.Duration, doubtful bool) (wait time.Duration, granted bool) {
	saved := savedTime
	perSecond = max(perSecond, leastRate)
	if doubtful {
		saved, perSecond = 0, doubtfulShare*perSecond
	}
	period := time.Duration(float64(time.Second) / perSecond)
	b := p.bucket(now, life)
	if latest := now.Add(savedTime + patience + period); b.due.After(latest) { // the limit was lower before
		b.due = latest
	}
	if b.due.Before(now) {
		b.due, b.refused = now, 0
	}
	wait = b.due.Sub(now) - saved
	if wait <= patience {
		b.due = b.due.Add(period)
		b.refused = max(0, b.refused-1)
		return max(0, wait), true
	}
	wait += time.Duration(min(float64(b.refused)*float64(period), float64(longestWait)))
	b.refused++
	return min(wait, longestWait), false
}

// bucket returns a worker's bucket. A new one has saved up nothing: the worker has got as much as
// there was until it named its limit, and another process may have led before.
func (p *Pacer) bucket(now time.Time, life workers.Incarnation) *bucket {
	b := p.buckets[life.ID]
	if b == nil || (b.life.StartTime != life.StartTime && b.life.StartTime != 0 && life.StartTime != 0) {
		b = &bucket{life: life, due: now.Add(savedTime)}
		p.buckets[life.ID] = b
	}
	return b
}

// Keep forgets workers that name no limit any longer.
func (p *Pacer) RemoveUnlimited(limited func(workers.Incarnation) bool) {
	for id, b := range p.buckets {
		if !limited(b.life) {
			delete(p.buckets, id)
		}
	}
}
