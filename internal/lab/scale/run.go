package scale

import (
	"context"
	"runtime"
	"sync"
	"time"
)

// Windows of emulated time.
const (
	// settleTime is given to the first assignments before anything is measured.
	settleTime = 4 * time.Second
	// window is measured. The periods of all regular work divide it.
	window = 6 * time.Second
)

// workers run cells side by side, each on a thread of its own.
const workers = 4

// newRunningCell returns a cell whose slices are all owned.
func newRunningCell(shape Shape, overhead Overhead, number int, seed uint64) (*cell, error) {
	c := newCell(shape, overhead, number, seed)
	if err := c.start(false); err != nil {
		return nil, err
	}
	c.Run(c.Now() + settleTime)
	if open := c.unowned(); open > 0 {
		return nil, Error.New("%s: %d slices have no owner after %s", c.name, open, settleTime)
	}
	return c, nil
}

func (c *cell) unowned() int {
	open := 0
	assignments := c.state().Assignments
	for _, each := range assignments {
		if !each.Owned() {
			open++
		}
	}
	if len(assignments) == 0 {
		return 1
	}
	return open
}

// onThreads calls work for each number on some threads, and returns the first
// error.
func onThreads(ctx context.Context, count int, work func(number int) error) error {
	numbers := make(chan int)
	errors := make(chan error, count)
	var running sync.WaitGroup
	for range min(workers, count) {
		running.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for number := range numbers {
				errors <- work(number)
			}
		})
	}
	for number := range count {
		if ctx.Err() == nil {
			numbers <- number
		}
	}
	close(numbers)
	running.Wait()
	close(errors)
	for err := range errors {
		if err != nil {
			return err
		}
	}
	return Error.Wrap(ctx.Err())
}

// FleetResult is one size of a fleet of equal cells.
type FleetResult struct {
	Nodes int    `json:"nodes"`
	Cells int    `json:"cells"`
	Shape Shape  `json:"shape"`
	Costs []Cost `json:"costs"`
	// LoadReportBytes is the mean size of a keyed server's load report.
	LoadReportBytes float64 `json:"load_report_bytes"`
	// LedgerOwners is the mean number of gateways of a cell that own slices of
	// the ledger.
	LedgerOwners float64 `json:"ledger_owners"`
	// Took is the time that the run took, and Emulated the time it covered.
	Took     time.Duration `json:"took_ns"`
	Emulated time.Duration `json:"emulated_ns"`
	// Collection is the processor time of the process over that charged to
	// simulated processes: garbage collection and the emulation itself.
	Collection float64 `json:"process_over_charged"`
	HeapBytes  uint64  `json:"heap_bytes"`
}

// runFleet runs cells of one shape side by side.
func runFleet(ctx context.Context, shape Shape, cells int, overhead Overhead, seed uint64) (FleetResult, error) {
	started, usedBefore := time.Now(), processTime()
	running := make([]*cell, cells)
	var mutex sync.Mutex
	total := newTally()
	var charged time.Duration
	err := onThreads(ctx, cells, func(number int) error {
		c, err := newRunningCell(shape, overhead, number, seed)
		if err != nil {
			return err
		}
		before := c.charged()
		c.resetAccounts()
		c.Run(c.Now() + window)
		mutex.Lock()
		defer mutex.Unlock()
		running[number] = c
		total.add(c)
		charged += before + c.charged()
		return nil
	})
	if err != nil {
		return FleetResult{}, err
	}
	result := FleetResult{
		Nodes: cells * shape.Machines, Cells: cells, Shape: shape,
		Costs:      total.costs(window, overhead),
		Took:       time.Since(started),
		Emulated:   electionWait + settleTime + window,
		HeapBytes:  heapBytes(),
		Collection: (processTime() - usedBefore).Seconds() / charged.Seconds(),
	}
	result.LoadReportBytes = meanLoadReport(running)
	for _, each := range running {
		result.LedgerOwners += float64(each.ledgerOwners()) / float64(cells)
	}
	return result, nil
}

// ledgerOwners counts the gateways that own slices of the ledger.
func (c *cell) ledgerOwners() int {
	count := 0
	for _, each := range c.gateways {
		if len(c.state().OwnedBy(each.server)) > 0 {
			count++
		}
	}
	return count
}

func meanLoadReport(cells []*cell) float64 {
	sum, count := 0, 0
	for _, each := range cells {
		sum += each.loadBytes
		count += each.loadReports
	}
	return float64(sum) / float64(max(1, count))
}

// charged is the processor time of all processes since the last window began.
func (c *cell) charged() time.Duration {
	var sum time.Duration
	for _, each := range c.allNodes() {
		sum += each.total().CPU
	}
	return sum
}

// heapBytes is the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
