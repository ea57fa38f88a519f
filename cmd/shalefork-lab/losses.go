package main

import (
	"context"
	"fmt"
	"os"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lab/losses"
)

// lossesCommand prints where a simulated day lost worth, from its text report.
func lossesCommand() cli.Command {
	var file string
	subcommand := cli.NewSubcommand("losses", "Read the text report of a played day and print where its worth was lost, as Markdown.")
	subcommand.AddPositionalValue(&file, "report", 1, true, "The report's file")
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		if err := printLosses(file); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
			return 1
		}
		return 0
	}}
}

func printLosses(path string) error {
	report, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = report.Close() }()
	day, err := losses.Read(report)
	if err != nil {
		return err
	}
	return day.Write(os.Stdout)
}
