// Package operator implements the operators' commands: keys, bundles, status and
// the check of settings. Each command writes its result to one writer, its
// complaint to another, and returns an exit code.
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

// ExitCode is what a command ends with, so that scripts can tell the cases
// apart.
type ExitCode = cli.ExitCode

// Exit codes of the commands.
const (
	// ExitOK: done.
	ExitOK ExitCode = 0
	// ExitRefused: the step was refused; trying the same again will not help.
	ExitRefused ExitCode = 1
	// ExitInvalid: the command line, a file or a bundle is invalid.
	ExitInvalid ExitCode = 2
	// ExitUnreachable: nobody could answer now; the same may be tried again.
	ExitUnreachable ExitCode = 3
)

// Output is where a command writes.
type Output struct {
	Result io.Writer
	Errors io.Writer
	// JSON asks for results as JSON rather than text.
	JSON bool
}

// Fail writes the error for people and returns the code that belongs to it.
func (o Output) Fail(err error) ExitCode {
	fmt.Fprintln(o.Errors, err)
	if errors.Is(err, registry.ErrUnavailable) {
		return ExitUnreachable
	}
	return ExitInvalid
}

// outcome writes how a step ended.
func (o Output) outcome(outcome lifecycle.Outcome, err error) ExitCode {
	switch {
	case err != nil:
		return o.Fail(err)
	case outcome.OK():
		return o.bundle(*outcome.Status)
	}
	fmt.Fprintf(o.Errors, "%s: %s\n", outcome.Kind, outcome.Message)
	if outcome.Status != nil {
		fmt.Fprintf(o.Errors, "version %d by %s is %s\n",
			outcome.Status.Version, outcome.Status.ProposedBy, outcome.Status.State)
	}
	return ExitRefused
}
