package main

import (
	"context"
	"os"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lab/demo"
)

func demoCommand() cli.Command {
	config := demo.DefaultConfig()
	var broken, loss string
	subcommand := cli.NewSubcommand("demo", "Run a whole cell under load and faults, and check it.")
	subcommand.Int(&config.BasePort, "p", "base-port", "First of the ports to use on 127.0.0.1")
	subcommand.String(&config.Shalefork, "s", "shalefork", "Path of the program shalefork")
	subcommand.String(&config.Example, "e", "example", "Directory with the bundles and the settings, or its name in examples")
	subcommand.Float64(&config.Rate, "r", "rate", "New operations per second")
	subcommand.String(&broken, "b", "break", "Break a rule on purpose: ignore-fences")
	subcommand.Duration(&config.Soak, "", "soak", "Play random faults for this long in place of the fixed ones")
	subcommand.String(&loss, "", "loss", "Kill again and again in place of the fixed steps: owner, leader or both")
	subcommand.Int(&config.Repeat, "", "repeat", "How often --loss kills")
	subcommand.UInt64(&config.Seed, "", "seed", "Seed of the random faults and of the callers")
	subcommand.Bool(&config.Keep, "k", "keep", "Keep the directory with settings and logs")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		self, err := os.Executable()
		if err != nil {
			return exitOf(err)
		}
		config.Lab = self
		config.Example = demo.ExampleDirectory(config.Example)
		config.Loss = demo.Loss(loss)
		config.Break = demo.Break(broken)
		config.Output = os.Stdout
		return exitOf(demo.Run(ctx, config))
	}}
}
