package demo

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/lab/process"
)

// slot is the place of one process, which a new one on the same settings takes
// when it has ended.
type slot struct {
	name  string
	spawn func() (*process.Process, error)
	// control is the URL that steers a server; empty for others.
	control string
	// metrics is the URL of the counters; empty for servers.
	metrics string

	// faulty is held while a fault has the process.
	faulty sync.Mutex

	mu      sync.Mutex
	process *process.Process
}

func (s *slot) current() *process.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// replace starts a new process in place of one that has ended.
func (s *slot) replace() error {
	started, err := s.spawn()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process = started
	return nil
}

// kill ends the process at once and replaces it after a time.
func (s *slot) kill(ctx context.Context, absent time.Duration) error {
	if err := s.current().Kill(); err != nil {
		return err
	}
	pause(ctx, absent)
	return s.replace()
}

// hold stops the process for a time, after which it goes on unaware.
func (s *slot) hold(ctx context.Context, held time.Duration) error {
	running := s.current()
	if err := running.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause(ctx, held)
	return running.Signal(syscall.SIGCONT)
}

// stop asks the process to end, and replaces it after a time. A process that
// does not end by itself, or ends with a failure, is an error.
func (s *slot) stop(ctx context.Context, absent time.Duration) error {
	running := s.current()
	if err := running.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	ended := running.Wait(limited)
	if err := running.Kill(); err != nil {
		return err
	}
	pause(ctx, absent)
	if err := s.replace(); err != nil {
		return err
	}
	if ended != nil {
		return Error.New("%s did not end well after SIGTERM: %v", s.name, ended)
	}
	return nil
}

// stopLimit is how long a process may take to end after SIGTERM.
const stopLimit = 12 * time.Second
