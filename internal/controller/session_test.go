package controller

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	testCell  = "casablanca"
	testTeam  = "tawila"
	testToken = "a-token-of-the-cell"
)

// session is a whole cell in virtual time: controllers, servers, and the
// platform's service in memory. What happens is written to a transcript, which
// holds only what any order of simultaneous events must give.
type session struct {
	t           *testing.T
	network     *memnet.Network
	store       *memory.Store
	controllers map[string]*process
	servers     map[string]*testServer
	operators   map[string]ed25519.PrivateKey
	transcript  strings.Builder
	stop        context.CancelFunc
	watched     sync.WaitGroup
	cleanups    []func()
	carried     *byteCounts
}

// process is one run of a controller.
type process struct {
	*Controller
	address string
	link    *storeLink
	cancel  context.CancelFunc
	done    chan error
}

// storeLink is one process's way to the platform's service.
type storeLink struct {
	*memory.Store
	mu  sync.Mutex
	cut bool
}

func (l *storeLink) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

func (l *storeLink) CompareAndSwap(ctx context.Context, write platform.Write) (platform.Entry, error) {
	if l.severed() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return l.Store.CompareAndSwap(ctx, write)
}

func (l *storeLink) Get(ctx context.Context, key string) (platform.Entry, error) {
	if l.severed() {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *storeLink) Delete(ctx context.Context, key string, expect platform.Revision) error {
	if l.severed() {
		return platform.ErrUnavailable
	}
	return l.Store.Delete(ctx, key, expect)
}

func (l *storeLink) RenewLease(ctx context.Context, id string) error {
	if l.severed() {
		return platform.ErrUnavailable
	}
	return l.Store.RenewLease(ctx, id)
}

func (l *storeLink) severed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// runSession runs a script in a bubble and compares the transcript.
func runSession(t *testing.T, script func(s *session)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := &session{
			t:           t,
			network:     memnet.New(),
			store:       memory.New(),
			carried:     &byteCounts{counts: map[string]int{}},
			controllers: map[string]*process{},
			servers:     map[string]*testServer{},
			operators:   newOperatorKeys(),
			stop:        stop,
		}
		for _, backend := range testBundle(1).Services[0].Backends {
			s.startServer(backend)
		}
		s.watched.Go(func() { s.watchOwners(ctx) })
		script(s)
		s.end()
		golden.Assert(t, s.transcript.String(), strings.ToLower(t.Name())+".golden")
	})
}

func newOperatorKeys() map[string]ed25519.PrivateKey {
	keys := map[string]ed25519.PrivateKey{}
	for _, name := range []string{"amina", "karim"} {
		seed := bytes.Repeat([]byte(name[:1]), ed25519.SeedSize)
		keys[name] = ed25519.NewKeyFromSeed(seed)
	}
	return keys
}

func (s *session) note(format string, arguments ...any) {
	fmt.Fprintf(&s.transcript, format+"\n", arguments...)
}

func (s *session) end() {
	s.stop()
	for _, cleanup := range s.cleanups {
		cleanup()
	}
	s.watched.Wait()
	for _, running := range s.controllers {
		running.cancel()
		assert.NilError(s.t, <-running.done)
	}
	for _, server := range s.servers {
		server.http.Close()
	}
	s.store.StartOutage(0)
	s.network.CloseAll()
	time.Sleep(2 * time.Second) // dials into a partition end by themselves
}

func (s *session) settings(address, zone string) settings.Controller {
	host, _, _ := net.SplitHostPort(address)
	var operators []settings.Operator
	for _, name := range []string{"amina", "karim"} {
		public := s.operators[name].Public().(ed25519.PublicKey)
		operators = append(operators, settings.Operator{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)})
	}
	return settings.Controller{
		Common:    settings.Common{Cell: testCell, Zone: bundle.Zone(zone), Machine: host, Token: testToken},
		Listen:    address,
		Replicas:  3,
		Operators: operators,
	}
}

func controllerHost(number int) string {
	return fmt.Sprintf("10.0.0.%d", number)
}

func controllerAddress(number int) string {
	return controllerHost(number) + ":7000"
}

// start runs controller number on its machine, in zone-1 to zone-3.
func (s *session) start(number int) *process {
	address := controllerAddress(number)
	zone := fmt.Sprintf("zone-%d", (number-1)%3+1)
	host, _, _ := net.SplitHostPort(address)
	s.store.SetMachine(platform.Machine{Address: host, Zone: zone, State: platform.MachineLive})
	s.network.Heal(memnet.Place(address))
	link := &storeLink{Store: s.store}
	source := rand.New(rand.NewPCG(uint64(number), uint64(time.Now().UnixNano())))
	var drawing sync.Mutex
	transport := transportFrom(s.network, address)
	transport.DialContext = s.carried.dialer(address, transport.DialContext)
	controller, err := New(s.settings(address, zone), Dependencies{
		Store:      link,
		Machines:   s.store,
		Clock:      clock.NewVirtual(),
		Logger:     &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Registerer: prometheus.NewRegistry(),
		Random: func() uint64 {
			drawing.Lock()
			defer drawing.Unlock()
			return source.Uint64()
		},
		Transport: transport,
		Listener:  s.network.Open(address),
	})
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	running := &process{Controller: controller, address: address, link: link, cancel: cancel, done: make(chan error, 1)}
	go func() { running.done <- controller.Run(ctx) }()
	s.controllers[address] = running
	return running
}

// kill ends a process as a crash does: nothing that it does at its end, such as
// deleting its presence, is seen by anybody.
func (s *session) kill(running *process) {
	running.link.sever()
	s.network.Cut(memnet.Place(running.address))
	running.cancel()
	assert.NilError(s.t, <-running.done)
	delete(s.controllers, running.address)
}

// killVoters kills that many voters at once, the leader among them, and returns
// their numbers.
func (s *session) killVoters(count int) []int {
	s.note("kill %d voters, the leader among them", count)
	var numbers []int
	for _, address := range s.someVoters(count) {
		var number int
		fmt.Sscanf(address, "10.0.0.%d:", &number)
		numbers = append(numbers, number)
		s.kill(s.controllers[address])
	}
	return numbers
}

// cutVoters cuts voters off from everybody, the leader among them.
func (s *session) cutVoters(count int) []string {
	cut := s.someVoters(count)
	for _, address := range cut {
		s.network.Cut(memnet.Place(address))
	}
	return cut
}

// someVoters returns the addresses of the leader and other voters.
func (s *session) someVoters(count int) []string {
	leader := s.leader()
	addresses := []string{leader.address}
	for _, member := range votersOf(leader.view.Load().record.record.Members) {
		if member.Address != leader.address {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses[:count]
}

// await lets virtual time pass until the condition holds.
func (s *session) await(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Errorf("not within %s: %s\n%s%s", limit, what, s.transcript.String(), s.describe())
			s.end()
			s.t.FailNow()
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.note("  within %s: %s", limit, what)
}

// describe lists what each controller knows, to explain a failure.
func (s *session) describe() string {
	var text strings.Builder
	for address, running := range s.controllers {
		current := running.view.Load()
		fmt.Fprintf(&text, "%s %s member %t role %s term %d generation %d leaderless %s record %+v\n",
			address, running.self(), current.member, current.status.Role, current.status.Term,
			current.generation, current.leaderless, current.record.record)
	}
	return text.String()
}

// leader returns the controller that leads the youngest generation, or nil.
func (s *session) leader() *process {
	var found *process
	for _, running := range s.controllers {
		current := running.view.Load()
		if current.leading && (found == nil || current.generation > found.view.Load().generation) {
			found = running
		}
	}
	return found
}

func (s *session) leads(generation wire.Generation) func() bool {
	return func() bool {
		leader := s.leader()
		return leader != nil && leader.view.Load().generation == generation
	}
}

// voters reports whether the group has exactly these voters, all running.
func (s *session) voters(count int) func() bool {
	return func() bool {
		leader := s.leader()
		if leader == nil {
			return false
		}
		record := leader.view.Load().record.record
		running := 0
		for _, member := range votersOf(record.Members) {
			process := s.controllers[member.Address]
			if process != nil && process.self() == member.ID && process.view.Load().member {
				running++
			}
		}
		return record.Next == nil && running == count && len(record.Members.Members) == count
	}
}

// owners returns the committed owner of each slice as the leader knows it.
func (s *session) owners() map[string]bundle.ServerName {
	owners := map[string]bundle.ServerName{}
	for _, assignment := range s.leader().view.Load().state.Assignments {
		owners[assignment.Slice.String()] = assignment.Owner
	}
	return owners
}

// write sends a signed write of the admin API to a controller.
func (s *session) write(to *process, operator, path string, body any) (adminapi.BundleStatus, adminapi.Failure) {
	encoded, err := json.Marshal(body)
	assert.NilError(s.t, err)
	key := s.operators[operator]
	signed, err := json.Marshal(adminapi.Signed{
		Operator:  adminapi.OperatorName(operator),
		Body:      encoded,
		Signature: ed25519.Sign(key, append([]byte(adminapi.SignedPrefix+path+"\n"), encoded...)),
	})
	assert.NilError(s.t, err)
	recorder := httptest.NewRecorder()
	to.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(signed)))
	var status adminapi.BundleStatus
	var failure adminapi.Failure
	if recorder.Code == http.StatusOK {
		assert.NilError(s.t, json.Unmarshal(recorder.Body.Bytes(), &status))
	} else {
		assert.NilError(s.t, json.Unmarshal(recorder.Body.Bytes(), &failure))
	}
	return status, failure
}

// rollOut proposes, approves and rolls a bundle.
func (s *session) rollOut(to *process, offered bundle.Bundle) {
	digest, err := bundle.Digest(offered)
	assert.NilError(s.t, err)
	signature, err := bundle.Sign(s.operators["karim"], offered)
	assert.NilError(s.t, err)
	now := time.Now()
	s.report(s.write(to, "amina", adminapi.PathPropose, adminapi.Propose{Bundle: offered, Time: now}))
	s.report(s.write(to, "karim", adminapi.PathApprove, adminapi.Approve{
		Team: offered.Team, Version: offered.Version, Digest: digest, Signature: signature, Time: now,
	}))
	s.report(s.write(to, "amina", adminapi.PathRoll, adminapi.Roll{Cell: testCell, Team: offered.Team, Version: offered.Version, Time: now}))
}

func (s *session) report(status adminapi.BundleStatus, failure adminapi.Failure) {
	if failure.Code != "" {
		s.note("  refused: %s: %s", failure.Code, failure.Message)
		return
	}
	s.note("  version %d is %s", status.Version, status.State)
}

// headState returns the state of a version in the platform's service.
func (s *session) headState(version bundle.Version) adminapi.BundleState {
	head, _, err := s.leader().readHead(context.Background(), testTeam)
	assert.NilError(s.t, err)
	entry, _ := head.Find(version)
	return entry.State
}

// bootCell starts controllers and servers and puts version 1 into force.
func (s *session) bootCell(controllers int) {
	s.note("start %d controllers and 4 servers", controllers)
	for number := range controllers {
		s.start(number + 1)
	}
	s.await(5*time.Second, "a group of 3 voters", s.voters(3))
	s.note("roll version 1")
	s.rollOut(s.leader(), testBundle(1))
	s.await(5*time.Second, "every slice is served under version 1", s.allServed(1, 1))
	s.await(2*time.Second, "the head says in force", func() bool { return s.headState(1) == adminapi.StateInForce })
	s.await(3*time.Second, "a checkpoint has it", func() bool {
		saved, _, err := s.leader().readCheckpoint(context.Background())
		return err == nil && saved.Teams[testTeam].InForce
	})
}
