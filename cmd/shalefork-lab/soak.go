package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/platform/soak"
)

// demoCommand runs routers under each kind of fault in turn.
func demoCommand() cli.Command {
	config := soak.DefaultConfig()
	config.Sequential = true
	var brokenRule string
	subcommand := cli.NewSubcommand("demo", "Run routers on the platform's stand-in under load and each kind of fault in turn, and check them.")
	addFlags(subcommand, &config)
	subcommand.String(&brokenRule, "b", "break", "Break a rule on purpose, so that the checks fail: ignore-releases, leave-unseen or cut-stops")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		config.Break = soak.Break(brokenRule)
		return run(ctx, config)
	}}
}

// soakCommand runs routers under random faults.
func soakCommand() cli.Command {
	config := soak.DefaultConfig()
	subcommand := cli.NewSubcommand("soak", "Run routers on the platform's stand-in under load and random faults, and check them.")
	addFlags(subcommand, &config)
	var brokenRule string
	subcommand.String(&brokenRule, "b", "break", "Break a rule on purpose, so that the checks fail: ignore-releases, leave-unseen or cut-stops")
	subcommand.StringSlice(&config.Faults, "", "faults", "Kinds of faults that are drawn, by name; all if none is named")
	subcommand.StringSlice(&config.Parts, "", "with", "Parts that are played beside: tenants, bodies, regions, lives, limits, notices, surplus or intake; may be given more than once")
	subcommand.String(&config.Replay, "", "replay", "File of a run whose plan is played again")
	subcommand.String(&config.Record, "", "record", "File that takes the plan and the verdict")
	subcommand.Duration(&config.Duration, "", "for", "How long faults are injected")
	subcommand.UInt64(&config.Seed, "", "seed", "Seed of the faults")
	subcommand.Int(&config.HarmfulRequests, "", "harmful", "How many requests crash the workers that run them")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		config.Break = soak.Break(brokenRule)
		return run(ctx, config)
	}}
}

func addFlags(subcommand *flaggy.Subcommand, config *soak.Config) {
	subcommand.String(&config.ProgramPath, "s", "shalefork", "Path of the program shalefork")
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
