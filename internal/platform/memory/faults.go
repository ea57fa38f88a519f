package memory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/shalefork/shalefork/internal/platform"
)

// ErrAnswerLost is an ErrUnavailable: the change took effect, its answer got
// lost. A client over the network sees only a closed connection.
var ErrAnswerLost = fmt.Errorf("%w: answer lost", platform.ErrUnavailable)

// faults that the store shows. The zero value is none.
type faults struct {
	down bool
	// downUntil ends an outage by itself; zero means that it stays.
	downUntil time.Time
	delay     time.Duration
	// loseNext writes lose their answers, then those that the draw hits.
	loseNext        int
	loseProbability float64
	random          *rand.Rand
	limiter         *rate.Limiter
}

// Counts says what the store did since its start.
type Counts struct {
	Calls       uint64 `json:"calls"`
	Writes      uint64 `json:"writes"`
	AnswersLost uint64 `json:"answers_lost"`
	RateLimited uint64 `json:"rate_limited"`
	// Refused calls found the store down.
	Refused uint64 `json:"refused"`
}

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// StartOutage makes every call and watch fail, for the given time or, if it is
// zero, until EndOutage.
func (s *Store) StartOutage(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = true
	s.faults.downUntil = time.Time{}
	if length > 0 {
		s.faults.downUntil = time.Now().Add(length)
	}
	s.wake()
}

// EndOutage ends an outage.
func (s *Store) EndOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = false
}

// SetDelay makes each call take at least delay: half of it before the effect,
// half after.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = delay
}

// LoseNextAnswers makes the next count writes take effect and then fail with
// ErrAnswerLost.
func (s *Store) LoseNextAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseNext = count
}

// LoseAnswers makes each write lose its answer with a probability, in a
// sequence that the seed repeats.
func (s *Store) LoseAnswers(probability float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseProbability = probability
	s.faults.random = rand.New(rand.NewPCG(seed, seed))
}

// LimitRate bounds the calls a second, all clients together. Zero removes the
// bound.
func (s *Store) LimitRate(perSecond float64, burst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.limiter = nil
	if perSecond > 0 {
		s.faults.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	}
}

// loses draws whether the answer to a write that took effect gets lost.
func (f *faults) loses() bool {
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseProbability > 0 && f.random.Float64() < f.loseProbability
}

// isDown reports whether an outage goes on at now.
func (f *faults) isDown(now time.Time) bool {
	if f.down && !f.downUntil.IsZero() && !now.Before(f.downUntil) {
		f.down = false
	}
	return f.down
}

// admit returns the delay of a call, or why it is refused.
func (s *Store) admit(ctx context.Context) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, unavailable(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Calls++
	if s.faults.isDown(time.Now()) {
		return 0, s.refuse()
	}
	if s.faults.limiter != nil && !s.faults.limiter.Allow() {
		s.counts.RateLimited++
		return 0, platform.ErrRateLimited
	}
	return s.faults.delay, nil
}

// refuse counts and returns the failure of a call during an outage; the caller
// holds the lock.
func (s *Store) refuse() error {
	s.counts.Refused++
	return fmt.Errorf("%w: outage", platform.ErrUnavailable)
}
