package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/platform/soak"
)

// demoDuration is long enough for each kind of fault.
const demoDuration = 27 * time.Second

// demoCommand plays each kind of fault in turn.
func demoCommand() cli.Command {
	config := soak.DefaultConfig()
	config.InTurn = true
	config.Duration = demoDuration
	var broken string
	subcommand := cli.NewSubcommand("demo", "Run routers on the platform's stand-in under load and each kind of fault in turn, and check them.")
	attach(subcommand, &config)
	subcommand.String(&broken, "b", "break", "Break a rule on purpose, so that the checks fail: ignore-releases")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		config.Break = soak.Break(broken)
		return run(ctx, config)
	}}
}

// soakCommand plays random faults.
func soakCommand() cli.Command {
	config := soak.DefaultConfig()
	subcommand := cli.NewSubcommand("soak", "Run routers on the platform's stand-in under load and random faults, and check them.")
	attach(subcommand, &config)
	subcommand.Duration(&config.Duration, "", "for", "How long faults are injected")
	subcommand.UInt64(&config.Seed, "", "seed", "Seed of the faults")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return run(ctx, config)
	}}
}

func attach(subcommand *flaggy.Subcommand, config *soak.Config) {
	subcommand.String(&config.Shalefork, "s", "shalefork", "Path of the program shalefork")
	subcommand.Int(&config.Routers, "", "routers", "How many routers are run")
	subcommand.Int(&config.Rate, "r", "rate", "Requests per second")
}

func run(ctx context.Context, config soak.Config) cli.ExitCode {
	config.Output = os.Stdout
	if err := soak.Run(ctx, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
