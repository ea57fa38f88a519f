package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/lab/worker"
	"github.com/shalefork/shalefork/internal/platform"
)

// The stand-in of the platform's service is limited to these rates.
const (
	platformRate  = 200
	platformBurst = 100
	// machineLag is how old the machine list is.
	machineLag = time.Second
)

// startPlatform starts the stand-in with this machine on its list.
func (c *cluster) startPlatform(ctx context.Context) error {
	address := c.config.address(platformPort)
	if _, err := c.spawn(c.config.Lab, "platform", "kv", "--listen", address); err != nil {
		return err
	}
	lag := bundle.Duration(machineLag)
	machine := platform.Machine{
		Address: host,
		Name:    "this-machine",
		Zone:    string(c.zone(0)),
		State:   platform.MachineLive,
	}
	setup := kv.Control{
		Rate:     &kv.Rate{PerSecond: platformRate, Burst: platformBurst},
		Machines: &kv.Machines{Lag: &lag, Set: []platform.Machine{machine}},
	}
	return await(ctx, "the platform's service", readyLimit, func(ctx context.Context) bool {
		return c.controlPlatform(ctx, setup) == nil
	})
}

func (c *cluster) controlPlatform(ctx context.Context, control kv.Control) error {
	return post(ctx, "http://"+c.config.address(platformPort)+kv.PathControl, control)
}

// ignoreFencesChange is the part of worker.Change that breaks the rule.
type ignoreFencesChange struct {
	IgnoreFences bool `json:"ignore_fences"`
}

// controlOf returns the URL that steers a server.
func controlOf(backend bundle.Backend) string {
	return "http://" + backend.Address + worker.PathControl
}

// ignoreFences makes every worker run whatever reaches it.
func (c *cluster) ignoreFences(ctx context.Context) error {
	for _, service := range c.first.Services {
		for _, backend := range service.Backends {
			address := controlOf(backend)
			err := await(ctx, backend.Name, readyLimit, func(ctx context.Context) bool {
				return post(ctx, address, ignoreFencesChange{IgnoreFences: true}) == nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func post(ctx context.Context, address string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return Error.New("%s answered %d", address, response.StatusCode)
	}
	return nil
}
