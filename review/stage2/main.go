//go:build review

// Command stage2 runs the scripted cases of the second review: it starts routers and workers as processes
// on loopback addresses, plays callers, operator and store, and checks what they have seen.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stage2 worker|popular ...")
		os.Exit(exitCannotRun)
	}
	switch os.Args[1] {
	case "worker":
		runWorker(os.Args[2:])
	case "popular":
		os.Exit(runPopular(os.Args[2:]))
	default:
		fmt.Fprintln(os.Stderr, "unknown command:", os.Args[1])
		os.Exit(exitCannotRun)
	}
}
