package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/process"
)

// soak plays random faults.
type soak struct {
	cell     *cluster
	progress *progress

	controllers []*slot
	gateways    []*slot
	workers     []*slot
	byAddress   map[string]*slot
	byServer    map[bundle.ServerName]*slot

	// rolling is held by the one fault that changes the bundle.
	rolling sync.Mutex

	mu       sync.Mutex
	injected []injectedFault
	failures []error
}

// injectedFault is when a fault had its effect, on the clock of history.Now.
type injectedFault struct {
	fault      fault
	begin, end time.Duration
}

// errBusy says that another fault has the process already.
var errBusy = errors.New("skipped: has a fault already")

// soak plays the schedule of the seed and then checks that everything is served
// again. Failures go to the summary.
func (c *cluster) soak(ctx context.Context, progress *progress, summary *Summary) {
	s := newSoak(c, progress)
	c.soaking = s
	meter := newGrowthMeter(append(append([]*slot{}, s.controllers...), s.gateways...))
	measuring, stopMeasuring := context.WithCancel(ctx)
	var measurer sync.WaitGroup
	measurer.Go(func() { meter.run(measuring) })
	begin := history.Now()
	s.play(ctx, drawSchedule(c.config.Seed, c.config.Soak))
	progress.say("no more faults; everything must be served again")
	if err := s.recovered(ctx); err != nil {
		s.fail(Error.New("after the last fault: %v", err))
		s.keepStatus(ctx)
	}
	s.checkAlive()
	pause(ctx, c.config.load()-(history.Now()-begin))
	stopMeasuring()
	measurer.Wait()
	summary.Growth = meter.growth()
	summary.Failures = append(summary.Failures, s.failures...)
}

func newSoak(c *cluster, progress *progress) *soak {
	s := &soak{
		cell:      c,
		progress:  progress,
		byAddress: map[string]*slot{},
		byServer:  map[bundle.ServerName]*slot{},
	}
	for index, address := range c.config.addresses(controllerPort, controllerCount) {
		made := c.routerSlot("controller", index, address)
		made.process = c.controllers[address]
		s.controllers = append(s.controllers, made)
		s.byAddress[address] = made
	}
	for index, address := range c.config.addresses(gatewayPeerPort, gatewayCount) {
		made := c.routerSlot("gateway", index, address)
		made.process = c.gateways[index]
		s.gateways = append(s.gateways, made)
	}
	for _, service := range c.first.Services {
		for _, backend := range service.Backends {
			name := c.first.ServerName(service, backend)
			s.byServer[name] = c.workerSlot(service, backend)
			s.workers = append(s.workers, s.byServer[name])
		}
	}
	return s
}

// play runs each fault at its time and waits for the last to be over.
func (s *soak) play(ctx context.Context, schedule []plannedFault) {
	begin := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, next := range schedule {
		running.Go(func() {
			pause(ctx, time.Until(begin.Add(next.At)))
			if ctx.Err() == nil {
				s.inject(ctx, next)
			}
		})
	}
}

func (s *soak) inject(ctx context.Context, next plannedFault) {
	s.progress.say("%s", next)
	begin := history.Now()
	err := s.run(ctx, next)
	if errors.Is(err, errBusy) {
		s.progress.say("%s: %v", next.Fault, err)
		return
	}
	s.mu.Lock()
	s.injected = append(s.injected, injectedFault{fault: next.Fault, begin: begin, end: history.Now()})
	s.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		s.fail(Error.New("%s: %v", next, err))
	}
}

func (s *soak) fail(err error) {
	s.progress.say("FAILED: %v", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err)
}

// recovered waits until all slices have owners, every service is served through
// every gateway and no version is left rolling.
func (s *soak) recovered(ctx context.Context) error {
	if err := s.cell.awaitOwned(ctx); err != nil {
		return err
	}
	if err := s.cell.awaitServing(ctx); err != nil {
		return err
	}
	return await(ctx, "the last bundle to be in force", readyLimit, func(ctx context.Context) bool {
		status, err := s.cell.client.History(ctx, s.cell.first.Team)
		return err == nil && noneRolling(status)
	})
}

// keepStatus writes what the control group knows beside the logs.
func (s *soak) keepStatus(ctx context.Context) {
	status, err := s.cell.client.Status(ctx)
	if err != nil {
		s.fail(Error.Wrap(err))
		return
	}
	data, err := json.MarshalIndent(status, "", " ")
	if err == nil {
		err = s.cell.files.write("status.json", data)
	}
	if err != nil {
		s.fail(Error.Wrap(err))
	}
}

// checkAlive finds processes that ended though no fault ended them.
func (s *soak) checkAlive() {
	for _, group := range [][]*slot{s.controllers, s.gateways, s.workers} {
		for _, each := range group {
			if running := each.current(); running.Ended() {
				s.fail(Error.New("%s ended by itself: %v", each.name, running.Wait(context.Background())))
			}
		}
	}
}

func (c *cluster) routerSlot(command string, index int, address string) *slot {
	made := &slot{name: fmt.Sprintf("%s-%d", command, index+1), metrics: metricsOf(address)}
	made.spawn = func() (*process.Process, error) { return c.spawnRouter(command, made.name) }
	return made
}

func (c *cluster) workerSlot(service bundle.Service, backend bundle.Backend) *slot {
	return &slot{
		name:    backend.Name,
		control: controlOf(backend),
		process: c.workers[c.first.ServerName(service, backend)],
		spawn:   func() (*process.Process, error) { return c.spawnWorker(service, backend) },
	}
}
