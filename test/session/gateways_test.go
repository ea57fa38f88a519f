package session

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/gateway"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

// gatewayDialTimeout is the time that a gateway gives a dial over TCP.
const gatewayDialTimeout = 2 * time.Second

// gatewayProcess is one run of a gateway.
type gatewayProcess struct {
	number int
	host   string
	cancel context.CancelFunc
	done   chan error
	// unreachable says that callers do not reach it.
	unreachable bool
}

func gatewayHost(number int) string { return fmt.Sprintf("10.0.2.%d", number) }

func ledgerName(number int) bundle.ServerName {
	return bundle.ServerName("system/ledger/" + gatewayHost(number) + ":81")
}

// startGateway runs gateway number on its machine.
func (s *system) startGateway(number int) *gatewayProcess {
	host := gatewayHost(number)
	s.network.Heal(memnet.Place(host))
	config := settings.Gateway{
		Common:     settings.Common{Cell: cellName, Zone: zoneOf(number), Token: token, Machine: host},
		Listen:     host + ":80",
		PeerListen: host + ":81",
	}
	for i := range 5 {
		config.Controllers = append(config.Controllers, controllerAddress((number+i-1)%5+1))
	}
	registry := prometheus.NewRegistry()
	made, err := gateway.New(config, gateway.Dependencies{
		Clock:      clock.NewVirtual(),
		Logger:     quiet(),
		Registerer: registry,
		Gatherer:   registry,
		Dial:       s.network.Dialer(host, gatewayDialTimeout),
		Listen:     s.network.Listen,
	})
	s.noError(err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &gatewayProcess{number: number, host: host, cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- made.Run(ctx) }()
	s.gateways[host] = p
	return p
}

// killGateway ends a gateway as a crash of its machine does: from here on
// nobody hears of it.
func (s *system) killGateway(p *gatewayProcess) {
	s.network.Cut(memnet.Place(p.host))
	p.cancel()
	delete(s.gateways, p.host)
	s.ending.Go(func() { <-p.done })
}

// stopGateway ends a gateway by plan and returns once it is gone.
func (s *system) stopGateway(p *gatewayProcess) {
	p.cancel()
	s.noError(<-p.done)
	delete(s.gateways, p.host)
}

// ledgerOwner returns the gateway that owns the hash of an idempotency key; nil
// while none does.
func (s *system) ledgerOwners() map[bundle.ServerName]int {
	owners := map[bundle.ServerName]int{}
	_, status := s.leader()
	for _, a := range status.State.Assignments {
		if a.Slice.Service == cellstate.LedgerService && a.Owned() && a.State == wire.SliceServing {
			owners[a.Owner]++
		}
	}
	return owners
}

// answering reports whether each gateway in reach answers a lookup, which has
// to know the present owner, and a booking, which has to know the ledger's.
func (s *system) answering() bool {
	for number := 1; number <= 3; number++ {
		p := s.gateways[gatewayHost(number%3+1)]
		if p == nil || p.unreachable {
			continue
		}
		for _, class := range []string{"lookup", "booking"} {
			probe := newOperation(class, fmt.Sprintf("probe-%d", s.now()), number)
			if s.callerAttempt(s.probeClient(), probe, 0).call.Status != http.StatusOK {
				return false
			}
		}
	}
	return true
}
