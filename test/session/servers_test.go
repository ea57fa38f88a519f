package session

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/wire"
	"github.com/shalefork/shalefork/ownership"
)

// serviceTime is how long a request works before its effect is kept.
const serviceTime = 7 * time.Millisecond

// server is one run of a server that embeds package ownership.
type server struct {
	system  *system
	name    bundle.ServerName
	service bundle.Service
	backend bundle.Backend
	host    string
	process string
	owner   *ownership.Owner
	clock   *processClock
	http    *http.Server
	numbers atomic.Uint64
	// late delays each answer after its effect was kept, in nanoseconds.
	late atomic.Int64

	mu sync.Mutex
	// dead says that the process was killed: it records nothing more.
	dead bool
}

func hostOf(backend bundle.Backend) string {
	host, _, _ := net.SplitHostPort(backend.Address)
	return host
}

// startServer runs a back end's server under a new incarnation.
func (s *system) startServer(service bundle.Service, backend bundle.Backend) *server {
	host := hostOf(backend)
	s.network.Heal(memnet.Place(host))
	v := &server{
		system:  s,
		name:    bundle.ServerName(teamName + "/" + service.Name + "/" + backend.Name),
		service: service,
		backend: backend,
		host:    host,
		process: fmt.Sprintf("%s at %s", backend.Name, s.now()),
		clock:   newProcessClock(s.network, host),
	}
	v.owner = ownership.New(ownership.Options{
		Cell:  cellName,
		Token: token,
		Name:  string(v.name),
		Clock: func() time.Duration { return v.clock.read().Upper },
	})
	v.http = &http.Server{Handler: v.handler()}
	listener := s.network.Open(backend.Address)
	go func() { _ = v.http.Serve(listener) }()
	s.servers[backend.Name] = v
	return v
}

// kill ends the process as a crash does.
func (v *server) kill() {
	v.mu.Lock()
	v.dead = true
	v.mu.Unlock()
	v.system.network.Cut(memnet.Place(v.host))
	v.system.network.Thaw(memnet.Place(v.host))
	_ = v.http.Close()
}

// stop ends the process by plan.
func (v *server) stop() {
	v.system.noError(v.owner.Drain(context.Background()))
	v.system.noError(v.http.Shutdown(context.Background()))
}

type arrivalKey struct{}

func (v *server) handler() http.Handler {
	wrapped := v.owner.Wrap(http.HandlerFunc(v.serve))
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx := context.WithValue(request.Context(), arrivalKey{}, v.system.now())
		wrapped.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// serve prepares, checks, keeps the effect, which here is its record, and
// answers.
func (v *server) serve(writer http.ResponseWriter, httpRequest *http.Request) {
	request, _ := ownership.FromContext(httpRequest.Context())
	run := v.newExecution(httpRequest, request)
	v.record(run)
	select {
	case <-time.After(serviceTime + queryDuration(httpRequest, "work")):
	case <-httpRequest.Context().Done():
	}
	v.system.network.Wait(memnet.Place(v.host))
	run.Effect = v.system.now()
	if err := request.Check(); err != nil {
		v.recordEnd(run)
		_ = request.NotRun(ownership.ReasonExpired)
		return
	}
	run.Kept = true
	if !v.recordEnd(run) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(v.late.Load()))
	v.answer(writer, httpRequest, run)
}

func (v *server) newExecution(httpRequest *http.Request, request *ownership.Request) history.Execution {
	arrived, _ := httpRequest.Context().Value(arrivalKey{}).(time.Duration)
	slice := keyspace.Slice{
		Service:   keyspace.ServiceName(request.Slice.Service),
		Partition: keyspace.PartitionName(request.Slice.Partition),
		Range:     keyspace.Range{First: keyspace.Hash(request.Slice.First), Last: keyspace.Hash(request.Slice.Last)},
	}
	return history.Execution{
		Phase:          history.PhaseStarted,
		Server:         v.name,
		Process:        v.process,
		Number:         v.numbers.Add(1),
		Zone:           v.backend.Zone,
		Nonce:          history.Nonce(httpRequest.Header.Get(history.HeaderNonce)),
		RequestID:      wire.RequestID(request.ID),
		IdempotencyKey: request.IdempotencyKey,
		Service:        slice.Service,
		Key:            request.Key,
		Slice:          slice.String(),
		Fence:          wire.Fence(request.Fence),
		Bundle:         bundle.Version(request.Bundle),
		Repeatable:     v.service.Repeatable,
		Arrived:        arrived,
		Started:        v.system.now(),
	}
}

// record reports whether the process is alive to record it.
func (v *server) record(run history.Execution) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.dead {
		v.system.collector.Add(history.Line{Execution: &run})
	}
	return !v.dead
}

func (v *server) recordEnd(run history.Execution) bool {
	run.Phase = history.PhaseEnded
	run.Ended = v.system.now()
	return v.record(run)
}

const (
	bodyBytes = 400
	// pieces of a streamed body.
	pieces = 40
)

// answer sends a body that names the request; "?stream=2m" spreads it.
func (v *server) answer(writer http.ResponseWriter, request *http.Request, run history.Execution) {
	head := history.Head{Nonce: run.Nonce, RequestID: run.RequestID, Server: run.Server, Key: run.Key,
		Fence: run.Fence, Bundle: run.Bundle, Padding: bodyBytes}
	line, err := json.Marshal(head)
	if err != nil {
		panic("a head must encode: " + err.Error())
	}
	_, _ = writer.Write(append(line, '\n'))
	stream := queryDuration(request, "stream")
	piece := make([]byte, bodyBytes/pieces)
	for range pieces {
		if stream > 0 {
			_ = http.NewResponseController(writer).Flush()
			select {
			case <-time.After(stream / pieces):
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = writer.Write(piece)
	}
}

func queryDuration(request *http.Request, name string) time.Duration {
	d, _ := time.ParseDuration(request.URL.Query().Get(name))
	return d
}

// serverOf returns the running server of a name "team/service/backend".
func (s *system) serverOf(name bundle.ServerName) *server {
	for _, v := range s.servers {
		if v.name == name {
			return v
		}
	}
	s.require(false, "no server %s", name)
	return nil
}
