package session

import (
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/wire"
)

// A gateway is killed after the ledger let a booking proceed and before the
// server had a byte of it. The caller repeats it at the other gateways: it is
// told that the outcome is unknown, and nothing runs.
func TestGatewayKilledBetweenBeginAndSend(t *testing.T) {
	play(t, func(s *system) {
		s.allow(6*time.Second, "lookup", "reserve", "booking")
		s.allowUnknown("reserve", "booking")
		const slow = 100 * time.Millisecond
		for _, name := range []string{"booking-1", "booking-2", "booking-3"} {
			s.network.Delay(memnet.Place(s.servers[name].host), slow)
		}
		s.pass(time.Second)
		s.note("a booking passes the ledger; its gateway is killed before the server has a byte")
		o := newOperation("booking", "lost", 0)
		result := make(chan attempt, 1)
		s.callers.running.Go(func() { result <- s.callerAttempt(s.callers.client, o, 0) })
		s.pass(slow / 2)
		p := s.gateways[gatewayHost(o.gateway+1)]
		s.killGateway(p)
		<-result
		for number := 1; number <= 6; number++ {
			if number%3 == 0 {
				continue // the killed one
			}
			made := s.callerAttempt(s.callers.client, o, number)
			s.require(made.call.Outcome == wire.OutcomeUnknown, "repeat %d: %+v", number, made)
			s.pass(time.Second)
		}
		s.note("  each repeat at another gateway is told: outcome unknown")
		s.require(s.runsOf("booking/lost") == 0, "it ran")
		s.note("  no server ran it")
		s.ending.Wait()
		s.startGateway(p.number)
		s.whole(1, 1)
	})
}

// runsOf counts the runs under an idempotency key.
func (s *system) runsOf(key string) int {
	count := 0
	for _, run := range history.Latest(s.collector.History().Executions) {
		if run.IdempotencyKey == key {
			count++
		}
	}
	return count
}
