package demo

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// growthPoll is how often the counters of processes are read.
const growthPoll = 2 * time.Second

// Names of the counters, as the Prometheus library writes them.
const (
	metricGoroutines = "go_goroutines"
	metricResident   = "process_resident_memory_bytes"
)

// usage is what one process uses at one time.
type usage struct {
	At         time.Time
	Goroutines int
	// Resident memory in bytes.
	Resident int64
}

// Growth is the first and the last usage of one process.
type Growth struct {
	Name        string
	First, Last usage
}

// String gives goroutines and resident memory, first and last.
func (g Growth) String() string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%d -> %d goroutines, %d -> %d MiB resident in %s",
		g.First.Goroutines, g.Last.Goroutines, g.First.Resident/mebibyte, g.Last.Resident/mebibyte,
		g.Last.At.Sub(g.First.At).Round(time.Second))
}

// growthMeter reads the usage of the processes in slots.
type growthMeter struct {
	slots  []*slot
	client *http.Client
	// seen by process id, order as first seen.
	seen  map[int]*Growth
	order []int
}

func newGrowthMeter(slots []*slot) *growthMeter {
	return &growthMeter{slots: slots, client: &http.Client{Timeout: time.Second}, seen: map[int]*Growth{}}
}

// run reads until ctx ends.
func (m *growthMeter) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, each := range m.slots {
			m.read(ctx, each)
		}
		pause(ctx, growthPoll)
	}
}

func (m *growthMeter) read(ctx context.Context, from *slot) {
	pid := from.current().PID()
	now, err := m.fetch(ctx, from.metrics)
	if err != nil || from.current().PID() != pid {
		return // paused, or replaced meanwhile
	}
	growth, known := m.seen[pid]
	if !known {
		growth = &Growth{Name: from.name, First: now}
		m.seen[pid] = growth
		m.order = append(m.order, pid)
	}
	growth.Last = now
}

func (m *growthMeter) fetch(ctx context.Context, address string) (usage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return usage{}, Error.Wrap(err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return usage{}, Error.Wrap(err)
	}
	defer response.Body.Close()
	found := usage{At: time.Now()}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil:
		case name == metricGoroutines:
			found.Goroutines = int(value)
		case name == metricResident:
			found.Resident = int64(value)
		}
	}
	return found, Error.Wrap(lines.Err())
}

// growth returns what was seen of processes that lived for a while.
func (m *growthMeter) growth() []Growth {
	const leastLife = 15 * time.Second
	var found []Growth
	for _, pid := range m.order {
		growth := *m.seen[pid]
		if growth.Last.At.Sub(growth.First.At) >= leastLife {
			found = append(found, growth)
		}
	}
	return found
}
