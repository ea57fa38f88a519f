// Package process runs the child processes of a test on this machine and leaves none of them
// running. Each child is stopped and waited for by its process ID, and the kernel kills it if the
// test itself is killed.
package process

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("lab process")

// Spec describes a child process to start.
type Spec struct {
	// Name identifies the child in messages and file names.
	Name string
	Path string
	Args []string
	// LogPath is the file that standard error is appended to; empty discards it.
	LogPath string
	// OutputPath is the file that standard output is appended to; empty discards it.
	OutputPath string
}

// Process is a child process.
type Process struct {
	spec    Spec
	command *exec.Cmd
	files   []*os.File
	// ended is closed once the child has been waited for; err is set before that.
	ended chan struct{}
	err   error
}

// Name returns the name in the spec.
func (p *Process) Name() string {
	return p.spec.Name
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal. It returns no error if the child has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if err == os.ErrProcessDone {
		return nil
	}
	return Error.Wrap(err)
}

// Ended reports whether the child has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits for the child to end and returns its error, or that of ctx if ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Kill kills the child and waits for it, even if a signal has stopped the child.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Stop sends SIGTERM to the child and kills it if it is still running after grace.
func (p *Process) Stop(grace time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	// A child that is stopped handles the signal only once it is continued.
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(grace):
		return p.Kill()
	}
}

func (p *Process) wait() {
	p.err = Error.Wrap(p.command.Wait())
	for _, file := range p.files {
		_ = file.Close()
	}
	close(p.ended)
}

// Group starts child processes and stops all of them. It is safe for concurrent use.
type Group struct {
	starter starter

	mu       sync.Mutex
	children []*Process
	closed   bool
}

// NewGroup returns an empty group. The caller must call Close.
func NewGroup() *Group {
	return &Group{starter: newStarter()}
}

// Start starts a child. It returns an error once the group is closed.
func (g *Group) Start(spec Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, Error.New("the group is closed")
	}
	child, err := newProcess(spec)
	if err != nil {
		return nil, err
	}
	if err := g.starter.start(child.command); err != nil {
		return nil, Error.Wrap(err)
	}
	go child.wait()
	g.children = append(g.children, child)
	return child, nil
}

func newProcess(spec Spec) (*Process, error) {
	child := &Process{
		spec:    spec,
		command: exec.Command(spec.Path, spec.Args...),
		ended:   make(chan struct{}),
	}
	child.command.SysProcAttr = &syscall.SysProcAttr{
		// The child gets its own process group, so that Ctrl-C at the terminal reaches only the
		// test, which then stops its children in order.
		Setpgid: true,
		// The kernel kills the child if the test is killed.
		Pdeathsig: syscall.SIGKILL,
	}
	output, err := child.create(spec.OutputPath)
	if err != nil {
		return nil, err
	}
	log, err := child.create(spec.LogPath)
	if err != nil {
		return nil, err
	}
	if output != nil {
		child.command.Stdout = output
	}
	if log != nil {
		child.command.Stderr = log
	}
	return child, nil
}

func (p *Process) create(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	const mode = 0o600
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, mode)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p.files = append(p.files, file)
	return file, nil
}

// Close stops all children concurrently, kills those that are still running after grace, and waits
// for each of them. It returns the process IDs of children that are still running, which can only
// happen if a signal could not be sent.
func (g *Group) Close(grace time.Duration) []int {
	g.mu.Lock()
	g.closed = true
	children := g.children
	g.mu.Unlock()
	var stopping sync.WaitGroup
	for _, child := range children {
		stopping.Go(func() { _ = child.Stop(grace) })
	}
	stopping.Wait()
	g.starter.close()
	var running []int
	for _, child := range children {
		if !child.Ended() {
			running = append(running, child.PID())
		}
	}
	return running
}
