package controller

import (
	"encoding/json"
	"net/http"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/wire"
)

// PathUnregister takes an Unregistration by POST: a gateway that stops by plan
// says that it leaves. Any controller takes it and passes it on to the leader.
// The answer is 200 with an UnregisterResponse, or 503.
const PathUnregister = "/shalefork/v1/control/unregister"

// Unregistration names the run of a gateway that leaves.
type Unregistration struct {
	Name        bundle.ServerName `json:"name"`
	Incarnation wire.Incarnation  `json:"incarnation"`
}

// UnregisterResponse says what became of it.
type UnregisterResponse struct {
	// Unregistered says that the committed state does not hold the server's
	// incarnation.
	Unregistered bool `json:"unregistered"`
}

func (c *Controller) serveUnregister(writer http.ResponseWriter, request *http.Request) {
	var leaving Unregistration
	if err := json.NewDecoder(request.Body).Decode(&leaving); err != nil {
		http.Error(writer, "unregistration cannot be read", http.StatusBadRequest)
		return
	}
	answer, leading := c.unregisterHere(request, leaving)
	if !leading && !c.forward(request, PathUnregister, leaving, &answer) {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "no leader is known", http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, http.StatusOK, answer)
}

// unregisterHere unregisters the server if this process leads. See registerHere.
func (c *Controller) unregisterHere(request *http.Request, server Unregistration) (UnregisterResponse, bool) {
	var answer UnregisterResponse
	leading := false
	if !c.call(request.Context(), func(r *replica) { answer, leading = r.unregister(server) }) {
		return UnregisterResponse{}, false
	}
	return answer, leading
}

// unregister proposes to forget a gateway if it is the very run that is
// registered and owns nothing. Otherwise it is ignored: who is silent for long
// is forgotten anyway. It returns false if this process does not lead.
func (r *replica) unregister(leaving Unregistration) (UnregisterResponse, bool) {
	if r.leadership == nil {
		return UnregisterResponse{}, false
	}
	known, found := r.state.Servers[leaving.Name]
	if !found || known.Incarnation != leaving.Incarnation {
		return UnregisterResponse{Unregistered: true}, true
	}
	if known.Service == cellstate.LedgerService && len(r.state.OwnedBy(leaving.Name)) == 0 {
		r.proposeOnce(cellstate.Command{RemoveServer: &cellstate.RemoveServer{Server: leaving.Name}})
	}
	return UnregisterResponse{}, true
}
