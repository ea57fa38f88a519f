package main

import (
	"context"
	"os"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lab/experiment"
)

func experimentCommand() cli.Command {
	options := experiment.Options{Output: os.Stdout}
	subcommand := cli.NewSubcommand("experiment", "Play schedules of faults in virtual time and take the measures.")
	subcommand.StringSlice(&options.Scenarios, "s", "scenario", "A scenario, YAML; may be given again; none means the built-in ones")
	subcommand.StringSlice(&options.Variants, "v", "variant", "A variant by name; may be given again")
	subcommand.Int(&options.Seeds, "n", "seeds", "Runs of each scenario and variant; 0 for the usual number")
	subcommand.Int(&options.Parallel, "p", "parallel", "Runs at a time; 0 for half of the cores")
	subcommand.String(&options.Directory, "d", "directory", "Directory for results.json and the plots")
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		return exitOf(experiment.Run(options))
	}}
}
