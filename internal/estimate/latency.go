package estimate

import (
	"math"
	"time"
)

// Parameters of Latency.
const (
	// latencyWindow is the time constant with which the weight of old answers decays.
	latencyWindow = 6 * time.Second
	// maxAnswers limits the total weight of the answers.
	maxAnswers = 30.0
	// latencyPrior is the weight of the prior, in answers.
	latencyPrior = 2.0
	// minSlowAnswers consecutive answers, each taking at least slowFactor times the mean, show that
	// a worker has become slow.
	minSlowAnswers = 3
	slowFactor     = 2.5
)

// Latency estimates the mean response time of one worker as seen by one process.
type Latency struct {
	answers, seconds float64
	at               time.Time
	// slow counts the latest consecutive slow answers, and slowSum is the sum of their times in
	// seconds.
	slow    int
	slowSum float64
}

// Add records an answer that took a time. prior is the response time assumed before any answers.
func (l *Latency) Add(now time.Time, took, prior time.Duration) {
	seconds := took.Seconds()
	l.countSlow(seconds, prior)
	if passed := now.Sub(l.at); passed > 0 && !l.at.IsZero() {
		l.scale(math.Exp(-passed.Seconds() / latencyWindow.Seconds()))
	}
	l.at = now
	l.answers++
	l.seconds += seconds
	if l.answers > maxAnswers {
		l.scale(maxAnswers / l.answers)
	}
	if l.slow >= minSlowAnswers {
		l.answers, l.seconds = float64(l.slow), l.slowSum
	}
}

func (l *Latency) scale(factor float64) {
	l.answers *= factor
	l.seconds *= factor
}

// countSlow counts consecutive slow answers.
func (l *Latency) countSlow(seconds float64, prior time.Duration) {
	if seconds < slowFactor*l.Mean(prior).Seconds() {
		l.slow, l.slowSum = 0, 0
		return
	}
	l.slow++
	l.slowSum += seconds
}

// Mean returns the mean response time; it is close to prior while there are few answers.
func (l *Latency) Mean(prior time.Duration) time.Duration {
	return toDuration((latencyPrior*prior.Seconds() + l.seconds) / (latencyPrior + l.answers))
}

// Expected returns the mean response time expected now. Without recent answers it returns to prior:
// a process that sends a worker nothing because it was slow would otherwise never find out that it
// has recovered.
func (l *Latency) Expected(now time.Time, prior time.Duration) time.Duration {
	idle := max(0, now.Sub(l.at)-decayDelay)
	decay := math.Exp(-idle.Seconds() / meanDecay.Seconds())
	return toDuration((latencyPrior*prior.Seconds() + decay*l.seconds) / (latencyPrior + decay*l.answers))
}

// Measured reports whether the answers still have weight: that of at least half an answer.
func (l *Latency) Measured() bool { return l.answers >= 0.5 }

// Parameters of Spread.
const (
	// defaultSpread is assumed until there are answers, and is the initial value of the estimate.
	defaultSpread = 0.6
	// spreadWeight is the weight of a new answer.
	spreadWeight = 0.02
	// maxDeviation limits the deviation of the logarithm that a single answer counts for.
	maxDeviation = 2.5
)

// Spread estimates how much the response times of a service vary: the standard deviation of their
// logarithms.
type Spread struct {
	variance float64
	known    bool
}

// Add records the response time of an answer and the mean response time of its worker.
func (s *Spread) Add(took, mean time.Duration) {
	if took <= 0 || mean <= 0 {
		return
	}
	if !s.known {
		s.variance, s.known = defaultSpread*defaultSpread, true
	}
	// The mean of the logarithm is half a variance below the logarithm of the mean.
	deviation := math.Log(took.Seconds()/mean.Seconds()) + s.variance/2
	deviation = max(-maxDeviation, min(maxDeviation, deviation))
	s.variance += spreadWeight * (deviation*deviation - s.variance)
}

// LateShare returns the expected share of answers that take longer than limit, given their mean. It
// assumes a log-normal distribution.
func (s *Spread) LateShare(mean, limit time.Duration) float64 {
	spread := defaultSpread
	if s.known {
		spread = max(math.Sqrt(s.variance), 0.1)
	}
	if mean <= 0 || limit <= 0 {
		return 1
	}
	deviations := (math.Log(limit.Seconds()/mean.Seconds()) + spread*spread/2) / spread
	return math.Erfc(deviations/math.Sqrt2) / 2
}
