package main

import (
	"context"
	"errors"

	"github.com/shalefork/shalefork/internal/cli"
)

// errNotBuilt is the answer of a command that has no content yet.
var errNotBuilt = errors.New("not built yet")

func experimentCommand() cli.Command {
	subcommand := cli.NewSubcommand("experiment", "Play a schedule of faults and take the measures.")
	return notBuilt(cli.Command{Subcommand: subcommand})
}

func notBuilt(command cli.Command) cli.Command {
	command.Run = func(context.Context) cli.ExitCode {
		return exitOf(errNotBuilt)
	}
	return command
}
