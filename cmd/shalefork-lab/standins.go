package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/lab/worker"
	"github.com/shalefork/shalefork/internal/operator"
	"github.com/shalefork/shalefork/internal/telemetry"
)

// Exit codes of the lab's commands.
const (
	exitOK     cli.ExitCode = 0
	exitFailed cli.ExitCode = 1
)

func exitOf(err error) cli.ExitCode {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

func kvCommand() cli.Command {
	var config kv.Config
	subcommand := cli.NewSubcommand("kv", "Stand in for the platform's key-value service and machine list.")
	subcommand.String(&config.Listen, "l", "listen", "Address to serve on, host:port")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		config.Log = telemetry.NewLogger("kv", "info")
		return exitOf(kv.Run(ctx, config))
	}}
}

// workerFlags are those that need a conversion to become a worker.Config.
type workerFlags struct {
	config    worker.Config
	name      string
	cell      string
	service   string
	zone      string
	kind      string
	tokenFile string
}

func workerCommand() cli.Command {
	flags := &workerFlags{config: worker.DefaultConfig()}
	flags.kind = string(flags.config.Kind)
	subcommand := cli.NewSubcommand("worker", "Stand in for a server that takes fenced grants.")
	flags.attach(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		config, err := flags.toConfig()
		if err != nil {
			return exitOf(err)
		}
		return exitOf(worker.Run(ctx, config))
	}}
}

func (f *workerFlags) attach(subcommand *flaggy.Subcommand) {
	config := &f.config
	subcommand.String(&config.Listen, "l", "listen", "Address to serve on, host:port")
	subcommand.String(&f.name, "n", "name", "Name of the server, team/service/backend")
	subcommand.String(&f.cell, "c", "cell", "Cell of the server")
	subcommand.String(&f.service, "s", "service", "Service of the server, team/service")
	subcommand.String(&f.zone, "z", "zone", "Zone of the server")
	subcommand.String(&f.kind, "k", "kind", "keyed or pool")
	subcommand.Bool(&config.Repeatable, "r", "repeatable", "Its requests may be repeated")
	subcommand.String(&f.tokenFile, "t", "token-file", "File with the token of the cell")
	subcommand.Int(&config.Slots, "", "slots", "Requests that run at once")
	subcommand.Int(&config.Queue, "", "queue", "Requests that wait for a slot")
	subcommand.Int(&config.Connections, "", "connections", "Connections that it accepts")
	subcommand.Duration(&config.ServiceTime, "", "service-time", "Mean time that a request takes")
	subcommand.String(&config.History, "", "history", "URL of the collector of histories")
	subcommand.Duration(&config.DrainTimeout, "", "drain-timeout", "Longest drain at a stop; 0s without end")
}

func (f *workerFlags) toConfig() (worker.Config, error) {
	token, err := operator.LoadToken(f.tokenFile)
	config := f.config
	config.Name = bundle.ServerName(f.name)
	config.Cell = bundle.CellName(f.cell)
	config.Service = keyspace.ServiceName(f.service)
	config.Zone = bundle.Zone(f.zone)
	config.Kind = bundle.Kind(f.kind)
	config.Token = token
	config.Logger = telemetry.NewLogger(f.name, "info")
	return config, err
}
