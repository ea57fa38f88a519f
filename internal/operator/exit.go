// Package operator implements the operators' commands: keys, bundles, status
// and the check of settings. Each command writes its result to one writer, its
// complaint to another, and returns an exit code.
package operator

import (
	"errors"
	"fmt"
	"io"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/cli"
	"github.com/zeebo/errs"
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
	// ExitRefused: the system refused or the action failed; trying the same
	// again will not help.
	ExitRefused ExitCode = 1
	// ExitInvalid: the command line, a file or a bundle is invalid.
	ExitInvalid ExitCode = 2
	// ExitUnreachable: nobody could answer now; the same may be tried again.
	ExitUnreachable ExitCode = 3
)

// Output is where a command writes.
type Output struct {
	Result    io.Writer
	Complaint io.Writer
	// JSON asks for results as JSON rather than text.
	JSON bool
}

// Fail writes the error for people and returns the code that belongs to it.
func (o Output) Fail(err error) ExitCode {
	var failure *FailureError
	if errors.As(err, &failure) {
		return o.failFromServer(failure.Failure)
	}
	fmt.Fprintln(o.Complaint, err)
	if errors.Is(err, ErrUnreachable) {
		return ExitUnreachable
	}
	return ExitInvalid
}

func (o Output) failFromServer(failure adminapi.Failure) ExitCode {
	fmt.Fprintf(o.Complaint, "%s: %s\n", failure.Code, failure.Message)
	if failure.Winner != nil {
		fmt.Fprintf(o.Complaint, "version %d by %s is %s\n",
			failure.Winner.Version, failure.Winner.ProposedBy, failure.Winner.State)
	}
	if failure.RetryAfter > 0 {
		fmt.Fprintf(o.Complaint, "try again in %d s\n", failure.RetryAfter)
	}
	return exitOf(failure.Code)
}

func exitOf(code adminapi.FailureCode) ExitCode {
	switch code {
	case adminapi.FailurePlatform, adminapi.FailureNoLeader:
		return ExitUnreachable
	case adminapi.FailureInvalid:
		return ExitInvalid
	default:
		return ExitRefused
	}
}
