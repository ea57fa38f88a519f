// Package operator implements the operators' commands: keys, bundles, status, quarantine and
// the check of settings. Each command writes its result to one writer, its errors to another,
// and returns an exit code.
package operator

import (
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/cli"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/registry"
)

// Error is the class of errors of this package.
var Error = errs.Class("operator")

// ExitCode is the exit code of a command, by which scripts distinguish the outcomes.
type ExitCode = cli.ExitCode

// Exit codes of the commands.
const (
	// ExitOK: the command succeeded.
	ExitOK ExitCode = 0
	// ExitRefused: the step was refused; retrying it will not help.
	ExitRefused ExitCode = 1
	// ExitInvalid: the command line, a file or a bundle is invalid.
	ExitInvalid ExitCode = 2
	// ExitUnreachable: the key-value service could not be reached; the command may be retried.
	ExitUnreachable ExitCode = 3
)

// Output holds the writers of a command's result and errors.
type Output struct {
	Result io.Writer
	Errors io.Writer
	// JSON selects JSON rather than text for results.
	JSON bool
}

// Fail writes the error as text and returns its exit code.
func (o Output) Fail(err error) ExitCode {
	fmt.Fprintln(o.Errors, err)
	if errors.Is(err, registry.ErrUnavailable) {
		return ExitUnreachable
	}
	return ExitInvalid
}

// printOutcome writes the outcome of a step and returns its exit code.
func (o Output) printOutcome(outcome lifecycle.Outcome, err error) ExitCode {
	switch {
	case err != nil:
		return o.Fail(err)
	case outcome.OK():
		return o.printBundle(*outcome.Status)
	}
	fmt.Fprintf(o.Errors, "%s: %s\n", outcome.Kind, outcome.Message)
	if outcome.Status != nil {
		fmt.Fprintf(o.Errors, "version %d by %s is %s\n",
			outcome.Status.Version, outcome.Status.ProposedBy, outcome.Status.State)
	}
	return ExitRefused
}
