package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/platform"
)

// machinesFlags say how to change the machine list.
type machinesFlags struct {
	platform string
	set      []string
	remove   []string
	lag      time.Duration
}

// keepLag leaves the lag of the list as it is.
const keepLag time.Duration = -1

func machinesCommand() cli.Command {
	flags := &machinesFlags{platform: "http://127.0.0.1:19000", lag: keepLag}
	subcommand := cli.NewSubcommand("machines", "Change and show the machine list of a running kv; the list is JSON lines.")
	subcommand.String(&flags.platform, "p", "platform", "Base URL of the stand-in")
	subcommand.StringSlice(&flags.set, "s", "set", "ADDRESS=live or ADDRESS=leaving, with @ZONE behind; may be given again")
	subcommand.StringSlice(&flags.remove, "r", "remove", "Address to take off the list; may be given again")
	subcommand.Duration(&flags.lag, "", "lag", "How late the list shows this and later changes")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return exitOf(flags.run(ctx))
	}}
}

func (f *machinesFlags) run(ctx context.Context) error {
	change, wanted, err := f.change()
	if err != nil {
		return err
	}
	if wanted {
		if err := kv.Steer(ctx, http.DefaultClient, f.platform, kv.Control{Machines: &change}); err != nil {
			return err
		}
	}
	machines, err := platform.NewClient(f.platform, http.DefaultClient).Machines(ctx)
	if err != nil {
		return err
	}
	writer := json.NewEncoder(os.Stdout)
	for _, machine := range machines {
		if err := writer.Encode(machine); err != nil {
			return err
		}
	}
	return nil
}

// change returns the change that the flags ask for, and false for none.
func (f *machinesFlags) change() (kv.Machines, bool, error) {
	change := kv.Machines{Remove: f.remove}
	for _, text := range f.set {
		machine, err := kv.ParseMachine(text)
		if err != nil {
			return change, false, err
		}
		change.Set = append(change.Set, machine)
	}
	if f.lag != keepLag {
		lag := bundle.Duration(f.lag)
		change.Lag = &lag
	}
	return change, change.Lag != nil || len(change.Set)+len(change.Remove) > 0, nil
}
