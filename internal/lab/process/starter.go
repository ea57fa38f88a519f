package process

import (
	"os/exec"
	"runtime"
)

// starter starts all children from one thread that runs until close. With Pdeathsig, the kernel
// kills a child when the thread that started it ends, even if the parent process is still running.
type starter struct {
	requests chan startRequest
}

type startRequest struct {
	command *exec.Cmd
	result  chan error
}

func newStarter() starter {
	s := starter{requests: make(chan startRequest)}
	go s.run()
	return s
}

func (s starter) run() {
	runtime.LockOSThread()
	for request := range s.requests {
		request.result <- request.command.Start()
	}
}

func (s starter) start(command *exec.Cmd) error {
	request := startRequest{command: command, result: make(chan error, 1)}
	s.requests <- request
	return <-request.result
}

func (s starter) close() {
	close(s.requests)
}
