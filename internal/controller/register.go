package controller

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// PathRegister takes a cellstate.Server by POST: a gateway offers itself as a
// server of the idempotency records. Any controller takes it and passes it on
// to the leader. The answer is 200 with a RegisterResponse, or 503.
const PathRegister = "/shalefork/v1/control/register"

// RegisterResponse says what became of a registration. The gateway repeats it
// until Registered, and then once in a while.
type RegisterResponse struct {
	// Registered says that the committed state holds the server's incarnation.
	Registered bool `json:"registered"`
}

const (
	// headerForwarded marks a request that one controller passed to another. It
	// is passed on at most twice: from a standby to a member, and to the leader.
	headerForwarded = "Shalefork-Forwarded"
	maxForwards     = 2
	forwardTimeout  = time.Second
)

func (c *Controller) serveRegister(writer http.ResponseWriter, request *http.Request) {
	var server cellstate.Server
	if err := json.NewDecoder(request.Body).Decode(&server); err != nil {
		http.Error(writer, "registration cannot be read", http.StatusBadRequest)
		return
	}
	if server.Service != cellstate.LedgerService {
		http.Error(writer, "only servers of "+string(cellstate.LedgerService)+" register", http.StatusBadRequest)
		return
	}
	answer, leading := c.registerHere(request, server)
	if !leading && !c.forward(request, PathRegister, server, &answer) {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "no leader is known", http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, http.StatusOK, answer)
}

// register proposes the server unless the state holds it already. It returns
// false if this process does not lead.
func (r *replica) register(server cellstate.Server) (RegisterResponse, bool) {
	if r.leadership == nil {
		return RegisterResponse{}, false
	}
	known, found := r.state.Servers[server.Name]
	if found && known.Incarnation == server.Incarnation && known.Address == server.Address {
		return RegisterResponse{Registered: true}, true
	}
	r.proposeOnce(cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: server}})
	return RegisterResponse{}, true
}

// registerHere registers the server if this process leads. What the loop writes
// is read only if the loop got to it: it may still do so after the caller left.
func (c *Controller) registerHere(request *http.Request, server cellstate.Server) (RegisterResponse, bool) {
	var answer RegisterResponse
	leading := false
	if !c.call(request.Context(), func(r *replica) { answer, leading = r.register(server) }) {
		return RegisterResponse{}, false
	}
	return answer, leading
}

// forward passes a request on to the leader, or to one who may know it, and
// returns false if there was no answer.
func (c *Controller) forward(request *http.Request, path string, body, answer any) bool {
	address, hops := c.leaderAddress(), request.Header[headerForwarded]
	if address == "" || len(hops) >= maxForwards {
		return false
	}
	err := c.postJSON(request.Context(), jsonCall{
		url:      "http://" + address + path,
		body:     body,
		answer:   answer,
		limit:    maxRequestBytes,
		deadline: forwardTimeout,
		header:   c.forwardHeader(hops),
	})
	return err == nil
}

// forwardHeader adds this process to those that passed a request on.
func (c *Controller) forwardHeader(hops []string) http.Header {
	return http.Header{headerForwarded: append(slices.Clone(hops), string(c.self()))}
}

// leaderAddress returns where the leader is, or a member that may know it;
// empty if this process is the leader or knows nobody.
func (c *Controller) leaderAddress() string {
	current := c.view.Load()
	if current.status.Leader != "" {
		return addressIn(current.status.Membership, current.status.Leader, c.self())
	}
	voters := votersOf(current.record.record.Members)
	for offset := range voters {
		voter := voters[(offset+int(c.random()%uint64(len(voters))))%len(voters)]
		if voter.ID != c.self() {
			return voter.Address
		}
	}
	return ""
}

func addressIn(membership consensus.Membership, id, self wire.Incarnation) string {
	if id == self {
		return ""
	}
	member, _ := findMember(membership, id)
	return member.Address
}
