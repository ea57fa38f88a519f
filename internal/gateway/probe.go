package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/peerauth"
)

const (
	// probeTick is how often waiting requests and ejected back ends are looked
	// at again.
	probeTick = 10 * time.Millisecond
	// probeTimeout bounds one probe, which costs a back end some 6 ms.
	probeTimeout = 500 * time.Millisecond
	// maxProbes bounds the probes under way at once.
	maxProbes = 4
	// pathHealth is what a probe asks for.
	pathHealth = "/healthz"
)

// probe lets waiting requests look again as time passes, and probes ejected
// back ends, until ctx ends. It sleeps while there is neither.
func (g *Gateway) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	budget := semaphore.NewWeighted(maxProbes)
	var running sync.WaitGroup
	defer running.Wait()
	for g.services.awaitWork(ctx) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		for _, known := range g.services.all() {
			known.tick()
			g.probeService(ctx, known, budget, &running)
		}
	}
	return nil
}

// probeService starts the probes that are due and within the budget.
func (g *Gateway) probeService(ctx context.Context, known *service, budget *semaphore.Weighted, running *sync.WaitGroup) {
	for budget.TryAcquire(1) {
		name, ok := known.nextProbe()
		if !ok {
			budget.Release(1)
			return
		}
		running.Go(func() {
			defer budget.Release(1)
			known.probed(name, g.probeOne(ctx, name))
		})
	}
}

// probeOne asks a back end anything. Whatever it answers shows that it takes
// requests, which is all that a probe can prove: what a health endpoint says
// may lag or be wrong.
func (g *Gateway) probeOne(ctx context.Context, name bundle.ServerName) bool {
	through := g.backends.get(name)
	if through == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+through.address+pathHealth, nil)
	if err != nil {
		return false
	}
	request.Header.Set(peerauth.Header, g.settings.Token)
	response, err := through.transport.RoundTrip(request)
	healthy := err == nil
	if healthy {
		_ = response.Body.Close()
	}
	g.metrics.Probes.WithLabelValues(probeResult(healthy)).Inc()
	return healthy
}

func probeResult(healthy bool) string {
	if healthy {
		return "healthy"
	}
	return "failed"
}

// nextProbe returns a back end to probe now.
func (s *service) nextProbe() (bundle.ServerName, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.NextProbe(s.now())
}

// probed takes a probe's result.
func (s *service) probed(name bundle.ServerName, healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Probed(s.now(), name, healthy)
	s.dispatch()
}
