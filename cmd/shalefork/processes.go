package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"
	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/controller"
	"github.com/shalefork/shalefork/internal/gateway"
	"github.com/shalefork/shalefork/internal/operator"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/telemetry"
)

// settingsFlags are the file of settings and the flags that win over it.
type settingsFlags struct {
	file  string
	texts []textFlag
}

// textFlag is a flag that overrides one field.
type textFlag struct {
	field string
	value string
}

// commonFields of every process's settings that flags can override. The token
// is not one of them: a command line can be read by others.
var commonFields = []string{"cell", "zone", "machine", "log_level", "listen"}

func (f *settingsFlags) attach(subcommand *flaggy.Subcommand, fields ...string) {
	subcommand.String(&f.file, "s", "settings", "The settings file, YAML")
	f.texts = make([]textFlag, 0, len(commonFields)+len(fields))
	for _, field := range append(commonFields, fields...) {
		f.texts = append(f.texts, textFlag{field: field})
	}
	for index := range f.texts {
		flag := &f.texts[index]
		subcommand.String(&flag.value, "", settings.FlagName(flag.field)[2:], "Overrides "+flag.field+" of the settings")
	}
}

func (f *settingsFlags) overrides() []settings.Override {
	var overrides []settings.Override
	for _, flag := range f.texts {
		if flag.value != "" {
			overrides = append(overrides, settings.TextOverride(flag.field, flag.value))
		}
	}
	return overrides
}

func (f *settingsFlags) read() ([]byte, error) {
	data, err := os.ReadFile(f.file)
	if err != nil {
		return nil, settings.Error.Wrap(err)
	}
	return data, nil
}

func gatewayCommand() cli.Command {
	flags := &settingsFlags{}
	subcommand := cli.NewSubcommand("gateway", "Run a gateway until SIGTERM, then drain it.")
	flags.attach(subcommand, "peer_listen", "controllers")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return exitOf(runGateway(ctx, flags))
	}}
}

func runGateway(ctx context.Context, flags *settingsFlags) error {
	data, err := flags.read()
	if err != nil {
		return err
	}
	config, err := settings.ReadGateway(flags.file, data, flags.overrides())
	if err != nil {
		return err
	}
	registry := telemetry.NewRegistry()
	process, err := gateway.New(config, gateway.Dependencies{
		Clock:      clock.NewSystem(),
		Logger:     newLogger("gateway", config.Common, config.Listen),
		Registerer: registry,
		Gatherer:   registry,
	})
	if err != nil {
		return err
	}
	return runError(process.Run(ctx))
}

func controllerCommand() cli.Command {
	flags := &settingsFlags{}
	subcommand := cli.NewSubcommand("controller", "Run a replica of the control group, or a standby, until SIGTERM.")
	flags.attach(subcommand, "platform")
	return cli.Command{Subcommand: subcommand, Run: func(ctx context.Context) cli.ExitCode {
		return exitOf(runController(ctx, flags))
	}}
}

func runController(ctx context.Context, flags *settingsFlags) error {
	data, err := flags.read()
	if err != nil {
		return err
	}
	config, err := settings.ReadController(flags.file, data, flags.overrides())
	if err != nil {
		return err
	}
	store := platform.NewClient(config.Platform, &http.Client{})
	process, err := controller.New(config, controller.Dependencies{
		Store:      store,
		Machines:   store,
		Clock:      clock.NewSystem(),
		Logger:     newLogger("controller", config.Common, config.Listen),
		Registerer: telemetry.NewRegistry(),
	})
	if err != nil {
		return err
	}
	return runError(process.Run(ctx))
}

// newLogger returns a logger whose lines name the process by its role and its
// address.
func newLogger(role string, common settings.Common, listen string) *log.Logger {
	return telemetry.NewLogger(role+"/"+listen, common.LogLevel)
}

// stopped is an error of a process that ran, unlike one that could not start.
type stopped struct {
	error
}

func runError(err error) error {
	if err == nil {
		return nil
	}
	return stopped{err}
}

func exitOf(err error) cli.ExitCode {
	if err == nil {
		return operator.ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	if _, ran := err.(stopped); ran {
		return operator.ExitRefused
	}
	return operator.ExitInvalid
}
