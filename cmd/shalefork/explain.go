package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/explain"
)

// explainCommand shows what happened to a request, or the state of processes at a time, from log
// lines.
func explainCommand() cli.Command {
	var file, request, around string
	subcommand := cli.NewSubcommand("explain", "Show a request's course, or what the processes believed, from their logs.")
	subcommand.AddPositionalValue(&file, "file", 1, false, "Log lines of one or many processes; else standard input")
	subcommand.String(&request, "r", "request", "The request's id")
	subcommand.String(&around, "a", "around", "A time such as 2026-07-02T04:30:20Z, by the processes' clocks")
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		return reportError(runExplain(file, request, around))
	}}
}

func runExplain(file, request, around string) error {
	if (request == "") == (around == "") {
		return explain.Error.New("name either --request or --around")
	}
	var reader io.Reader = os.Stdin
	if file != "" {
		input, err := os.Open(file)
		if err != nil {
			return explain.Error.Wrap(err)
		}
		defer func() { _ = input.Close() }()
		reader = input
	}
	lines, skipped, err := explain.Read(reader)
	if err != nil {
		return err
	}
	selected, err := selectLines(lines, request, around)
	if err != nil {
		return err
	}
	if len(selected) == 0 {
		return explain.Error.Wrap(explain.Error.New("no line tells of it, in %d lines (%d more are no log lines)", len(lines), skipped))
	}
	fmt.Println("times are those of each process's own clock")
	return explain.Write(os.Stdout, selected)
}

// selectLines returns the lines about a request, or those around a time if request is empty.
func selectLines(lines []explain.Line, request, around string) ([]explain.Line, error) {
	if request != "" {
		return explain.TraceRequest(lines, request), nil
	}
	at, err := time.Parse(time.RFC3339, around)
	if err != nil {
		return nil, explain.Error.Wrap(err)
	}
	return explain.StateAt(lines, at), nil
}
