package session

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/platform/memory"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	cellName = "casablanca"
	teamName = "tawila"
	token    = "a-token-of-the-cell"
)

// system is one cell in virtual time. Its transcript holds what every order of
// simultaneous events must give: bounds on times, not the times themselves.
type system struct {
	t           *testing.T
	began       time.Time
	network     *memnet.Network
	store       *memory.Store
	controllers map[string]*controllerProcess
	gateways    map[string]*gatewayProcess
	servers     map[string]*server
	operators   map[string]ed25519.PrivateKey
	collector   history.Collector
	leaving     []history.Leaving
	bundles     []bundle.Bundle
	callers     *callers
	transcript  strings.Builder
	// ending are processes that were killed and are not yet at their end.
	ending sync.WaitGroup
	ended  bool
}

// play runs a script on a cell that serves version 1 to callers, then checks
// the histories and the transcript.
func play(t *testing.T, script func(s *system)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		s.boot()
		script(s)
		s.finish()
		golden.Assert(t, s.transcript.String(), strings.ReplaceAll(t.Name(), "/", "-")+".golden")
	})
}

func newSystem(t *testing.T) *system {
	s := &system{
		t:           t,
		began:       time.Now(),
		network:     memnet.New(),
		store:       memory.New(),
		controllers: map[string]*controllerProcess{},
		gateways:    map[string]*gatewayProcess{},
		servers:     map[string]*server{},
		operators:   map[string]ed25519.PrivateKey{},
	}
	for _, name := range []string{"amina", "karim"} {
		s.operators[name] = ed25519.NewKeyFromSeed(bytes.Repeat([]byte(name[:1]), ed25519.SeedSize))
	}
	return s
}

// boot starts everything and puts version 1 into force.
func (s *system) boot() {
	s.note("start 3 controllers, 3 gateways and the servers; roll version 1")
	for number := 1; number <= 3; number++ {
		s.startController(number)
	}
	for number := 1; number <= 3; number++ {
		s.startGateway(number)
	}
	first := cellBundle(1)
	for _, service := range first.Services {
		for _, backend := range service.Backends {
			s.startServer(service, backend)
		}
	}
	s.within(6*time.Second, "a group of 3 voters", s.hasVoters(3))
	s.roll(first)
	s.within(4*time.Second, "version 1 is in force and every slice has an owner", s.settled(1, 1))
	s.within(8*time.Second, "the ledger is owned and every gateway answers", s.answering)
	s.callers = s.startCallers()
	s.pass(time.Second)
}

// finish lets the callers end and checks what they saw.
func (s *system) finish() {
	s.pass(time.Second)
	s.callers.stop()
	for _, line := range s.callers.summary() {
		s.note("%s", line)
	}
	seen := s.collector.History()
	seen.Bundles = s.bundles
	seen.Leaving = s.leaving
	violations := history.Check(seen)
	for _, violation := range violations {
		s.t.Errorf("%s %s: %s", violation.Rule, violation.Subject, violation.Detail)
	}
	s.note("violations: %d", len(violations))
	s.end()
}

// end stops every process; it may be called twice.
func (s *system) end() {
	if s.ended {
		return
	}
	s.ended = true
	if s.callers != nil {
		s.callers.stop()
	}
	s.network.CloseAll()
	for _, running := range s.servers {
		running.kill()
	}
	for _, running := range s.gateways {
		running.cancel()
	}
	s.network.Break("10.0.9.9")
	for _, running := range s.gateways {
		<-running.done
	}
	for _, running := range s.controllers {
		running.cancel()
		<-running.done
	}
	s.ending.Wait()
	s.store.StartOutage(0)
	s.network.CloseAll()
	time.Sleep(gatewayDialTimeout + time.Second) // dials into a partition end by themselves
}

func (s *system) note(format string, arguments ...any) {
	fmt.Fprintf(&s.transcript, format+"\n", arguments...)
}

// now is the time since the session began, the same for all processes.
func (s *system) now() time.Duration {
	return time.Since(s.began)
}

// pass lets virtual time pass.
func (s *system) pass(d time.Duration) {
	time.Sleep(d)
}

// poll is how often a condition is looked at; the admin API bounds its rate.
const poll = 50 * time.Millisecond

// within lets virtual time pass until the condition holds, and fails the test
// if it does not hold by the limit.
func (s *system) within(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			s.t.Errorf("not within %s: %s\n%s\n%s", limit, what, s.transcript.String(), s.describe())
			s.end()
			s.t.FailNow()
		}
		time.Sleep(poll)
	}
	s.t.Logf("%s: %s (limit %s)", what, time.Since(began), limit)
	s.note("  within %s: %s", limit, what)
}

// whole waits until the cell is as it was before a failure.
func (s *system) whole(generation wire.Generation, version bundle.Version) {
	s.t.Helper()
	what := fmt.Sprintf("generation %d leads, version %d is in force, every slice has an owner", generation, version)
	s.within(recovery, what, s.complete(generation, version))
	s.within(recovery, "a group of 3 voters", s.hasVoters(3))
	s.within(recovery, "the ledger is owned and every gateway answers", s.answering)
}

func (s *system) require(condition bool, format string, arguments ...any) {
	s.t.Helper()
	if condition {
		return
	}
	s.t.Errorf(format, arguments...)
	s.t.Log(s.transcript.String(), s.describe())
	s.end()
	s.t.FailNow()
}

func (s *system) noError(err error) {
	s.t.Helper()
	assert.NilError(s.t, err)
}

// link is one process's way to the platform's service.
type link struct {
	*memory.Store
	network *memnet.Network
	host    string
	mu      sync.Mutex
	severed bool
}

func (l *link) sever(severed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.severed = severed
}

// reach waits while the process is frozen, and fails when it is cut off.
func (l *link) reach(ctx context.Context) error {
	l.network.Wait(memnet.Place(l.host))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.severed {
		return errSevered
	}
	return ctx.Err()
}
