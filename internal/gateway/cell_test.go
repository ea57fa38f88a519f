package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	testCell  = bundle.CellName("casa")
	testToken = "0123456789abcdef"
)

// cell is a gateway with a stand-in controller and stand-in servers on an
// in-memory network, in virtual time.
type cell struct {
	t          *testing.T
	network    *memnet.Network
	controller *controller
	client     *http.Client
	gateways   map[string]*Gateway
	stops      []func()
	// clock of the gateways; nil means virtual time.
	clock clock.Source
}

// inCell runs a test in virtual time.
func inCell(t *testing.T, run func(c *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cell{t: t, network: memnet.New(), gateways: map[string]*Gateway{}}
		c.controller = &controller{changed: make(chan struct{})}
		c.serve("controller:1", c.controller)
		transport := &http.Transport{DialContext: c.network.Dialer("caller", dialTimeout), DisableCompression: true}
		c.client = &http.Client{Transport: transport}
		defer func() {
			transport.CloseIdleConnections()
			for i := range c.stops {
				c.stops[len(c.stops)-1-i]()
			}
		}()
		run(c)
	})
}

// serve starts an HTTP server at the address and returns it.
func (c *cell) serve(address string, handler http.Handler) *http.Server {
	listener, err := c.network.Listen("tcp", address)
	assert.NilError(c.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	c.stops = append(c.stops, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
	return server
}

// gateway starts a gateway named by its address and returns how to stop it.
func (c *cell) gateway(name string, change ...func(*settings.Gateway)) (stop func() error) {
	config := settings.Gateway{
		Common:      settings.Common{Cell: testCell, Zone: "z1", Token: testToken, Machine: "127.0.0.1"},
		Listen:      name + ":80",
		PeerListen:  name + ":81",
		Controllers: []string{"controller:1"},
	}
	for _, apply := range change {
		apply(&config)
	}
	registry := prometheus.NewRegistry()
	made, err := New(config, Dependencies{
		Clock:      c.source(),
		Logger:     &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		Registerer: registry,
		Gatherer:   registry,
		Dial:       c.network.Dialer(name, dialTimeout),
		Listen:     c.network.Listen,
	})
	assert.NilError(c.t, err)
	c.gateways[name] = made
	ctx, cancel := context.WithCancel(context.Background())
	var result error
	ended := make(chan struct{})
	go func() {
		result = made.Run(ctx)
		close(ended)
	}()
	stop = func() error {
		cancel()
		<-ended
		return result
	}
	c.stops = append(c.stops, func() { _ = stop() })
	synctest.Wait()
	return stop
}

func (c *cell) source() clock.Source {
	if c.clock != nil {
		return c.clock
	}
	return clock.NewVirtual()
}

// answer is a whole answer as a caller sees it.
type answer struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
	header  http.Header
	body    string
	err     error // of the exchange or of the body
}

// ask sends one request through the gateway "g1".
func (c *cell) ask(method, url, content string, headers ...string) answer {
	return c.askAt("g1", method, url, content, headers...)
}

func (c *cell) askAt(gateway, method, url, content string, headers ...string) answer {
	request, err := http.NewRequest(method, "http://"+gateway+":80"+url, bytes.NewReader([]byte(content)))
	assert.NilError(c.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return c.send(request)
}

func (c *cell) send(request *http.Request) answer {
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status:  response.StatusCode,
		outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)),
		reason:  wire.Reason(response.Header.Get(wire.HeaderReason)),
		header:  response.Header,
		body:    string(body),
		err:     err,
	}
}

// refused asserts a refusal.
func (a answer) refused(t *testing.T, status int, outcome wire.Outcome, reason wire.Reason) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, status)
	assert.Equal(t, a.outcome, outcome)
	assert.Equal(t, a.reason, reason)
	assert.Assert(t, a.header.Get("Retry-After") != "", "every refusal says when to come back")
}

// controller streams a table to whoever asks.
type controller struct {
	// unregistered counts the gateways that said they leave.
	unregistered atomic.Int64
	mu           sync.Mutex
	lines        []wire.TableUpdate
	changed      chan struct{}
	silent       bool
	// whole counts the streams asked for from version zero.
	whole int
}

func (c *controller) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// snapshotsAsked counts the streams that asked for a snapshot after the first.
func (c *controller) snapshotsAsked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole - 1
}

// publish adds a line to all streams.
func (c *controller) publish(update wire.TableUpdate) {
	c.mu.Lock()
	c.lines = append(c.lines, update)
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	synctest.Wait()
}

func (c *controller) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == pathUnregister {
		c.unregistered.Add(1)
		_, _ = writer.Write([]byte("{}"))
		return
	}
	if request.URL.Path != wire.PathTable {
		http.NotFound(writer, request)
		return
	}
	c.mu.Lock()
	if request.URL.Query().Get(queryVersion) == "0" {
		c.whole++
	}
	c.mu.Unlock()
	lines := wire.NewLineWriter(writer)
	sent := 0
	for request.Context().Err() == nil {
		c.mu.Lock()
		due, changed, silent := c.lines[sent:], c.changed, c.silent
		sent = len(c.lines)
		c.mu.Unlock()
		if silent {
			<-request.Context().Done()
			return
		}
		for _, line := range due {
			_ = lines.Write(line)
		}
		if len(due) == 0 {
			_ = lines.Write(wire.TableUpdate{Cell: testCell, Heartbeat: true})
		}
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		case <-request.Context().Done():
		}
	}
}

// Services of the test cell.
func keyedService(name string, repeatable bool) bundle.Service {
	return bundle.Service{
		Name: name, Kind: bundle.KindKeyed, Repeatable: repeatable,
		Route:      bundle.Route{PathPrefix: "/" + name},
		Key:        &bundle.KeySource{PathSegment: 2},
		Limits:     bundle.Limits{Deadline: bundle.Duration(time.Second)},
		Partitions: []bundle.Partition{{Name: "all", Zones: []bundle.Zone{"z1"}}},
	}
}

func poolService(name string, repeatable bool) bundle.Service {
	service := keyedService(name, repeatable)
	service.Kind, service.Key, service.Partitions = bundle.KindPool, nil, nil
	return service
}

// tableOf returns a snapshot with the services, each with the named back ends
// at NAME:1, the first of which owns all keys of a keyed service.
func tableOf(index uint64, services []bundle.Service, backends ...string) wire.TableUpdate {
	update := wire.TableUpdate{Cell: testCell, Snapshot: true, Version: wire.TableVersion{Generation: 1, Index: index}}
	held := bundle.Bundle{Team: "tawila", Version: 1, Cell: testCell, Zones: []bundle.Zone{"z1"}}
	for _, service := range services {
		for i, name := range backends {
			described := bundle.Backend{Name: name, Address: name + ":1", Zone: "z1", Slots: 2, Connections: 8}
			service.Backends = append(service.Backends, described)
			server := held.ServerName(service, described)
			update.Servers = append(update.Servers, wire.TableServer{
				Name: server, Address: described.Address, Zone: "z1", Slots: 2, Connections: 8,
			})
			pool := service.Kind == bundle.KindPool
			if i > 0 && !pool {
				continue
			}
			slice := keyspace.Slice{Service: held.ServiceName(service), Partition: "all", Range: keyspace.FullRange()}
			if pool {
				slice.Partition = keyspace.PartitionName(name)
			}
			update.Assignments = append(update.Assignments, wire.TableEntry{
				Slice: slice, Server: server, Fence: wire.NewFence(1, index), Bundle: 1,
				State: wire.SliceServing, Shared: pool,
			})
		}
		held.Services = append(held.Services, service)
	}
	update.Bundles = []bundle.Bundle{held}
	return update
}

// echo answers as a server of the system does.
func echo(answer http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(wire.HeaderRequestID, request.Header.Get(wire.HeaderRequestID))
		answer(writer, request)
	})
}

// serverRefusal answers as a server that did not run the request.
func serverRefusal(writer http.ResponseWriter, reason wire.Reason) {
	writer.Header().Set(wire.HeaderOutcome, string(wire.OutcomeNotRun))
	writer.Header().Set(wire.HeaderReason, string(reason))
	writer.WriteHeader(http.StatusServiceUnavailable)
}
