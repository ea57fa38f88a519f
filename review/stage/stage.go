//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/lab/loopback"
	"github.com/shalefork/shalefork/platform/standin"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// stage holds the processes and stand-ins of one case.
type stage struct {
	program   string
	directory string
	record    *record
	store     *standin.Store
	listener  net.Listener
	routers   []*routerProcess
	// mu guards workers.
	mu      sync.Mutex
	workers []*worker
}

func newStage(program, recordPath string) (*stage, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "shalefork-review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", loopback.Address().String())
	if err != nil {
		return nil, err
	}
	s := &stage{
		program: program, directory: directory, record: &record{file: file, began: time.Now()},
		store: standin.NewStore(), listener: listener,
	}
	go func() { _ = http.Serve(listener, s.store) }()
	return s, nil
}

// close ends all processes and stand-ins.
func (s *stage) close() {
	for _, router := range s.routers {
		router.stop()
	}
	for _, w := range s.workers {
		w.close()
	}
	_ = s.listener.Close()
	_ = os.RemoveAll(s.directory)
}

// configure writes the operator's configuration.
func (s *stage) configure(config string) {
	standin.Write(s.store.Memory, "op/config", []byte(config))
}

// routerProcess is one router.
type routerProcess struct {
	name, zone, address, ready, metrics, settingsPath string

	command *exec.Cmd
	ended   chan struct{}
	// reloadedAt is when it last got SIGHUP, in nanoseconds since 1970; zero: never.
	reloadedAt atomic.Int64
}

func (r *routerProcess) setReloaded(at time.Time) { r.reloadedAt.Store(at.UnixNano()) }

func (r *routerProcess) reloaded() time.Time { return time.Unix(0, r.reloadedAt.Load()) }

// settings is the form of deploy/settings.yaml.tmpl, filled for a small deployment.
const settings = `node: %q
zone: %q
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
regions: {"z-a":"r","z-b":"r","z-c":"r"}
revocation: lenient
first_start: true
machine:
  cores: 0.32
  link_mbps: 1000
  memory_mb: 284
quota:
  window: "5s"
retry:
  ratio: 0.2
  slack: 62
  window: "10s"
`

var zones = []string{"z-a", "z-b", "z-c"}

// startRouters starts the routers with the command of the deploy file.
func (s *stage) startRouters(count int) error {
	for number := range count {
		r := &routerProcess{
			name: fmt.Sprintf("front-%d", number+1), zone: zones[number%len(zones)], address: loopback.Address().String(),
			ready: loopback.Address().String(), metrics: loopback.Address().String(), ended: make(chan struct{}),
		}
		text := fmt.Sprintf(settings, r.name, r.zone, r.address, r.ready, loopback.Address(), r.metrics, s.listener.Addr())
		path := filepath.Join(s.directory, r.name+".yaml")
		r.settingsPath = path
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(s.directory, r.name+".log"))
		if err != nil {
			return err
		}
		r.command = exec.Command(s.program, "router")
		r.command.Env = append(os.Environ(), "SHALEFORK_SETTINGS="+path)
		r.command.Stdout, r.command.Stderr = output, output
		r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := r.command.Start(); err != nil {
			return err
		}
		go func() {
			_ = r.command.Wait()
			close(r.ended)
		}()
		s.routers = append(s.routers, r)
		s.record.add("start router %s zone %s", r.name, r.zone)
	}
	return nil
}

// stop ends the router's process.
func (r *routerProcess) stop() {
	_ = r.command.Process.Signal(syscall.SIGCONT)
	_ = r.command.Process.Kill()
	<-r.ended
}

// awaitReady waits until all routers are ready.
func (s *stage) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range s.routers {
			response, err := client.Get("http://" + r.ready + "/api/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.routers) {
			return nil
		}
	}
	return errors.New("the routers are not ready")
}

// client sends requests to a router over kept connections, each once.
type client struct {
	http   *http.Client
	record *record
	mu     sync.Mutex
	// answers are the statuses of the answers by request ID; 0 means that there was none.
	answers map[string]int
}

func newClient(r *record) *client {
	return &client{
		http:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: 5 * time.Second},
		record: r, answers: map[string]int{},
	}
}

// send sends one request. It returns the status of the answer; 0 if there was none.
func (c *client) send(method, address, path, id string, key int, deadline time.Duration, body []byte) int {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.GetBody = nil // the transport must not send a request again by itself
	request.Host = "app.example"
	request.Header.Set("Shalefork-Attempt-Id", id)
	request.Header.Set("Shalefork-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key >= 0 {
		request.Header.Set("Shalefork-Shard-Key", fmt.Sprint(key))
	}
	c.record.add("sent %s %s key %d to %s", id, path, key, address)
	status, signature := 0, ""
	if response, err := c.http.Do(request); err == nil {
		var read bytes.Buffer
		_, err = read.ReadFrom(response.Body)
		_ = response.Body.Close()
		if err == nil {
			status, signature = response.StatusCode, response.Header.Get("Shalefork-Response-Signature")
		}
	}
	c.record.add("answered %s %d %s", id, status, signature)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = status
	return status
}

// awaitServed waits until each router gets requests served for keys of all workers.
func (s *stage) awaitServed(c *client, path string) error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		served := true
		for _, r := range s.routers {
			for key := range 16 {
				served = served && c.send("POST", r.address, path+"first", fmt.Sprintf("%016x", rand.Uint64()), key*4096, 1200*time.Millisecond, nil) == 200
			}
		}
		if served {
			return nil
		}
	}
	return fmt.Errorf("the workers are not served")
}

// load sends requests at random times, at a mean rate per second, and waits for their answers.
func (s *stage) load(c *client, rate float64, duration time.Duration, send func(number int)) {
	var inFlight sync.WaitGroup
	next := time.Now()
	for number, end := 0, next.Add(duration); next.Before(end); number++ {
		time.Sleep(time.Until(next))
		inFlight.Go(func() { send(number) })
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	inFlight.Wait()
	time.Sleep(time.Second) // for what still runs
}
