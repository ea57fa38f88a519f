package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/lab/loopback"
)

// runVariable makes the test binary run the program in place of the tests.
const runVariable = "SHALEFORK_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// testRouter is a router process without a store.
type testRouter struct {
	*exec.Cmd
	listen, ready, peers, metrics string
	stderr                        bytes.Buffer
	ended                         chan struct{}
}

func newTestRouter(t *testing.T, environment ...string) *testRouter {
	t.Helper()
	r := &testRouter{
		listen: loopback.Address().String(), ready: loopback.Address().String(), peers: loopback.Address().String(),
		metrics: loopback.Address().String(), ended: make(chan struct{}),
	}
	text := fmt.Sprintf("node: a\nzone: z\nlisten: %q\nready_listen: %q\npeer_listen: %q\nmetrics_listen: %q\nstore: %q\ngrace: 1s\n",
		r.listen, r.ready, r.peers, r.metrics, loopback.Address())
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	r.Cmd = exec.Command(os.Args[0], "router", "-s", path)
	r.Env = append(append(os.Environ(), runVariable+"=1"), environment...)
	r.Stderr = &r.stderr
	return r
}

// start starts the process; it ends with the test at the latest.
func (r *testRouter) start(t *testing.T) {
	t.Helper()
	assert.NilError(t, r.Start())
	go func() {
		_ = r.Wait()
		close(r.ended)
	}()
	t.Cleanup(func() {
		_ = r.Process.Kill()
		<-r.ended
	})
}

// endsWithin reports whether the process ends within a time.
func (r *testRouter) endsWithin(limit time.Duration) bool {
	select {
	case <-r.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// end describes how the process ended; it is empty while the process runs.
func (r *testRouter) end() string {
	if !r.endsWithin(0) {
		return ""
	}
	return fmt.Sprintf("%v: %s", r.ProcessState, r.stderr.String())
}

// awaitServing waits until a port answers.
func (r *testRouter) awaitServing(t *testing.T, address string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !r.endsWithin(0) {
			if response, err := http.Get("http://" + address + "/metrics"); err == nil {
				_ = response.Body.Close()
				return poll.Success()
			}
			return poll.Continue("%s does not answer", address)
		}
		return poll.Error(fmt.Errorf("the router ended: %s", r.end()))
	}, poll.WithTimeout(20*time.Second))
}

// A router ended by SIGPIPE at its next log line once nobody read its output.
func TestRouterOutlivesTheReaderOfItsOutput(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	r := newTestRouter(t)
	r.Stdout = writer
	r.start(t)
	_ = writer.Close()
	r.awaitServing(t, r.listen)
	_ = reader.Close()
	assert.Assert(t, !r.endsWithin(4*time.Second), "%s", r.end())
	r.awaitServing(t, r.listen)
}

// A signal that came while packages were initialized ended the process.
func TestSignalsAreHandledBeforeOtherInitialization(t *testing.T) {
	r := newTestRouter(t, "GODEBUG=inittrace=1")
	r.start(t)
	r.awaitServing(t, r.listen)
	_ = r.Process.Kill()
	<-r.ended
	initialized := false
	for line := range strings.Lines(r.stderr.String()) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "init" {
			continue
		}
		initialized = initialized || fields[1] == "github.com/shalefork/shalefork/internal/signals"
		for _, slow := range []string{"github.com/prometheus/", "github.com/go-playground/", "github.com/goccy/", "google.golang.org/protobuf/proto"} {
			assert.Assert(t, initialized || !strings.HasPrefix(fields[1], slow), "%s is initialized before signals are handled", fields[1])
		}
	}
	assert.Assert(t, initialized)
}

// A router that was started while one of its ports was taken ended at once.
func TestRouterWaitsForItsPorts(t *testing.T) {
	for name, port := range map[string]func(r *testRouter) string{
		"clients": func(r *testRouter) string { return r.listen }, "readiness": func(r *testRouter) string { return r.ready },
		"routers": func(r *testRouter) string { return r.peers }, "metrics": func(r *testRouter) string { return r.metrics },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t)
			taken, err := net.Listen("tcp", port(r))
			assert.NilError(t, err)
			r.start(t)
			assert.Assert(t, !r.endsWithin(700*time.Millisecond), "%s", r.end())
			_ = taken.Close()
			if name != "routers" {
				r.awaitServing(t, port(r))
			}
			r.awaitServing(t, r.listen)
		})
	}
}

// While it waits for a port, a router ends on SIGTERM as at any other time.
func TestRouterThatWaitsForAPortStops(t *testing.T) {
	r := newTestRouter(t)
	taken, err := new(net.ListenConfig).Listen(context.Background(), "tcp", r.listen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	r.start(t)
	assert.Assert(t, !r.endsWithin(700*time.Millisecond), "%s", r.end())
	assert.NilError(t, r.Process.Signal(syscall.SIGTERM))
	assert.Assert(t, r.endsWithin(5*time.Second))
	assert.Equal(t, r.ProcessState.ExitCode(), 0)
}

// The runtime let garbage grow to as much as the memory in use, beyond the memory of the machine.
func TestRuntimeKnowsTheMemoryOfTheMachine(t *testing.T) {
	r := newTestRouter(t)
	file, err := os.OpenFile(r.Args[3], os.O_APPEND|os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = file.WriteString("machine:\n  memory_mb: 200\n")
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	r.start(t)
	r.awaitServing(t, r.metrics)
	response, err := http.Get("http://" + r.metrics + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "\ngo_gc_gomemlimit_bytes 1.4680064e+08\n"), "70 %% of the memory")
}
