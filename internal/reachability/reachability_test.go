package reachability

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// world is a number of workers, of which a tracker's process reaches some.
type world struct {
	tracker        Tracker
	now            time.Time
	known, reached int
	dials          int
	// turn counts the dials, from which the dialed workers follow.
	turn int
	// steps counts the steps played, from which workers are chosen in turn.
	steps int
}

func newWorld() *world { return &world{now: time.Unix(1000, 0), known: 12, reached: 12} }

// run plays a time in steps of 10 ms. In each step a request is answered if answers is set, and one fails
// if failures is. The workers that answer are as many as are reached, or all if none is: open connections
// may work while new ones fail. The other workers fail.
func (w *world) run(duration time.Duration, answers, failures bool) {
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		answering := w.reached
		if answering == 0 {
			answering = w.known
		}
		if answers && answering > 0 {
			w.tracker.BeginSend(w.now)
			w.tracker.EndSend(w.now, workerNumber(w.steps%answering), true, false)
		}
		if failures && w.known > 0 {
			w.tracker.BeginSend(w.now)
			w.tracker.EndSend(w.now, workerNumber(w.reached+w.steps%max(1, w.known-w.reached)), false, true)
		}
		w.steps++
		w.survey()
	}
}

func workerNumber(number int) workers.ID { return workers.ID(fmt.Sprint(number)) }

// survey plays the surveys that are due. They dial the workers in turn, those that are reached among others.
func (w *world) survey() {
	for {
		size := w.tracker.NextSurvey(w.now)
		if size == 0 {
			return
		}
		dialed := min(size, w.known)
		reached := 0
		for range dialed {
			if w.turn*5%w.known < w.reached {
				reached++
			}
			w.turn++
		}
		w.dials += dialed
		w.tracker.RecordSurvey(w.now, dialed, reached)
	}
}

// A crashed worker is not mistaken for a partition, and a partition is noticed within a second.
func TestOnlyFailuresOfMostWorkersShowAPartition(t *testing.T) {
	for name, c := range map[string]struct {
		known, reached    int
		answers, failures bool
		cutOff            bool
	}{
		"nothing fails":                  {known: 12, reached: 12, answers: true},
		"one worker fails":               {known: 12, reached: 11, answers: true, failures: true},
		"half of the workers fail":       {known: 12, reached: 6, answers: true, failures: true},
		"all fail":                       {known: 12, failures: true, cutOff: true},
		"most fail, nothing is answered": {known: 12, reached: 1, failures: true, cutOff: true},
		"most fail, the others answer":   {known: 12, reached: 1, answers: true, failures: true, cutOff: true},
		"two known, both fail":           {known: 2, failures: true, cutOff: true},
		"only one known":                 {known: 1, failures: true},
		"none known":                     {failures: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.run(time.Second, true, false)
			w.known, w.reached = c.known, c.reached
			w.run(time.Second, c.answers, c.failures)
			assert.Equal(t, w.tracker.CutOff(w.now), c.cutOff)
		})
	}
}

// A process whose open connections live on while new ones are refused is not cut off.
func TestOpenConnectionsThatWorkAreUsed(t *testing.T) {
	w := newWorld()
	w.run(time.Second, true, false)
	w.reached = 0
	w.run(10*time.Millisecond, true, true)
	w.run(2*time.Second, true, false)
	assert.Assert(t, w.tracker.Unreachable())
	assert.Assert(t, !w.tracker.CutOff(w.now))
	w.run(500*time.Millisecond, false, false)
	assert.Assert(t, w.tracker.CutOff(w.now), "no answers any more")
}

// Requests that hang on open connections end too late to show a partition.
func TestSilenceShowsAPartition(t *testing.T) {
	w := newWorld()
	w.run(time.Second, true, false)
	w.reached = 0
	w.tracker.BeginSend(w.now)
	w.run(400*time.Millisecond, false, false)
	assert.Assert(t, w.tracker.CutOff(w.now))
}

// A slow worker must not cost connections to others all the time.
func TestOneSilenceIsSurveyedOnce(t *testing.T) {
	w := newWorld()
	w.tracker.BeginSend(w.now)
	w.run(10*time.Second, false, false)
	assert.Equal(t, w.dials, quickSurvey)
	assert.Assert(t, !w.tracker.CutOff(w.now))
}

// After a partition no request is needed to notice its end, and no worker is dialed by all at once.
func TestEndOfPartitionIsNoticed(t *testing.T) {
	w := newWorld()
	w.run(time.Second, true, false)
	w.reached = 0
	w.run(5*time.Second, false, true)
	w.dials = 0
	w.run(time.Second, false, false)
	assert.Equal(t, w.dials, int(time.Second/probeInterval))
	w.reached = 5
	w.dials = 0
	w.run(2*time.Second, false, false)
	assert.Assert(t, w.dials > 2*fullSurvey, "full surveys were made")
	assert.Assert(t, w.tracker.CutOff(w.now), "fewer than half of the workers are reached")
	w.reached = 12
	w.run(probeInterval, false, false)
	assert.Assert(t, !w.tracker.CutOff(w.now))
	assert.Assert(t, !w.tracker.Reaches(w.now), "no worker has answered yet")
	assert.Assert(t, w.tracker.UnreachableWithin(w.now, time.Second))
}

// Timeouts during a partition must not count against the workers.
func TestAnswersOfOthersShowThatAWorkerIsSilent(t *testing.T) {
	w := newWorld()
	sent := w.now
	w.tracker.BeginSend(sent)
	w.run(time.Second, false, false)
	assert.Assert(t, !w.tracker.HeardSince(sent))
	w.run(time.Second, true, false)
	assert.Assert(t, w.tracker.HeardSince(sent))
}

// A refused connection must show a crash only if most other workers are reached.
func TestRequestedSurveyIsFull(t *testing.T) {
	w := newWorld()
	w.run(time.Second, true, false)
	w.reached = 1
	w.tracker.RequestSurvey()
	began := w.now
	w.now = w.now.Add(10 * time.Millisecond)
	w.survey()
	assert.Equal(t, w.dials, fullSurvey)
	assert.Assert(t, w.tracker.CheckedSince(began))
	assert.Assert(t, w.tracker.Unreachable())
}
