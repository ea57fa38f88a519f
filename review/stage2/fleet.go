//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/lab/loopback"
	"github.com/shalefork/shalefork/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// heartbeat is how often a worker rewrites its entry; it is gone after three of them without one.
const heartbeat = 870 * time.Millisecond

// freeAddress returns a loopback address that no process listens on. The host part is this process's own, so that no
// outgoing connection of another process uses the port.
func freeAddress() string { return loopback.Address().String() }

// child is a process that the case has started.
type child struct {
	command *exec.Cmd
	ended   chan struct{}
}

// start starts a process with its output in a file.
func start(output *os.File, environment []string, program string, arguments ...string) (*child, error) {
	c := &child{command: exec.Command(program, arguments...), ended: make(chan struct{})}
	c.command.Stdout, c.command.Stderr = output, output
	c.command.Env = append(os.Environ(), environment...)
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = c.command.Wait()
		close(c.ended)
	}()
	return c, nil
}

// kill kills the process and waits for its end.
func (c *child) kill() {
	_ = c.command.Process.Kill()
	<-c.ended
}

// router is one router with its settings.
type router struct {
	front, ready string
	settings     string
	log          *os.File
	process      *child
}

// fleet is a small deployment: routers, workers and the platform's store.
type fleet struct {
	folder  string
	store   *standin.Store
	routers []*router

	mu      sync.Mutex
	workers []*workerProcess
	started int
}

// workerProcess is one start of a worker.
type workerProcess struct {
	id, service, address, workTime string
	output                         *os.File
	process                        *child
	sequence                       int
	// goneAt is when the entry of a worker that has ended is removed; zero while it runs.
	goneAt time.Time
}

// newFleet starts the store with a configuration.
func newFleet(folder, config string) (*fleet, string, error) {
	f := &fleet{folder: folder, store: standin.NewStore()}
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, f.store) }()
	standin.Write(f.store.Memory, "op/config", []byte(config))
	go f.beat()
	return f, listener.Addr().String(), nil
}

// beat rewrites the entries of the workers that run, and removes those that have been silent for long enough.
func (f *fleet) beat() {
	for ; ; time.Sleep(heartbeat) {
		f.mu.Lock()
		for _, w := range f.workers {
			f.announce(w)
		}
		f.mu.Unlock()
	}
}

// announce writes a worker's entry, or removes it. The caller holds mu.
func (f *fleet) announce(w *workerProcess) {
	switch {
	case w.goneAt.IsZero():
		w.sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "capacity": workerSlots,
			"state": "ready", "warmupLeftS": 0, "sequence": w.sequence,
		})
		standin.Write(f.store.Memory, "servers/"+w.id, entry)
	case w.sequence > 0 && time.Now().After(w.goneAt):
		w.sequence = 0
		standin.Remove(f.store.Memory, "servers/"+w.id)
	}
}

// workerSlots is how many requests a worker runs at a time.
const workerSlots = 6

// startWorker starts a new incarnation of a worker, which gets a new ID, and announces it.
func (f *fleet) startWorker(service, address, workTime string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	w := &workerProcess{id: fmt.Sprintf("i-%s-%d", service, f.started), service: service, address: address, workTime: workTime}
	var err error
	if w.output, err = os.Create(filepath.Join(f.folder, w.id+".runs")); err != nil {
		return err
	}
	if w.process, err = start(w.output, nil, os.Args[0], "worker", address, w.id, fmt.Sprint(workerSlots), workTime); err != nil {
		return err
	}
	f.workers = append(f.workers, w)
	f.announce(w)
	return nil
}

// crashWorkers kills all workers of a service at once, and returns their addresses.
func (f *fleet) crashWorkers(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var killed []*workerProcess
	var addresses []string
	for _, w := range f.workers {
		if w.service == service && w.goneAt.IsZero() {
			_ = w.process.command.Process.Kill()
			killed = append(killed, w)
		}
	}
	for _, w := range killed {
		<-w.process.ended
		w.goneAt = time.Now().Add(3 * heartbeat)
		addresses = append(addresses, w.address)
	}
	return addresses
}

// addRouter writes the settings of a router, as the template of the deploy file has them.
func (f *fleet) addRouter(store string) error {
	r := &router{front: freeAddress(), ready: freeAddress()}
	name := fmt.Sprintf("front-%d", len(f.routers)+1)
	r.settings = filepath.Join(f.folder, name+".yaml")
	text := fmt.Sprintf(`node: %q
zone: "zone-a"
listen: %q
ready_listen: %q
peer_listen: %q
metrics_listen: %q
store: %q
max_hold: "10s"
min_lease: "1s"
grace: "6s"
drain: "2s"
catch_up: "3s"
regions: {"zone-a":"region-a"}
revocation: lenient
first_start: true
machine:
  cores: 0.32
  link_mbps: 1000
  memory_mb: 284
  descriptors: 4100
quota:
  window: "5s"
retry:
  ratio: 0.2
  slack: 62
  window: "10s"
`, name, r.front, r.ready, freeAddress(), freeAddress(), store)
	var err error
	if r.log, err = os.Create(filepath.Join(f.folder, name+".log")); err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// startLimit is how long a router may take to become ready, on a busy machine.
const startLimit = 20 * time.Second

// startRouters starts all routers and waits until they are ready.
func (f *fleet) startRouters() error {
	for _, r := range f.routers {
		var err error
		if r.process, err = start(r.log, []string{"SHALEFORK_SETTINGS=" + r.settings}, "target/shalefork", "router"); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if !r.awaitReady(startLimit) {
			return fmt.Errorf("router %s is not ready", r.front)
		}
	}
	return f.endFirstStart()
}

// endFirstStart notes in the settings that the whole system has been started before.
func (f *fleet) endFirstStart() error {
	for _, r := range f.routers {
		text, err := os.ReadFile(r.settings)
		if err != nil {
			return err
		}
		text = bytes.Replace(text, []byte("first_start: true"), []byte("first_start: false"), 1)
		if err := os.WriteFile(r.settings, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the router answers that it is ready.
func (r *router) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// killRouters kills all routers at once.
func (f *fleet) killRouters() {
	for _, r := range f.routers {
		if r.process != nil {
			_ = r.process.command.Process.Kill()
		}
	}
	for _, r := range f.routers {
		if r.process != nil {
			<-r.process.ended
		}
	}
}

// end ends all processes of the case.
func (f *fleet) end() {
	f.killRouters()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.process.kill()
	}
}
