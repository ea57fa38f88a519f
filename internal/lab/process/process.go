// Package process starts the processes of a test on this machine and leaves
// none behind: each is stopped and waited for by its id, and the kernel kills
// it should the test itself be killed.
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

// Spec says what to start.
type Spec struct {
	// Name is for people and for the file that takes standard error.
	Name string
	Path string
	Args []string
	// LogPath takes standard error; empty discards it.
	LogPath string
	// OutputPath takes standard output; empty discards it.
	OutputPath string
}

// Process is one child.
type Process struct {
	spec    Spec
	command *exec.Cmd
	files   []*os.File
	// ended is closed once the child was waited for; err is set before.
	ended chan struct{}
	err   error
}

// Name returns the name in the spec.
func (p *Process) Name() string {
	return p.spec.Name
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal. A child that has ended is no error.
func (p *Process) Signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if err == os.ErrProcessDone {
		return nil
	}
	return Error.Wrap(err)
}

// Ended reports whether the child is gone.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait returns the child's error once it has ended, or that of ctx.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Kill ends the child at once and waits for it. It works on a stopped one too.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Stop asks the child to end, and kills it if it has not after grace.
func (p *Process) Stop(grace time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	// A stopped child takes the signal only after it was continued.
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

// Group starts children and ends all of them. It is safe for concurrent use.
type Group struct {
	starter starter

	mu       sync.Mutex
	children []*Process
	closed   bool
}

// NewGroup returns a group without children. Close must be called.
func NewGroup() *Group {
	return &Group{starter: newStarter()}
}

// Start starts a child. It fails on a closed group.
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
		// A group of its own, so that Ctrl-C at the terminal reaches only the
		// test, which then ends its children in order.
		Setpgid: true,
		// The kernel ends the child if the test is killed.
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

// Close stops all children side by side, kills those that have not ended after
// grace, and waits for every one. It returns the ids of those that would not
// end, which is none unless a signal could not be sent.
func (g *Group) Close(grace time.Duration) []int {
	g.mu.Lock()
	g.closed = true
	children := g.children
	g.mu.Unlock()
	var waiting sync.WaitGroup
	for _, child := range children {
		waiting.Go(func() { _ = child.Stop(grace) })
	}
	waiting.Wait()
	g.starter.close()
	var left []int
	for _, child := range children {
		if !child.Ended() {
			left = append(left, child.PID())
		}
	}
	return left
}
