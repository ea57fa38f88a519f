package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/operator"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/router"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/platform"
)

// storeTimeout limits how long a command uses the key-value service.
const storeTimeout = 10 * time.Second

// reportError writes err, if any, to standard error and returns the exit code.
func reportError(err error) cli.ExitCode {
	if err == nil {
		return operator.ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return operator.ExitInvalid
}

// storeFlags are the flags of commands that call the key-value service.
type storeFlags struct {
	file string
	json bool
}

func (f *storeFlags) addFlags(subcommand *flaggy.Subcommand) {
	subcommand.String(&f.file, "s", "settings", "Settings of a router, YAML, which name the service; else "+settingsVariable+" names them")
	subcommand.Bool(&f.json, "j", "json", "Write JSON")
}

func (f *storeFlags) output() operator.Output {
	return operator.Output{Result: os.Stdout, Errors: os.Stderr, JSON: f.json}
}

// withStore calls action with the key-value service and a context that ends after storeTimeout.
func (f *storeFlags) withStore(ctx context.Context, action func(context.Context, operator.Output, *platform.Store) operator.ExitCode) operator.ExitCode {
	config, _, err := readSettings(settingsFile(f.file))
	if err != nil {
		return f.output().Fail(err)
	}
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return action(bounded, f.output(), platform.NewStore(config.Store))
}

// settingsFile returns the path in a flag, or that in the environment if the flag is empty.
func settingsFile(flag string) string {
	if flag != "" {
		return flag
	}
	return os.Getenv(settingsVariable)
}

// readSettings reads a settings file and returns the settings and the file's content.
func readSettings(file string) (settings.Router, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Router{}, nil, settings.Error.Wrap(err)
	}
	config, err := settings.ReadRouter(file, data, nil)
	return config, data, err
}

// signingFlags are the flags of commands that write on behalf of an operator.
type signingFlags struct {
	storeFlags
	name    string
	keyFile string
}

func (f *signingFlags) addFlags(subcommand *flaggy.Subcommand) {
	f.storeFlags.addFlags(subcommand)
	subcommand.String(&f.name, "o", "operator", "Name of the operator")
	subcommand.String(&f.keyFile, "k", "key", "File with the operator's key")
}

// signedAction accesses the bundles on behalf of an operator.
type signedAction func(ctx context.Context, output operator.Output, bundles *registry.Registry, signer registry.Operator) operator.ExitCode

func (f *signingFlags) withRegistry(ctx context.Context, action signedAction) operator.ExitCode {
	signer, err := operator.LoadIdentity(f.name, f.keyFile)
	if err != nil {
		return f.output().Fail(err)
	}
	return f.storeFlags.withStore(ctx, func(ctx context.Context, output operator.Output, store *platform.Store) operator.ExitCode {
		return action(ctx, output, registry.New(store, router.KeyPrefix), signer)
	})
}

func bundleCommands() []cli.Command {
	return []cli.Command{
		bundleCheckCommand(),
		bundleFileCommand("propose", "Offer a bundle as the team's next version.", operator.Propose),
		bundleFileCommand("approve", "Sign off a proposed version; another operator than its proposer.", operator.Approve),
		bundleRollCommand(),
		bundleTeamCommand("status", "Show a team's newest version and its state.", operator.BundleStatus),
		bundleTeamCommand("history", "Show all versions of a team.", operator.BundleHistory),
	}
}

func bundleCheckCommand() cli.Command {
	var file string
	subcommand := cli.NewSubcommand("check", "Check a bundle's file and print its digest.")
	subcommand.AddPositionalValue(&file, "file", 1, true, "The bundle, YAML")
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		return operator.CheckBundle(new(storeFlags).output(), file)
	}}
}

// fileAction processes a bundle's file on behalf of an operator.
type fileAction func(ctx context.Context, output operator.Output, bundles *registry.Registry, signer registry.Operator, file string) operator.ExitCode

func bundleFileCommand(name, help string, action fileAction) cli.Command {
	var file string
	flags := &signingFlags{}
	subcommand := cli.NewSubcommand(name, help)
	subcommand.AddPositionalValue(&file, "file", 1, true, "The bundle, YAML")
	flags.addFlags(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return flags.withRegistry(ctx, func(ctx context.Context, output operator.Output, bundles *registry.Registry, signer registry.Operator) operator.ExitCode {
			return action(ctx, output, bundles, signer, file)
		})
	}}
}

func bundleRollCommand() cli.Command {
	var team, version string
	flags := &signingFlags{}
	subcommand := cli.NewSubcommand("roll", "Put an approved version into force.")
	subcommand.AddPositionalValue(&team, "team", 1, true, "The team")
	subcommand.AddPositionalValue(&version, "number", 2, true, "The version's number")
	flags.addFlags(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		number, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return flags.output().Fail(operator.Error.New("the version must be a number"))
		}
		return flags.withRegistry(ctx, func(ctx context.Context, output operator.Output, bundles *registry.Registry, signer registry.Operator) operator.ExitCode {
			return operator.Roll(ctx, output, bundles, signer, bundle.TeamName(team), bundle.Version(number))
		})
	}}
}

// teamAction shows information about a team.
type teamAction func(ctx context.Context, output operator.Output, bundles *registry.Registry, team bundle.TeamName) operator.ExitCode

func bundleTeamCommand(name, help string, action teamAction) cli.Command {
	var team string
	flags := &storeFlags{}
	subcommand := cli.NewSubcommand(name, help)
	subcommand.AddPositionalValue(&team, "team", 1, true, "The team")
	flags.addFlags(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return flags.withStore(ctx, func(ctx context.Context, output operator.Output, store *platform.Store) operator.ExitCode {
			return action(ctx, output, registry.New(store, router.KeyPrefix), bundle.TeamName(team))
		})
	}}
}

func statusCommand() cli.Command {
	flags := &storeFlags{}
	subcommand := cli.NewSubcommand("status", "Show who leads and who owns which keys.")
	flags.addFlags(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return flags.withStore(ctx, func(ctx context.Context, output operator.Output, store *platform.Store) operator.ExitCode {
			announced := operator.WorkerEntries{Prefix: platform.WorkersPrefix, Parse: platform.ParseWorker}
			return operator.Status(ctx, output, store, router.KeyPrefix, announced, peerlink.QueryNotices)
		})
	}}
}

func quarantineCommands() []cli.Command {
	return []cli.Command{quarantineListCommand(), quarantineLiftCommand()}
}

func quarantineListCommand() cli.Command {
	flags := &storeFlags{}
	subcommand := cli.NewSubcommand("list", "Show the requests that were under way at crashes, and those that are sent no longer.")
	flags.addFlags(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return flags.withStore(ctx, func(ctx context.Context, output operator.Output, store *platform.Store) operator.ExitCode {
			return operator.ListSuspects(ctx, output, store, router.KeyPrefix)
		})
	}}
}

func quarantineLiftCommand() cli.Command {
	var fingerprint string
	flags := &storeFlags{}
	subcommand := cli.NewSubcommand("lift", "Let a request be sent again.")
	subcommand.AddPositionalValue(&fingerprint, "fingerprint", 1, true, "The request, as list shows it")
	flags.addFlags(subcommand)
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return flags.withStore(ctx, func(ctx context.Context, output operator.Output, store *platform.Store) operator.ExitCode {
			return operator.LiftQuarantine(ctx, output, store, router.KeyPrefix, fingerprint)
		})
	}}
}

func configCheckCommand() cli.Command {
	var file string
	subcommand := cli.NewSubcommand("check", "Check a settings file.")
	subcommand.AddPositionalValue(&file, "file", 1, true, "The settings, YAML")
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		return operator.CheckConfig(new(storeFlags).output(), file)
	}}
}

func tenantCommands() []cli.Command {
	return []cli.Command{
		apiKeyCommand("keygen", "Write a new API key to a file and print its digest for a bundle.", "The file to make", operator.GenerateAPIKey),
		apiKeyCommand("digest", "Print the digest of the API key in a file.", "The file with the key", operator.DigestAPIKey),
	}
}

func apiKeyCommand(name, help, fileHelp string, action func(operator.Output, string) operator.ExitCode) cli.Command {
	var file string
	subcommand := cli.NewSubcommand(name, help)
	subcommand.AddPositionalValue(&file, "file", 1, true, fileHelp)
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		return action(new(storeFlags).output(), file)
	}}
}

func operatorKeygenCommand() cli.Command {
	var file string
	subcommand := cli.NewSubcommand("keygen", "Write a new key to a file and print its public key.")
	subcommand.AddPositionalValue(&file, "file", 1, true, "The file to make")
	return cli.Command{Subcommand: subcommand, Run: func(context.Context) cli.ExitCode {
		return operator.GenerateKey(new(storeFlags).output(), file)
	}}
}
