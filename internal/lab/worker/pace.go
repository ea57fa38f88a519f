package worker

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// pace draws service times.
type pace struct {
	config Config

	mu      sync.Mutex
	started time.Time
}

func newPace(config Config) *pace {
	return &pace{config: config, started: time.Now()}
}

// restart makes the worker cold again.
func (p *pace) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = time.Now()
}

// next returns a service time round the mean.
func (p *pace) next(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * p.coldFactor() * spread(p.config.Distribution))
}

// coldFactor falls in a straight line from ColdFactor to 1 over ColdStart.
func (p *pace) coldFactor() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	warm := time.Since(p.started)
	if warm >= p.config.ColdStart {
		return 1
	}
	left := 1 - float64(warm)/float64(p.config.ColdStart)
	return 1 + (p.config.ColdFactor-1)*left
}

// spread draws a factor whose mean is 1.
func spread(distribution Distribution) float64 {
	switch distribution {
	case DistributionExponential:
		return rand.ExpFloat64()
	case DistributionLogNormal:
		// exp(N(-1/2, 1)) has the mean 1.
		return math.Exp(rand.NormFloat64() - 0.5)
	}
	return 1
}

// sheds draws whether a request is refused as overloaded.
func (w *worker) sheds() bool {
	return rand.Float64() < w.controls.current().Shed
}
