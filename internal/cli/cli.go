// Package cli runs one of a program's commands under a context that SIGTERM
// and SIGINT end, and exits with the command's code.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// ExitCode is what a program ends with.
type ExitCode int

// ExitUsage is the code of a command line that makes no sense.
const ExitUsage ExitCode = 2

// Command is one leaf of the tree of subcommands.
type Command struct {
	Subcommand *flaggy.Subcommand
	// Run does the work. Its context ends on SIGTERM or SIGINT.
	Run func(ctx context.Context) ExitCode
}

// Program is a parser with its commands.
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

// Add attaches a command at the top level.
func (p *Program) Add(command Command) {
	p.parser.AttachSubcommand(command.Subcommand, 1)
	p.commands = append(p.commands, command)
}

// AddGroup attaches a subcommand that only holds others.
func (p *Program) AddGroup(name, description string, commands ...Command) {
	group := flaggy.NewSubcommand(name)
	group.Description = description
	for _, command := range commands {
		group.AttachSubcommand(command.Subcommand, 1)
	}
	p.parser.AttachSubcommand(group, 1)
	p.commands = append(p.commands, commands...)
}

// Main parses the arguments, runs the command that they name and exits.
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

// NewSubcommand returns a subcommand with its description.
func NewSubcommand(name, description string) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	return subcommand
}
