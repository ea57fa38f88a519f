package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lab/history"
)

// callers run operations and keep the report.
type callers struct {
	config Config
	client *http.Client
	report *reporter
	random *rand.Rand
	mix    *mix

	running sync.WaitGroup
	slots   chan struct{}
	started uint64
}

// Run makes load until the duration is over or ctx ends, waits for the answers
// that are still due, and returns what the callers saw.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.Validate(); err != nil {
		return Report{}, err
	}
	c := newCallers(config)
	defer c.client.CloseIdleConnections()
	recording, stopRecording := context.WithCancel(context.WithoutCancel(ctx))
	var recorder sync.WaitGroup
	recorder.Go(func() { config.Recorder.Run(recording) })
	c.schedule(ctx)
	c.running.Wait()
	stopRecording()
	recorder.Wait()
	return c.report.finish(history.Now()), nil
}

func newCallers(config Config) *callers {
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	return &callers{
		config: config,
		client: newClient(),
		report: newReporter(),
		random: random,
		mix:    newMix(config, random),
		slots:  make(chan struct{}, maxOutstanding),
	}
}

func newClient() *http.Client {
	const idlePerGateway = 256
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: idlePerGateway,
		DisableCompression:  true,
	}}
}

// schedule begins operations at random times of the given mean rate, whether or
// not earlier ones were answered.
func (c *callers) schedule(ctx context.Context) {
	begin := time.Now()
	end := begin.Add(c.config.Duration)
	next := begin
	nextPull := begin
	for {
		next = next.Add(time.Duration(c.random.ExpFloat64() / c.config.Rate * float64(time.Second)))
		if next.After(end) || !clock.Sleep(ctx, time.Until(next)) {
			return
		}
		target := c.mix.pick(c.random)
		c.begin(ctx, operation{target: target, key: target.pick(), scheduled: next})
		if c.config.PullEvery > 0 && !next.Before(nextPull) {
			nextPull = next.Add(c.config.PullEvery)
			c.beginPull(ctx, next)
		}
	}
}

func (c *callers) beginPull(ctx context.Context, at time.Time) {
	target := c.mix.forPulls(c.config.Bundle)
	if target == nil {
		return
	}
	c.begin(ctx, operation{target: target, key: target.pick(), scheduled: at, pull: c.config.Pull})
}

// begin starts the operation unless too many are in flight.
func (c *callers) begin(ctx context.Context, operation operation) {
	c.started++
	operation.number = c.started
	operation.gateway = c.random.IntN(len(c.config.Gateways))
	select {
	case c.slots <- struct{}{}:
	default:
		c.report.notBegun()
		return
	}
	c.running.Go(func() {
		c.run(ctx, operation)
		<-c.slots
	})
}
