package process

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const stopTimeout = time.Minute

func start(t *testing.T, group *Group, script string) *Process {
	t.Helper()
	child, err := group.Start(Spec{Name: "child", Path: "/bin/sh", Args: []string{"-c", script}})
	assert.NilError(t, err)
	return child
}

// processEnded reports whether no process has the ID, so that it has ended and was waited for.
func processEnded(pid int) bool {
	return syscall.Kill(pid, 0) == syscall.ESRCH
}

func TestCloseLeavesNoChildBehind(t *testing.T) {
	group := NewGroup()
	ignoresTerm := start(t, group, "trap '' TERM; exec sleep 60")
	stopped := start(t, group, "exec sleep 60")
	assert.NilError(t, stopped.Signal(syscall.SIGSTOP))
	killed := start(t, group, "exec sleep 60")
	assert.NilError(t, killed.Kill())
	running := group.Close(time.Millisecond)
	assert.Equal(t, len(running), 0)
	for _, child := range []*Process{ignoresTerm, stopped, killed} {
		assert.Assert(t, child.Ended())
		assert.Assert(t, processEnded(child.PID()))
	}
	_, err := group.Start(Spec{Path: "/bin/true"})
	assert.ErrorContains(t, err, "closed")
}

func TestOutputAndExitStatusAreRecorded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out")
	group := NewGroup()
	defer group.Close(stopTimeout)
	child, err := group.Start(Spec{Path: "/bin/sh", Args: []string{"-c", "echo hello; exit 3"}, OutputPath: path})
	assert.NilError(t, err)
	err = child.Wait(context.Background())
	assert.ErrorContains(t, err, "exit status 3")
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "hello\n")
}
