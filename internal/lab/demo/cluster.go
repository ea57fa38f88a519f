package demo

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/process"
	"github.com/shalefork/shalefork/internal/operator"
	"github.com/shalefork/shalefork/internal/settings"
)

// cluster is the running cell with all that belongs to it.
type cluster struct {
	config    Config
	files     files
	processes *process.Group
	collector *collector
	client    *operator.Client

	first  bundle.Bundle
	second bundle.Bundle
	// bundles holds each that was ever offered, for the check of zones.
	bundles []bundle.Bundle
	// operators are two names: one proposes and rolls, the other approves.
	proposer string
	approver string

	controllers map[string]*process.Process // by address
	gateways    []*process.Process
	workers     map[bundle.ServerName]*process.Process
	leaving     []history.Leaving
	// commands counts the operators' commands, to name their logs.
	commands atomic.Int64
	// soaking is set while random faults are injected.
	soaking *soak
}

func newCluster(config Config, files files, processes *process.Group) (*cluster, error) {
	made := &cluster{
		config:      config,
		files:       files,
		processes:   processes,
		client:      operator.NewClient(config.addresses(controllerPort, controllerCount), files.token),
		controllers: map[string]*process.Process{},
		workers:     map[bundle.ServerName]*process.Process{},
	}
	var err error
	if made.first, err = config.readBundle("bundle.yaml"); err != nil {
		return nil, err
	}
	if made.second, err = config.readBundle("bundle-2.yaml"); err != nil {
		return nil, err
	}
	made.bundles = []bundle.Bundle{made.first, made.second}
	return made, checkFree(made.allAddresses())
}

// allAddresses returns every address that some process will listen on.
func (c *cluster) allAddresses() []string {
	addresses := []string{c.config.address(platformPort), c.config.address(collectorPort)}
	addresses = append(addresses, c.config.addresses(controllerPort, controllerCount)...)
	addresses = append(addresses, c.config.addresses(gatewayPort, gatewayCount)...)
	addresses = append(addresses, c.config.addresses(gatewayPeerPort, gatewayCount)...)
	for _, service := range c.first.Services {
		for _, backend := range service.Backends {
			addresses = append(addresses, backend.Address)
		}
	}
	return addresses
}

// start starts everything but the load, in the order in which the parts need
// one another, and makes the first bundle be in force.
func (c *cluster) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		c.startCollector,
		c.startPlatform,
		c.writeBundles,
		c.startWorkers,
		c.startControllers,
		c.startGateways,
		c.awaitLeader,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startCollector(context.Context) error {
	var err error
	c.collector, err = newCollector(c.config.address(collectorPort))
	return err
}

func (c *cluster) writeBundles(context.Context) error {
	if err := c.files.writeYAML("bundle.yaml", c.first); err != nil {
		return err
	}
	return c.files.writeYAML("bundle-2.yaml", c.second)
}

// spawn starts one of the two programs with its log in the directory.
func (c *cluster) spawn(program, name string, arguments ...string) (*process.Process, error) {
	return c.processes.Start(process.Spec{
		Name:       name,
		Path:       program,
		Args:       arguments,
		LogPath:    c.files.path(name + ".log"),
		OutputPath: c.files.path(name + ".out"),
	})
}

func (c *cluster) startWorkers(ctx context.Context) error {
	for _, service := range c.first.Services {
		for _, backend := range service.Backends {
			if err := c.startWorker(service, backend); err != nil {
				return err
			}
		}
	}
	if c.config.Break != BreakIgnoreFences {
		return nil
	}
	return c.ignoreFences(ctx)
}

func (c *cluster) startWorker(service bundle.Service, backend bundle.Backend) error {
	started, err := c.spawnWorker(service, backend)
	c.workers[c.first.ServerName(service, backend)] = started
	return err
}

func (c *cluster) spawnWorker(service bundle.Service, backend bundle.Backend) (*process.Process, error) {
	arguments := []string{
		"worker",
		"--name", string(c.first.ServerName(service, backend)),
		"--listen", backend.Address,
		"--cell", string(c.first.Cell),
		"--service", string(c.first.ServiceName(service)),
		"--zone", string(backend.Zone),
		"--kind", string(service.Kind),
		"--token-file", c.files.path("token"),
		"--slots", strconv.Itoa(backend.Slots),
		"--connections", strconv.Itoa(backend.Connections),
		"--history", c.collector.url,
		"--drain-timeout", drainLimit.String(),
	}
	if service.Repeatable {
		arguments = append(arguments, "--repeatable")
	}
	return c.spawn(c.config.Lab, "worker-"+backend.Name, arguments...)
}

func (c *cluster) startControllers(ctx context.Context) error {
	controller, _, err := c.config.readSettings()
	if err != nil {
		return err
	}
	controller.Token = c.files.token
	controller.Platform = "http://" + c.config.address(platformPort)
	if controller.Operators, err = c.makeOperators(ctx, controller.Operators); err != nil {
		return err
	}
	for index, address := range c.config.addresses(controllerPort, controllerCount) {
		controller.Listen = address
		controller.Zone = c.zone(index)
		if err := c.startController(fmt.Sprintf("controller-%d", index+1), controller); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startController(name string, controller settings.Controller) error {
	if err := c.files.writeYAML(name+".yaml", controller); err != nil {
		return err
	}
	started, err := c.spawnRouter("controller", name)
	c.controllers[controller.Listen] = started
	return err
}

// spawnRouter starts a controller or gateway on the settings of its name.
func (c *cluster) spawnRouter(command, name string) (*process.Process, error) {
	return c.spawn(c.config.Shalefork, name, command, "--settings", c.files.path(name+".yaml"))
}

func (c *cluster) startGateways(context.Context) error {
	_, gateway, err := c.config.readSettings()
	if err != nil {
		return err
	}
	gateway.Token = c.files.token
	gateway.Controllers = c.config.addresses(controllerPort, controllerCount)
	for index := range gatewayCount {
		name := fmt.Sprintf("gateway-%d", index+1)
		gateway.Listen = c.config.address(gatewayPort + index)
		gateway.PeerListen = c.config.address(gatewayPeerPort + index)
		gateway.Zone = c.zone(index)
		if err := c.files.writeYAML(name+".yaml", gateway); err != nil {
			return err
		}
		started, err := c.spawnRouter("gateway", name)
		if err != nil {
			return err
		}
		c.gateways = append(c.gateways, started)
	}
	return nil
}

func (c *cluster) zone(index int) bundle.Zone {
	return c.first.Zones[index%len(c.first.Zones)]
}

// await looks until done, and says what was awaited if that takes too long.
func await(ctx context.Context, what string, limit time.Duration, done func(context.Context) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !done(ctx) {
		select {
		case <-ctx.Done():
			return Error.New("waited in vain for %s", what)
		case <-ticker.C:
		}
	}
	return nil
}
