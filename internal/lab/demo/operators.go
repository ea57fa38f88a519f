package demo

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/settings"
)

// makeOperators lets the program make keys for the first two operators of the
// example.
func (c *cluster) makeOperators(ctx context.Context, example []settings.Operator) ([]settings.Operator, error) {
	c.proposer = example[0].Name
	c.approver = example[1].Name
	var operators []settings.Operator
	for _, name := range []string{c.proposer, c.approver} {
		public, err := c.command(ctx, "operator", "keygen", c.keyFile(name))
		if err != nil {
			return nil, err
		}
		operators = append(operators, settings.Operator{Name: name, PublicKey: strings.TrimSpace(public)})
	}
	return operators, nil
}

func (c *cluster) keyFile(operator string) string {
	return c.files.path(operator + ".key")
}

// command runs the program to its end and returns what it wrote.
func (c *cluster) command(ctx context.Context, arguments ...string) (string, error) {
	name := fmt.Sprintf("command-%d-%s-%s", c.commands.Add(1), arguments[0], arguments[1])
	child, err := c.spawn(c.config.Shalefork, name, arguments...)
	if err != nil {
		return "", err
	}
	ended := child.Wait(ctx)
	output, err := os.ReadFile(c.files.path(name + ".out"))
	if ended == nil {
		return string(output), Error.Wrap(err)
	}
	complaint, _ := os.ReadFile(c.files.path(name + ".log"))
	return "", Error.New("shalefork %s: %v: %s", strings.Join(arguments, " "), ended, strings.TrimSpace(string(complaint)))
}

// admin runs a command that calls the controllers in an operator's name.
func (c *cluster) admin(ctx context.Context, operator string, arguments ...string) (string, error) {
	arguments = append(arguments,
		"--token-file", c.files.path("token"),
		"--operator", operator,
		"--key", c.keyFile(operator))
	for _, address := range c.config.addresses(controllerPort, controllerCount) {
		arguments = append(arguments, "--controller", address)
	}
	return c.command(ctx, arguments...)
}

// rollOut proposes, approves and rolls a bundle, and waits until it is in force.
func (c *cluster) rollOut(ctx context.Context, file string, rolled bundle.Bundle) error {
	path := c.files.path(file)
	if _, err := c.admin(ctx, c.proposer, "bundle", "propose", path); err != nil {
		return err
	}
	if _, err := c.admin(ctx, c.approver, "bundle", "approve", path); err != nil {
		return err
	}
	_, err := c.admin(ctx, c.proposer, "bundle", "roll", string(rolled.Team), fmt.Sprint(rolled.Version))
	return err
}

// awaitLeader waits until the control group has a leader.
func (c *cluster) awaitLeader(ctx context.Context) error {
	return await(ctx, "a leader of the control group", readyLimit, func(ctx context.Context) bool {
		status, err := c.client.Status(ctx)
		return err == nil && status.Group.Leader != ""
	})
}

// awaitOwned waits until every slice of the bundle has an owner. A back end of a
// pool that leaves has none.
func (c *cluster) awaitOwned(ctx context.Context) error {
	return await(ctx, "an owner of every slice", readyLimit, func(ctx context.Context) bool {
		status, err := c.client.Status(ctx)
		if err != nil || len(status.State.Assignments) == 0 {
			return false
		}
		for _, assignment := range status.State.Assignments {
			if assignment.Owner == "" && !leaves(status.State, assignment) {
				return false
			}
		}
		return true
	})
}

// leaves reports whether a pool's assignment is for a back end that leaves.
func leaves(state cellstate.State, assignment cellstate.Assignment) bool {
	name := string(assignment.Slice.Service) + "/" + string(assignment.Slice.Partition)
	server, known := state.Servers[bundle.ServerName(name)]
	return assignment.Shared && known && server.Draining
}

// leader returns the address of the leading controller.
func (c *cluster) leader(ctx context.Context) (string, error) {
	status, err := c.client.Status(ctx)
	if err != nil {
		return "", Error.Wrap(err)
	}
	for _, member := range status.Group.Membership.Members {
		if member.ID == status.Group.Leader {
			return member.Address, nil
		}
	}
	return "", Error.New("nobody leads the control group")
}

// ownerOf returns the server that owns a key.
func (c *cluster) ownerOf(ctx context.Context, service bundle.Service, key string) (bundle.ServerName, error) {
	status, err := c.client.Status(ctx)
	if err != nil {
		return "", Error.Wrap(err)
	}
	partition, _ := service.PartitionOf(key)
	for _, assignment := range status.State.Assignments {
		if holdsKey(assignment.Slice, c.first.ServiceName(service), partition.Name, key) {
			return assignment.Owner, nil
		}
	}
	return "", Error.New("key %s belongs to no slice", key)
}

func holdsKey(slice keyspace.Slice, service keyspace.ServiceName, partition keyspace.PartitionName, key string) bool {
	return slice.Service == service && slice.Partition == partition && slice.Range.Contains(keyspace.HashKey(key))
}
