package scale

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lab/demo"
)

// Times of the real cell.
const (
	realSettle = 3 * time.Second
	realWindow = 6 * time.Second
	loadSettle = 2 * time.Second
	loadWindow = 5 * time.Second
	realRate   = 600
)

// RealCost is what one process of a part of the real cell spent.
type RealCost struct {
	Part      demo.Part `json:"part"`
	Processes int       `json:"processes"`
	// Sent and Received are bytes a second of all sockets and files.
	Sent     float64 `json:"sent_bytes_per_second"`
	Received float64 `json:"received_bytes_per_second"`
	Core     float64 `json:"core"`
	Resident float64 `json:"resident_bytes"`
	// Requests a second: renewals and messages sent by a controller, or answers
	// to callers of a gateway.
	Requests float64 `json:"requests_per_second"`
}

// RealCell is a cell of processes, without callers and with them, and a simulated
// cell of the same shape.
type RealCell struct {
	Idle      []RealCost `json:"idle"`
	Loaded    []RealCost `json:"loaded"`
	Simulated []Cost     `json:"simulated"`
	Load      string     `json:"load_average"`
}

// realShape is the shape of the demonstration's cell.
func realShape() Shape {
	shape := defaultShape().withMachines(4)
	shape.Gateways, shape.LedgerGateways = 3, 3
	shape.Pool, shape.Fleet, shape.FleetChanges = 19, 1, 0
	shape.RequestRate = 0
	return shape
}

// runReal starts the cell and measures it.
func runReal(ctx context.Context, config Config) (RealCell, error) {
	cell := demo.DefaultConfig()
	cell.BasePort, cell.Shalefork, cell.Lab, cell.Example = config.BasePort, config.Shalefork, config.Lab, config.Example
	cell.Output, cell.Rate = config.Output, realRate
	var measured RealCell
	err := demo.RunSteady(ctx, cell, func(ctx context.Context, steady demo.Steady) error {
		measured.Load = loadAverage()
		var err error
		if measured.Idle, err = observe(ctx, steady.Members, realSettle, realWindow); err != nil {
			return err
		}
		if err := steady.StartLoad(); err != nil {
			return err
		}
		measured.Loaded, err = observe(ctx, steady.Members, loadSettle, loadWindow)
		return err
	})
	return measured, Error.Wrap(err)
}

// observe measures all processes over a window.
func observe(ctx context.Context, members []demo.Member, settle, window time.Duration) ([]RealCost, error) {
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	countsBefore, err := countAll(ctx, members)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	before, err := sampleAll(members)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, window); err != nil {
		return nil, err
	}
	after, err := sampleAll(members)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(started)
	countsAfter, err := countAll(ctx, members)
	if err != nil {
		return nil, err
	}
	var spent []memberUse
	for i := range members {
		spent = append(spent, useOf(before[i], after[i], countsAfter[i]-countsBefore[i]))
	}
	return realCosts(members, spent, elapsed), nil
}

// memberUse is what one process spent in a window.
type memberUse struct {
	procSample
	requests float64
}

func useOf(before, after procSample, requests float64) memberUse {
	used := procSample{
		cpu: after.cpu - before.cpu, read: after.read - before.read,
		written: after.written - before.written, resident: after.resident,
	}
	return memberUse{used, requests}
}

func pause(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return Error.Wrap(ctx.Err())
	}
	return nil
}

// sampleAll reads the kernel's files of all members at once, so that the reading
// of their counters falls outside the window.
func sampleAll(members []demo.Member) ([]procSample, error) {
	var samples []procSample
	for _, member := range members {
		sampled, err := sampleProcess(member.PID)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sampled)
	}
	return samples, nil
}

func countAll(ctx context.Context, members []demo.Member) ([]float64, error) {
	var counts []float64
	for _, member := range members {
		count, err := readRequests(ctx, member.Metrics)
		if err != nil {
			return nil, err
		}
		counts = append(counts, count)
	}
	return counts, nil
}

// requestCounters are the counters that add up to a process's requests.
var requestCounters = []string{
	"shalefork_controller_renewals_total", "shalefork_controller_messages_sent_total", "shalefork_gateway_answers_total",
}

// readRequests adds up a process's counters.
func readRequests(ctx context.Context, url string) (float64, error) {
	if url == "" {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		sum += countedIn(lines.Text())
	}
	return sum, Error.Wrap(lines.Err())
}

// countedIn returns the value of a line with one of the counters, else zero.
func countedIn(line string) float64 {
	for _, counter := range requestCounters {
		if !strings.HasPrefix(line, counter) {
			continue
		}
		fields := strings.Fields(line)
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err == nil {
			return value
		}
	}
	return 0
}

// realParts are in the order of the report.
var realParts = []demo.Part{
	demo.PartLeader, demo.PartFollower, demo.PartStandby, demo.PartGateway, demo.PartKeyed, demo.PartPool,
}

func realCosts(members []demo.Member, spent []memberUse, elapsed time.Duration) []RealCost {
	var costs []RealCost
	for _, part := range realParts {
		sum := RealCost{Part: part}
		for i, member := range members {
			if member.Part != part {
				continue
			}
			sum.Processes++
			sum.Sent += spent[i].written
			sum.Received += spent[i].read
			sum.Core += spent[i].cpu.Seconds()
			sum.Requests += spent[i].requests
			sum.Resident += spent[i].resident
		}
		costs = append(costs, sum.perProcess(elapsed))
	}
	return costs
}

func (c RealCost) perProcess(elapsed time.Duration) RealCost {
	if c.Processes == 0 {
		return c
	}
	per := float64(c.Processes) * elapsed.Seconds()
	c.Sent /= per
	c.Received /= per
	c.Core /= per
	c.Requests /= per
	c.Resident /= float64(c.Processes)
	return c
}
