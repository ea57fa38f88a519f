package demo

import (
	"context"
	"fmt"
	"os"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/process"
)

// Part is what a process does in a steady cell.
type Part string

// Parts of a steady cell.
const (
	PartLeader   Part = "control leader"
	PartFollower Part = "control follower"
	PartStandby  Part = "standby"
	PartGateway  Part = "gateway"
	PartKeyed    Part = "keyed server"
	PartPool     Part = "pool server"
)

// Member is one process of a steady cell.
type Member struct {
	Part Part
	PID  int
	// Metrics is the URL of its counters; empty if it shows none.
	Metrics string
}

// Steady is a whole cell that serves and suffers no faults.
type Steady struct {
	Members []Member
	// StartLoad starts the callers.
	StartLoad func() error
}

// RunSteady starts a cell, rolls the first bundle and calls observe. Every
// process that it started has ended when it returns.
func RunSteady(ctx context.Context, config Config, observe func(context.Context, Steady) error) error {
	if err := config.validate(); err != nil {
		return err
	}
	files, err := newFiles()
	if err != nil {
		return err
	}
	defer os.RemoveAll(files.directory)
	processes := process.NewGroup()
	err = steady(ctx, config, files, processes, observe)
	left := processes.Close(stopGrace)
	if err == nil && len(left) > 0 {
		return Error.New("processes left: %v", left)
	}
	return err
}

func steady(ctx context.Context, config Config, files files, processes *process.Group, observe func(context.Context, Steady) error) error {
	cell, err := newCluster(config, files, processes)
	if err != nil {
		return err
	}
	defer func() { cell.collector.close() }()
	if err := cell.start(ctx); err != nil {
		return err
	}
	if err := cell.rollOut(ctx, "bundle.yaml", cell.first); err != nil {
		return err
	}
	if err := cell.awaitOwned(ctx); err != nil {
		return err
	}
	members, err := cell.members(ctx)
	if err != nil {
		return err
	}
	return observe(ctx, Steady{Members: members, StartLoad: func() error {
		_, err := cell.startLoad()
		return err
	}})
}

// members lists the processes of the cell's own parts.
func (c *cluster) members(ctx context.Context) ([]Member, error) {
	status, err := c.client.Status(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	part := map[string]Part{}
	for _, member := range status.Group.Membership.Members {
		part[member.Address] = PartFollower
		if member.ID == status.Group.Leader {
			part[member.Address] = PartLeader
		}
	}
	var members []Member
	for _, address := range c.config.addresses(controllerPort, controllerCount) {
		found, inGroup := part[address]
		if !inGroup {
			found = PartStandby
		}
		members = append(members, Member{Part: found, PID: c.controllers[address].PID(), Metrics: metricsOf(address)})
	}
	for index, gateway := range c.gateways {
		members = append(members, Member{Part: PartGateway, PID: gateway.PID(), Metrics: metricsOf(c.config.address(gatewayPeerPort + index))})
	}
	return append(members, c.serverMembers()...), nil
}

func (c *cluster) serverMembers() []Member {
	var members []Member
	for _, service := range c.first.Services {
		part := PartPool
		if service.Kind == bundle.KindKeyed {
			part = PartKeyed
		}
		for _, backend := range service.Backends {
			members = append(members, Member{Part: part, PID: c.workers[c.first.ServerName(service, backend)].PID()})
		}
	}
	return members
}

func metricsOf(address string) string {
	return fmt.Sprintf("http://%s/metrics", address)
}
