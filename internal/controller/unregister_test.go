package controller

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
)

func (s *session) unregister(to *process, leaving Unregistration) {
	assert.Equal(s.t, s.call(to, http.MethodPost, PathUnregister, leaving).Code, http.StatusOK)
}

// A gateway that says it leaves is forgotten at once; another run of it is not,
// nor is one that owns slices, nor a team's server.
func TestGatewayUnregisters(t *testing.T) {
	runSession(t, func(s *session) {
		s.bootCell(4)
		standby := s.standby()
		table := s.followTableOf(standby)
		owning := cellstate.Server{
			Name: testTeam + "/tables/gateway-1", Service: cellstate.LedgerService,
			Address: "10.0.2.1:9000", Zone: "zone-1", Incarnation: "run-of-gateway-1",
		}
		server := s.openServer(bundle.Backend{Name: "gateway-1", Address: owning.Address})
		s.cleanups = append(s.cleanups, func() { _ = server.http.Close() })
		s.await(3*time.Second, "a gateway is registered", func() bool { return s.register(standby, owning).Registered })
		s.await(3*time.Second, "it owns the ledger", func() bool { return len(s.status(standby).State.OwnedBy(owning.Name)) > 0 })
		idle := cellstate.Server{
			Name: "system/ledger/gateway-2", Service: cellstate.LedgerService,
			Address: "10.0.2.2:9000", Zone: "zone-2", Incarnation: "run-of-gateway-2",
		}
		s.await(3*time.Second, "another is registered, and never answers", func() bool { return s.register(standby, idle).Registered })
		s.await(3*time.Second, "the standby's table names it", func() bool { return table.has(idle.Name) })
		s.note("the owner, an older run of the other and a team's server say that they leave")
		s.unregister(standby, Unregistration{Name: owning.Name, Incarnation: owning.Incarnation})
		s.unregister(standby, Unregistration{Name: idle.Name, Incarnation: "older"})
		s.unregister(standby, Unregistration{Name: testTeam + "/tables/worker-1", Incarnation: "run-of-worker-1"})
		time.Sleep(2 * time.Second)
		for _, name := range []bundle.ServerName{owning.Name, idle.Name, testTeam + "/tables/worker-1"} {
			assert.Assert(t, table.has(name), "%s was forgotten", name)
		}
		s.note("the other leaves")
		s.unregister(standby, Unregistration{Name: idle.Name, Incarnation: idle.Incarnation})
		s.await(time.Second, "the standby's table names it no more", func() bool { return !table.has(idle.Name) })
	})
}
