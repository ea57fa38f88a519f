package session

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// bookings are as many keys as it takes to meet every slice of the ledger.
const bookings = 40

// One gateway is stopped by plan and seconds later another is lost. The two that
// remain have all records: old keys are answered, new ones are begun.
func TestGatewayLostAfterAPlannedStop(t *testing.T) {
	play(t, func(s *system) {
		s.callers.pause()
		s.startGateway(4)
		s.pass(5 * time.Second)
		for i := range bookings {
			s.require(s.books(fmt.Sprintf("old-%d", i), i%3), "booking %d", i)
		}
		s.note("gateway 1 is stopped by plan")
		s.stopGateway(s.gateways[gatewayHost(1)])
		s.pass(5 * time.Second)
		s.note("5 s later gateway 2 is killed")
		s.killGateway(s.gateways[gatewayHost(2)])
		s.within(6*time.Second, "new keys are booked", s.booksAll("new"))
		s.within(time.Second, "old keys are answered", s.booksAll("old"))
		for i := range bookings {
			runs := s.runsOf(fmt.Sprintf("booking/old-%d", i))
			s.require(runs == 1, "old key %d ran %d times", i, runs)
		}
		s.note("  no old key ran again")
	})
}

func (s *system) booksAll(prefix string) func() bool {
	return func() bool {
		for i := range bookings {
			if !s.books(fmt.Sprintf("%s-%d", prefix, i), 2) {
				return false
			}
		}
		return true
	}
}

// books asks a gateway, counted from zero, for a booking.
func (s *system) books(id string, gateway int) bool {
	made := s.callerAttempt(s.probeClient(), newOperation("booking", id, gateway), 0)
	return made.call.Status == http.StatusOK
}
