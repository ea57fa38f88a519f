package session

import (
	"fmt"
	"testing"
	"time"
)

// pullTime is how long each slow pull takes.
const pullTime = 2 * time.Minute

// beginPulls starts a slow pull through each gateway and stops the other load,
// so that minutes of virtual time stay cheap.
func (s *system) beginPulls(round string) []*pull {
	var pulls []*pull
	for number := 1; number <= 3; number++ {
		if s.gateways[gatewayHost(number)] != nil {
			pulls = append(pulls, s.startPull(number, fmt.Sprintf("%s-%d", round, number), pullTime))
		}
	}
	s.pass(200 * time.Millisecond)
	return pulls
}

func (s *system) endPulls(pulls []*pull) {
	s.t.Helper()
	for _, p := range pulls {
		made := <-p.done
		s.require(made.answered(), "a pull was cut: %+v", made)
	}
	s.note("  every pull of %s came whole", pullTime)
}

// All controllers are stopped by plan, one after the other, each replaced by a
// new process.
func TestControllersStopInTurn(t *testing.T) {
	play(t, func(s *system) {
		pulls := s.beginPulls("controllers")
		for number := 1; number <= 3; number++ {
			s.note("controller %d is stopped and started again", number)
			s.stopController(s.controllers[controllerHost(number)])
			s.startController(number)
			s.within(recovery, "a group of 3 voters", s.hasVoters(3))
			s.within(time.Second, "every slice is served", s.settled(1, 1))
		}
		s.callers.pause()
		s.endPulls(pulls)
	})
}

// All servers of a service are stopped by plan, one after the other: their keys
// move by release, and no request notices.
func TestServersStopInTurn(t *testing.T) {
	play(t, func(s *system) {
		for _, service := range []string{"lookup", "reserve", "booking"} {
			for number := 1; number <= 3; number++ {
				v := s.servers[fmt.Sprintf("%s-%d", service, number)]
				s.note("%s is stopped and started again", v.backend.Name)
				v.stop()
				s.startServer(v.service, v.backend)
				s.within(4*time.Second, "it is back, every slice is served", s.complete(1, 1))
			}
		}
		pulls := s.beginPulls("servers")
		s.note("all servers of the pulls are stopped while pulls run")
		for number := 1; number <= 3; number++ {
			s.ending.Go(s.servers[fmt.Sprintf("export-%d", number)].stop)
		}
		s.callers.pause()
		s.endPulls(pulls)
		s.ending.Wait()
		for number := 1; number <= 3; number++ {
			v := s.servers[fmt.Sprintf("export-%d", number)]
			s.startServer(v.service, v.backend)
		}
	})
}

// All gateways are stopped by plan, one after the other, each with a pull.
func TestGatewaysStopInTurn(t *testing.T) {
	play(t, func(s *system) {
		for number := 1; number <= 3; number++ {
			s.callers.resume()
			pulls := s.beginPulls(fmt.Sprintf("gateways-%d", number))
			s.note("gateway %d is stopped", number)
			stopped := make(chan struct{})
			p := s.gateways[gatewayHost(number)]
			go func() {
				s.stopGateway(p)
				close(stopped)
			}()
			s.pass(6 * time.Second)
			s.callers.pause()
			s.endPulls(pulls)
			<-stopped
			s.note("  it is gone, and starts again")
			s.startGateway(number)
			s.within(recovery, "the ledger is owned and every gateway answers", s.answering)
		}
		s.callers.resume()
		s.pass(time.Second)
	})
}
