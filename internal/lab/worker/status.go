package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// HealthReport is the answer of PathHealth; its status is 200 unless Health is
// failing.
type HealthReport struct {
	Health Health `json:"health"`
}

// LoadReport is the answer of PathLoad.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

const (
	// samplePeriod is the time between two samples of the load.
	samplePeriod = 50 * time.Millisecond
	// maxSamples bounds the lag of the load endpoint.
	maxSamples = 600
)

// loadHistory keeps samples of the load, for an endpoint that lags.
type loadHistory struct {
	mu      sync.Mutex
	samples []LoadReport
}

// run samples until ctx ends.
func (h *loadHistory) run(ctx context.Context, s *slots) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		h.add(s.report())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *slots) report() LoadReport {
	return LoadReport{InFlight: int(s.busy.Load()), Queued: int(s.queued.Load()), Slots: cap(s.free)}
}

func (h *loadHistory) add(sample LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == maxSamples {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, sample)
}

// ago returns the sample from that long ago, or the oldest.
func (h *loadHistory) ago(lag time.Duration) LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := len(h.samples) - 1 - int(lag/samplePeriod)
	return h.samples[max(0, at)]
}

func (w *worker) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	behaviour := w.controls.current()
	report := w.slots.report()
	if behaviour.LoadLag > 0 {
		report = w.load.ago(behaviour.LoadLag.Std())
	}
	if behaviour.LoadClaim >= 0 {
		report.InFlight = behaviour.LoadClaim
		report.Queued = 0
	}
	writeJSON(writer, http.StatusOK, report)
}

// serveHealth answers what the controls claim. The truth is that a process
// which can answer is healthy.
func (w *worker) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	health := w.controls.health(time.Now())
	status := http.StatusOK
	if health == HealthFailing {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, HealthReport{Health: health})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
