package main

import (
	"context"
	"os"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lab/scale"
)

func scaleCommand() cli.Command {
	config := scale.DefaultConfig()
	subcommand := cli.NewSubcommand("scale", "Run simulated nodes beside real ones, and measure what control costs.")
	subcommand.UInt64(&config.Seed, "", "seed", "Seed of the emulated runs")
	subcommand.String(&config.JSON, "j", "json", "Write the whole result to this file as JSON")
	subcommand.String(&config.Shalefork, "s", "shalefork", "Path of the program shalefork")
	subcommand.String(&config.Example, "e", "example", "Directory with the bundle of the real cell")
	subcommand.Int(&config.BasePort, "p", "base-port", "First of the ports to use on 127.0.0.1")
	subcommand.Bool(&config.SkipReal, "", "skip-real", "Leave out the cell of processes")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		self, err := os.Executable()
		if err != nil {
			return exitOf(err)
		}
		config.Lab = self
		config.Output = os.Stdout
		return exitOf(scale.Run(ctx, config))
	}}
}
