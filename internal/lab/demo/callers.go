package demo

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/lab/load"
	"github.com/shalefork/shalefork/internal/lab/process"
)

// Load of the demonstration.
const (
	loadDuration = 22 * time.Second
	// loadLimit is how long the last answers may take after that.
	loadLimit = 10 * time.Second
	pullEvery = 500 * time.Millisecond
	pullBytes = 256 << 10
	// pullStream is shorter than the deadline of the service that is pulled;
	// a service without a deadline is pulled for longPullStream.
	pullStream     = 700 * time.Millisecond
	longPullStream = 4 * time.Second
)

func (c *cluster) startLoad() (*process.Process, error) {
	arguments := []string{
		"load",
		"--bundle", c.files.path("bundle.yaml"),
		"--rate", strconv.FormatFloat(c.config.Rate, 'f', -1, 64),
		"--duration", c.config.load().String(),
		"--seed", strconv.FormatUint(c.config.Seed, 10),
		"--keys", strconv.Itoa(keyCount),
		"--skew", strconv.FormatFloat(keySkew, 'f', -1, 64),
		"--pull-every", pullEvery.String(),
		"--pull-bytes", strconv.Itoa(pullBytes),
		"--pull-stream", c.pullStream().String(),
		"--history", c.collector.url,
	}
	for _, address := range c.config.addresses(gatewayPort, gatewayCount) {
		arguments = append(arguments, "--gateway", address)
	}
	return c.spawn(c.config.Lab, "load", arguments...)
}

// pullStream is the time over which a slow pull is sent.
func (c *cluster) pullStream() time.Duration {
	service, err := c.pulled()
	if err == nil && service.Limits.Deadline == 0 {
		return longPullStream
	}
	return pullStream
}

// awaitLoad waits for the load to end and reads its report.
func (c *cluster) awaitLoad(ctx context.Context, running *process.Process) (load.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.load()+loadLimit)
	defer cancel()
	var report load.Report
	if err := running.Wait(ctx); err != nil {
		return report, Error.New("the load failed: %v", err)
	}
	data, err := os.ReadFile(c.files.path("load.out"))
	if err != nil {
		return report, Error.Wrap(err)
	}
	return report, Error.Wrap(json.Unmarshal(data, &report))
}
