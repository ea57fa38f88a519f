package main

import (
	"context"
	"fmt"
	"os"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/operator"
	"github.com/shalefork/shalefork/internal/router"
	"github.com/shalefork/shalefork/internal/signals"
	"github.com/shalefork/shalefork/internal/telemetry"
	"github.com/shalefork/shalefork/platform"
)

// settingsVariable is the environment variable with the path of the settings file, for command lines
// without the flag.
const settingsVariable = "SHALEFORK_SETTINGS"

func routerCommand() cli.Command {
	var file string
	subcommand := cli.NewSubcommand("router", "Run a router until SIGTERM, then drain it.")
	subcommand.String(&file, "s", "settings", "The settings file, YAML; else "+settingsVariable+" names it")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return runRouter(ctx, settingsFile(file))
	}}
}

func runRouter(ctx context.Context, file string) cli.ExitCode {
	config, data, err := readSettings(file)
	if err != nil {
		return reportError(err)
	}
	limitMemory(config.Machine)
	log := decision.New(config.Node)
	process := router.New(config, platform.Adapter(config.Store), log, telemetry.NewRegistry())
	ctx = signals.UntilTermination(ctx)
	go process.FollowSettings(ctx, file, data, signals.Hangups())
	if err := process.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return operator.ExitRefused
	}
	return operator.ExitOK
}
