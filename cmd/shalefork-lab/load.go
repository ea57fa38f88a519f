package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

func loadCommand() cli.Command {
	config := load.DefaultConfig()
	config.Pull = load.Pull{Bytes: 256 << 10, Stream: 700 * time.Millisecond}
	var bundleFile, historyURL string
	subcommand := cli.NewSubcommand("load", "Play the callers of a bundle's services; the report is JSON.")
	subcommand.String(&bundleFile, "b", "bundle", "The bundle, YAML")
	subcommand.StringSlice(&config.Gateways, "g", "gateway", "Address of a gateway, host:port; may be given again")
	subcommand.Float64(&config.Rate, "r", "rate", "New operations per second")
	subcommand.Duration(&config.Duration, "d", "duration", "How long new operations begin")
	subcommand.Int(&config.Keys, "k", "keys", "Keys of each keyed service")
	subcommand.Float64(&config.Skew, "", "skew", "Exponent of the keys' Zipf distribution, above 1")
	subcommand.Duration(&config.PullEvery, "", "pull-every", "Time between slow pulls; 0s for none")
	subcommand.Int64(&config.Pull.Bytes, "", "pull-bytes", "Length of a slow pull's body")
	subcommand.Duration(&config.Pull.Stream, "", "pull-stream", "Time over which a slow pull is sent")
	subcommand.UInt64(&config.Seed, "", "seed", "Seed of the random choices; names the requests too")
	subcommand.String(&historyURL, "", "history", "URL of the collector of histories")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		read, err := readBundle(bundleFile)
		if err != nil {
			return exitOf(err)
		}
		config.Bundle = read
		config.Recorder = history.NewRecorder(historyURL)
		report, err := load.Run(ctx, config)
		if err != nil {
			return exitOf(err)
		}
		return exitOf(json.NewEncoder(os.Stdout).Encode(report))
	}}
}

func readBundle(path string) (bundle.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.Bundle{}, load.Error.Wrap(err)
	}
	read, problems := bundle.Read(path, data)
	if len(problems) > 0 {
		return bundle.Bundle{}, load.Error.New("%s", strictyaml.Format(problems))
	}
	return read, nil
}
