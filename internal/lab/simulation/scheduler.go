// Package simulation is a small discrete-event simulator.
//
// Time is emulated: it jumps from one event to the next. Everything runs on
// one goroutine, and events of the same instant run in the order in which they
// were planned, so a run is a function of its seed.
package simulation

import "time"

// Scheduler runs events in the order of their time. Not safe for concurrent
// use.
type Scheduler struct {
	now      time.Duration
	sequence uint64
	queue    []entry
}

// Timer is one planned event.
type Timer struct {
	run func()
}

// entry orders timers by time, then by the order of planning.
type entry struct {
	at       time.Duration
	sequence uint64
	timer    *Timer
}

// NewScheduler returns a scheduler at time zero.
func NewScheduler() *Scheduler {
	return &Scheduler{}
}

// Now returns the emulated time since the start.
func (s *Scheduler) Now() time.Duration {
	return s.now
}

// After plans an event. A negative delay counts as none.
func (s *Scheduler) After(delay time.Duration, run func()) *Timer {
	timer := &Timer{run: run}
	s.sequence++
	s.push(entry{at: s.now + max(0, delay), sequence: s.sequence, timer: timer})
	return timer
}

// Every runs an event again and again, the first time after one period.
func (s *Scheduler) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// Stop cancels the event if it has not run. A nil timer has nothing to cancel.
func (t *Timer) Stop() {
	if t != nil {
		t.run = nil
	}
}

// Run runs all events up to and including the given time.
func (s *Scheduler) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := s.pop()
		s.now = next.at
		if run := next.timer.run; run != nil {
			next.timer.run = nil
			run()
		}
	}
	s.now = max(s.now, until)
}

func (e entry) before(other entry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// push and pop keep a binary heap; container/heap would box every entry.
func (s *Scheduler) push(added entry) {
	s.queue = append(s.queue, added)
	i := len(s.queue) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !s.queue[i].before(s.queue[parent]) {
			return
		}
		s.queue[i], s.queue[parent] = s.queue[parent], s.queue[i]
		i = parent
	}
}

func (s *Scheduler) pop() entry {
	first := s.queue[0]
	last := len(s.queue) - 1
	s.queue[0] = s.queue[last]
	s.queue[last] = entry{}
	s.queue = s.queue[:last]
	s.sink(0)
	return first
}

func (s *Scheduler) sink(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.queue); child++ {
			if s.queue[child].before(s.queue[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		s.queue[i], s.queue[smallest] = s.queue[smallest], s.queue[i]
		i = smallest
	}
}
