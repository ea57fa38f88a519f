// Package cli runs one of a program's commands with a context that SIGTERM and SIGINT cancel, and
// exits with the command's exit code.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// ExitCode is the exit code of a program.
type ExitCode int

// ExitUsage is the exit code for an invalid command line.
const ExitUsage ExitCode = 2

// Command is a subcommand that runs, a leaf of the tree of subcommands.
type Command struct {
	Subcommand *flaggy.Subcommand
	// Run runs the command. SIGTERM and SIGINT cancel its context.
	Run func(ctx context.Context) ExitCode
}

// Program is a command-line parser with its commands.
type Program struct {
	parser   *flaggy.Parser
	commands []Command
}

// NewProgram returns a program without commands.
func NewProgram(name, description string) *Program {
	parser := flaggy.NewParser(name)
	parser.Description = description
	return &Program{parser: parser}
}

// Add adds a command at the top level.
func (p *Program) Add(command Command) {
	p.parser.AttachSubcommand(command.Subcommand, 1)
	p.commands = append(p.commands, command)
}

// AddGroup adds a subcommand that only groups commands.
func (p *Program) AddGroup(name, description string, commands ...Command) {
	group := flaggy.NewSubcommand(name)
	group.Description = description
	for _, command := range commands {
		group.AttachSubcommand(command.Subcommand, 1)
	}
	p.parser.AttachSubcommand(group, 1)
	p.commands = append(p.commands, commands...)
}

// Main parses the arguments, runs the command that they select and exits.
func (p *Program) Main(arguments []string) {
	if err := p.parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(ExitUsage))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := p.run(ctx)
	stop()
	os.Exit(int(code))
}

func (p *Program) run(ctx context.Context) ExitCode {
	for _, command := range p.commands {
		if command.Subcommand == p.parser.TrailingSubcommand() {
			return command.Run(ctx)
		}
	}
	p.parser.ShowHelp()
	return ExitUsage
}

// NewSubcommand returns a subcommand with a name and a description.
func NewSubcommand(name, description string) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	return subcommand
}
