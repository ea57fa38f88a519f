// Package signals receives the signals of a router as early as a process can: its variables are initialized
// before packages that take longer. It imports nothing else for that reason. Until a signal is received,
// its default action ends the process.
//
// Other commands than the router keep the default actions.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// routerCommand is the command whose signals are received.
const routerCommand = "router"

// hangups and terminations receive signals from the initialization on. One waiting signal stands for all of
// its kind.
var (
	hangups      = make(chan os.Signal, 1)
	terminations = make(chan os.Signal, 1)

	_ = receive(os.Args)
)

// receive begins to receive the signals of a router. It returns false for other commands.
func receive(arguments []string) bool {
	if len(arguments) < 2 || arguments[1] != routerCommand {
		return false
	}
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	// A write to an output that nobody reads fails in place of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	return true
}

// Hangups receives SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// UntilTermination returns a context that ends with its parent, or once the process was told to end, also
// if that was before the call.
func UntilTermination(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		defer cancel()
		select {
		case <-terminations:
		case <-ctx.Done():
		}
	}()
	return ctx
}
