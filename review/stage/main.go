//go:build review

// Command stage plays the cases of the review that can't be put as a day for the bench: it starts
// routers as separate processes beside stand-ins of the platform's store, workers and clients, and
// judges one rule by what the stand-ins saw. See ../REPORT.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns what broke the rule; trouble tells whether to play the
// disruption.
var cases = map[string]func(s *stage, trouble bool) ([]string, error){}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/shalefork", "the router's program")
	recordPath := flag.String("record", "record.txt", "the file that records what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.StringVar(&skipped, "skip", "", "a part of the disruption to leave out")
	flag.Parse()
	os.Exit(play(*name, *program, *recordPath, *trouble))
}

// skipped is a part of the disruption that is not played, to see which parts matter.
var skipped string

func play(name, program, recordPath string, trouble bool) int {
	run, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	s, err := newStage(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitFailed)
	}()
	broken, err := run(s, trouble)
	s.close()
	switch {
	case err != nil:
		s.record.add("failed: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case len(broken) > 0:
		for _, line := range broken {
			s.record.add("broken: %s", line)
			fmt.Println(line)
		}
		return exitBroken
	}
	s.record.add("held")
	fmt.Println("the rule held")
	return exitHeld
}
