package demo

import (
	"context"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/lab/load"
)

// Times of the faults.
const (
	settle         = 1500 * time.Millisecond
	frozenFor      = 2500 * time.Millisecond
	platformOutage = 3 * time.Second
	// leaveGrace is how long a leaving server may still get work.
	leaveGrace = 3 * time.Second
)

// step is one thing that happens while the load runs.
type step struct {
	name string
	run  func(ctx context.Context) error
	// settle is how long the cell is left alone afterwards.
	settle time.Duration
}

func (c *cluster) faults() []step {
	return []step{
		{"steady", func(context.Context) error { return nil }, settle},
		{"kill the server that owns the hottest key", c.killOwner, settle},
		{"kill the leading controller", c.killLeader, 2 * settle},
		{"freeze the hottest key's new owner, then let it go on", c.freezeOwner, settle},
		{"cut the platform's service", c.cutPlatform, 0},
		{"roll the second bundle", c.rollSecond, settle},
		{"drain a gateway with a slow pull in flight", c.drainGateway, settle},
	}
}

// hottest returns the keyed service of the bundle and its hottest key.
func (c *cluster) hottest() (bundle.Service, string, error) {
	for _, service := range c.first.Services {
		if service.Kind == bundle.KindKeyed {
			return service, load.Keys(service, 1)[0], nil
		}
	}
	return bundle.Service{}, "", Error.New("the bundle has no keyed service")
}

// owner returns the server that owns the hottest key, once one does.
func (c *cluster) owner(ctx context.Context) (bundle.ServerName, error) {
	service, key, err := c.hottest()
	if err != nil {
		return "", err
	}
	var owner bundle.ServerName
	err = await(ctx, "an owner of the hottest key", readyLimit, func(ctx context.Context) bool {
		owner, err = c.ownerOf(ctx, service, key)
		return err == nil && owner != ""
	})
	return owner, err
}

func (c *cluster) killOwner(ctx context.Context) error {
	owner, err := c.owner(ctx)
	if err != nil {
		return err
	}
	return c.workers[owner].Kill()
}

func (c *cluster) killLeader(ctx context.Context) error {
	address, err := c.leader(ctx)
	if err != nil {
		return err
	}
	leader, known := c.controllers[address]
	if !known {
		return Error.New("the leader %s is none of the controllers", address)
	}
	return leader.Kill()
}

func (c *cluster) freezeOwner(ctx context.Context) error {
	owner, err := c.owner(ctx)
	if err != nil {
		return err
	}
	if err := c.workers[owner].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause(ctx, frozenFor)
	return c.workers[owner].Signal(syscall.SIGCONT)
}

func (c *cluster) cutPlatform(ctx context.Context) error {
	outage := kv.Control{Outage: &kv.Outage{On: true}}
	if err := c.controlPlatform(ctx, outage); err != nil {
		return err
	}
	pause(ctx, platformOutage)
	outage.Outage.On = false
	return c.controlPlatform(ctx, outage)
}

// rollSecond rolls the second bundle and notes the servers that it lets go.
func (c *cluster) rollSecond(ctx context.Context) error {
	if err := c.rollOut(ctx, "bundle-2.yaml", c.second); err != nil {
		return err
	}
	c.noteLeaving(c.second)
	return nil
}

// noteLeaving notes the servers that a bundle in force lets go.
func (c *cluster) noteLeaving(inForce bundle.Bundle) {
	now := history.Now()
	for _, service := range inForce.Services {
		for _, backend := range service.Backends {
			if backend.Leaving {
				name := inForce.ServerName(service, backend)
				c.leaving = append(c.leaving, history.Leaving{Server: name, At: now})
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
