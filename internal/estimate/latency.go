package estimate

import (
	"math"
	"time"
)

// Bounds of measuring latency.
const (
	// latencyWindow is the time constant with which old answers are forgotten.
	latencyWindow = 6 * time.Second
	// mostAnswers is how many answers count at the most.
	mostAnswers = 30.0
	// latencyPrior is how many answers what is usual counts for.
	latencyPrior = 2.0
	// slowAnswers in a row, each slowFactor times the mean, stand for a worker that has
	// become slow.
	slowAnswers = 3
	slowFactor  = 2.5
)

// Latency is the mean time after which one worker answers one process.
type Latency struct {
	answers, seconds float64
	at               time.Time
	// slow and slowSum are the slow answers since the last that was not.
	slow    int
	slowSum float64
}

// Add takes an answer.
func (l *Latency) Add(now time.Time, took, usual time.Duration) {
	seconds := took.Seconds()
	l.noteSlow(seconds, usual)
	if passed := now.Sub(l.at); passed > 0 && !l.at.IsZero() {
		l.scale(math.Exp(-passed.Seconds() / latencyWindow.Seconds()))
	}
	l.at = now
	l.answers++
	l.seconds += seconds
	if l.answers > mostAnswers {
		l.scale(mostAnswers / l.answers)
	}
	if l.slow >= slowAnswers {
		l.answers, l.seconds = float64(l.slow), l.slowSum
	}
}

func (l *Latency) scale(factor float64) {
	l.answers *= factor
	l.seconds *= factor
}

// noteSlow counts slow answers in a row.
func (l *Latency) noteSlow(seconds float64, usual time.Duration) {
	if seconds < slowFactor*l.Mean(usual).Seconds() {
		l.slow, l.slowSum = 0, 0
		return
	}
	l.slow++
	l.slowSum += seconds
}

// Mean returns the mean time of an answer; what is usual stands for a worker that has
// hardly answered.
func (l *Latency) Mean(usual time.Duration) time.Duration {
	return toDuration((latencyPrior*usual.Seconds() + l.seconds) / (latencyPrior + l.answers))
}

// Expected returns the mean time of an answer as of now. Where nothing was answered lately it goes to
// what is usual: who asks a worker nothing, since it was slow, would never see that it is no longer.
func (l *Latency) Expected(now time.Time, usual time.Duration) time.Duration {
	silent := max(0, now.Sub(l.at)-silentTime)
	kept := math.Exp(-silent.Seconds() / meanMemory.Seconds())
	return toDuration((latencyPrior*usual.Seconds() + kept*l.seconds) / (latencyPrior + kept*l.answers))
}

// Measured reports whether any answer counts.
func (l *Latency) Measured() bool { return l.answers >= 0.5 }

// Bounds of measuring spread.
const (
	// usualSpread is what is taken for a service that has hardly answered.
	usualSpread = 0.6
	// spreadShare is the weight of a new answer.
	spreadShare = 0.02
	// mostDeviation bounds what one answer counts for.
	mostDeviation = 2.5
)

// Spread is how much the times of a service's answers vary: the standard deviation of
// their logarithms.
type Spread struct {
	variance float64
	known    bool
}

// Add takes an answer and the mean time of its worker.
func (s *Spread) Add(took, mean time.Duration) {
	if took <= 0 || mean <= 0 {
		return
	}
	if !s.known {
		s.variance, s.known = usualSpread*usualSpread, true
	}
	// The logarithm's mean lies half a variance below the logarithm of the mean.
	deviation := math.Log(took.Seconds()/mean.Seconds()) + s.variance/2
	deviation = max(-mostDeviation, min(mostDeviation, deviation))
	s.variance += spreadShare * (deviation*deviation - s.variance)
}

// Late returns the share of answers that come later than a time, given their mean: as of
// a logarithmic normal distribution.
func (s *Spread) LateShare(mean, limit time.Duration) float64 {
	spread := usualSpread
	if s.known {
		spread = max(math.Sqrt(s.variance), 0.1)
	}
	if mean <= 0 || limit <= 0 {
		return 1
	}
	away := (math.Log(limit.Seconds()/mean.Seconds()) + spread*spread/2) / spread
	return math.Erfc(away/math.Sqrt2) / 2
}
