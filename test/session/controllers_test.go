package session

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"crypto/ed25519"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/controller"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

// controllerDialTimeout is the time that a controller gives a dial over TCP.
const controllerDialTimeout = time.Second

// controllerProcess is one run of a controller.
type controllerProcess struct {
	*controller.Controller
	number int
	host   string
	clock  *processClock
	link   *link
	cancel context.CancelFunc
	done   chan error

	// unreachable says that operators do not reach it.
	unreachable bool
	// known is the status read at readAt: one reading serves a whole instant,
	// because the admin API bounds its rate.
	known  adminapi.Status
	readAt time.Time
}

func controllerHost(number int) string { return fmt.Sprintf("10.0.0.%d", number) }

func controllerAddress(number int) string { return controllerHost(number) + ":7000" }

func zoneOf(number int) bundle.Zone { return bundle.Zone(fmt.Sprintf("zone-%d", (number-1)%3+1)) }

func quiet() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// startController runs controller number on its machine.
func (s *system) startController(number int) *controllerProcess {
	host := controllerHost(number)
	s.network.Heal(memnet.Place(host))
	s.store.SetMachine(platform.Machine{Address: host, Zone: string(zoneOf(number)), State: platform.MachineLive})
	p := &controllerProcess{
		number: number,
		host:   host,
		clock:  newProcessClock(s.network, host),
		link:   &link{Store: s.store, network: s.network, host: host},
		done:   make(chan error, 1),
	}
	made, err := controller.New(s.controllerSettings(number), controller.Dependencies{
		Store:      p.link,
		Machines:   p.link,
		Clock:      p.clock,
		Logger:     quiet(),
		Registerer: prometheus.NewRegistry(),
		Random:     s.random(number),
		Transport:  &http.Transport{DialContext: s.network.Dialer(host, controllerDialTimeout), IdleConnTimeout: time.Minute},
		Listener:   s.network.Open(controllerAddress(number)),
	})
	s.noError(err)
	p.Controller = made
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- made.Run(ctx) }()
	s.controllers[host] = p
	return p
}

// random returns numbers that the number of the process and the time decide.
func (s *system) random(number int) func() uint64 {
	source := rand.New(rand.NewPCG(uint64(number), uint64(s.now())))
	var drawing sync.Mutex
	return func() uint64 {
		drawing.Lock()
		defer drawing.Unlock()
		return source.Uint64()
	}
}

func (s *system) controllerSettings(number int) settings.Controller {
	var operators []settings.Operator
	for _, name := range []string{"amina", "karim"} {
		public := s.operators[name].Public().(ed25519.PublicKey)
		operators = append(operators, settings.Operator{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)})
	}
	return settings.Controller{
		Common:    settings.Common{Cell: cellName, Zone: zoneOf(number), Machine: controllerHost(number), Token: token},
		Listen:    controllerAddress(number),
		Replicas:  3,
		Operators: operators,
	}
}

// killController ends a controller as a crash of its machine does.
func (s *system) killController(p *controllerProcess) {
	p.link.sever(true)
	s.network.Cut(memnet.Place(p.host))
	p.cancel()
	<-p.done
	delete(s.controllers, p.host)
}

// stopController ends a controller by plan.
func (s *system) stopController(p *controllerProcess) {
	p.cancel()
	s.noError(<-p.done)
	delete(s.controllers, p.host)
}

// ownStatus returns what a controller itself knows.
func (p *controllerProcess) ownStatus() adminapi.Status {
	if p.readAt.Equal(time.Now()) {
		return p.known
	}
	p.known, p.readAt = p.readStatus(), time.Now()
	return p.known
}

func (p *controllerProcess) readStatus() adminapi.Status {
	request := httptest.NewRequest(http.MethodGet, adminapi.PathStatus, nil)
	for range 3 { // it has gone round already, so it is not passed on
		request.Header.Add("Shalefork-Forwarded", "test")
	}
	recorder := httptest.NewRecorder()
	p.Handler().ServeHTTP(recorder, request)
	var status adminapi.Status
	if err := json.Unmarshal(recorder.Body.Bytes(), &status); err != nil {
		panic("status must decode: " + err.Error())
	}
	return status
}

// leader returns the controller that leads, and its status; nil if none does.
func (s *system) leader() (*controllerProcess, adminapi.Status) {
	var found *controllerProcess
	var best adminapi.Status
	for _, p := range s.controllers {
		status := p.ownStatus()
		younger := status.Generation > best.Generation ||
			status.Generation == best.Generation && status.Group.Term > best.Group.Term
		if status.Group.Role == consensus.RoleLeader && (found == nil || younger) {
			found, best = p, status
		}
	}
	return found, best
}

func (s *system) aFollower() *controllerProcess {
	leader, _ := s.leader()
	for number := 1; number <= 9; number++ {
		p := s.controllers[controllerHost(number)]
		if p != nil && p != leader && p.ownStatus().Group.Role == consensus.RoleFollower {
			return p
		}
	}
	s.require(false, "no follower")
	return nil
}

// hasVoters reports whether the group has exactly count voters, all running.
func (s *system) hasVoters(count int) func() bool {
	return func() bool {
		leader, status := s.leader()
		if leader == nil || len(status.Group.Membership.Members) != count {
			return false
		}
		running := 0
		for _, member := range status.Group.Membership.Members {
			for _, p := range s.controllers {
				own := p.ownStatus()
				if own.Group.Self == member.ID && own.Generation == status.Generation && !member.Learner {
					running++
				}
			}
		}
		return running == count
	}
}

// settled reports whether a leader of the generation has the version in force,
// with every keyed slice owned and served.
func (s *system) settled(generation wire.Generation, version bundle.Version) func() bool {
	return s.inForce(generation, version, func(a cellstate.Assignment) bool { return !a.Shared })
}

// complete also wants a grant at every server of the pools.
func (s *system) complete(generation wire.Generation, version bundle.Version) func() bool {
	return s.inForce(generation, version, func(cellstate.Assignment) bool { return true })
}

func (s *system) inForce(generation wire.Generation, version bundle.Version, concerns func(cellstate.Assignment) bool) func() bool {
	return func() bool {
		leader, status := s.leader()
		if leader == nil || status.Generation != generation {
			return false
		}
		team := status.State.Teams[teamName]
		if team.Bundle.Version != version || !team.InForce {
			return false
		}
		return !slices.ContainsFunc(status.State.Assignments, func(a cellstate.Assignment) bool {
			return teamOf(a) && concerns(a) && (!a.Owned() || a.State != wire.SliceServing || a.Bundle != version)
		})
	}
}

func teamOf(a cellstate.Assignment) bool {
	return strings.HasPrefix(string(a.Slice.Service), teamName+"/")
}

// owners returns the owner of each slice of a service as the leader knows it.
func (s *system) owners(service string) map[string]bundle.ServerName {
	owners := map[string]bundle.ServerName{}
	_, status := s.leader()
	for _, a := range status.State.Assignments {
		if string(a.Slice.Service) == service && a.State == wire.SliceServing {
			owners[a.Slice.String()] = a.Owner
		}
	}
	return owners
}

// holdsNothing reports whether the leader gives a server no slice.
func (s *system) holdsNothing(name bundle.ServerName) func() bool {
	return func() bool {
		leader, status := s.leader()
		return leader != nil && !slices.ContainsFunc(status.State.Assignments, func(a cellstate.Assignment) bool {
			return a.Owner == name
		})
	}
}

func (s *system) describe() string {
	var text strings.Builder
	for host, p := range s.controllers {
		status := p.ownStatus()
		fmt.Fprintf(&text, "%s generation %d role %s term %d members %v teams", host, status.Generation,
			status.Group.Role, status.Group.Term, status.Group.Membership.Members)
		for name, team := range status.State.Teams {
			fmt.Fprintf(&text, " %s:%d in force %t", name, team.Bundle.Version, team.InForce)
		}
		for _, a := range status.State.Assignments {
			if teamOf(a) && status.Group.Role == consensus.RoleLeader {
				fmt.Fprintf(&text, "\n    %s %s %s %d", a.Slice, a.Owner, a.State, a.Bundle)
			}
		}
		text.WriteString("\n")
	}
	return text.String()
}
