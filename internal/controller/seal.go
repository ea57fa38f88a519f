package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/wire"
)

// PathSeal takes a sealRequest by POST and answers a sealResponse.
const PathSeal = "/shalefork/v1/control/seal"

// sealRequest asks a member of a generation to promise to vote, acknowledge and
// commit no more.
type sealRequest struct {
	Cell       bundle.CellName  `json:"cell"`
	Generation wire.Generation  `json:"generation"`
	Member     wire.Incarnation `json:"member"`
	// Probe only asks what the answer would be. Members are sealed only once
	// the answers suffice, so that a minority is never sealed for nothing.
	Probe bool `json:"probe,omitempty"`
}

// sealOutcome is a member's answer.
type sealOutcome string

const (
	// sealDone: the promise is given, or would be in answer to a probe.
	sealDone sealOutcome = "sealed"
	// sealLeaderLives: the member knows of a leader that may live.
	sealLeaderLives sealOutcome = "leader-lives"
	// sealNotMember: another incarnation answers at the address.
	sealNotMember sealOutcome = "not-member"
)

// sealResponse is the answer, with the state that the member holds.
type sealResponse struct {
	Incarnation wire.Incarnation `json:"incarnation"`
	Outcome     sealOutcome      `json:"outcome"`
	// Term and Index of the member's last log entry; State has it applied.
	Term  consensus.Term   `json:"term,omitempty"`
	Index consensus.Index  `json:"index,omitempty"`
	State *cellstate.State `json:"state,omitempty"`
}

// proof says what the answer proves about the member that was asked.
func (s sealResponse) proof(member wire.Incarnation) generation.Proof {
	if s.Incarnation != member {
		return generation.ProofReplaced
	}
	if s.Outcome == sealDone {
		return generation.ProofSealed
	}
	return generation.ProofNone
}

// serveSeal answers for the incarnation that runs now.
func (c *Controller) serveSeal(writer http.ResponseWriter, request *http.Request) {
	var asked sealRequest
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil || asked.Cell != c.settings.Cell {
		http.Error(writer, "seal request cannot be read", http.StatusBadRequest)
		return
	}
	var answer sealResponse
	if !c.call(request.Context(), func(r *replica) { answer = r.seal(asked) }) {
		http.Error(writer, "stopping", http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, http.StatusOK, answer)
}

// seal promises, if it may, that this incarnation does nothing more in the
// generation asked for.
func (r *replica) seal(asked sealRequest) sealResponse {
	answer := sealResponse{Incarnation: r.self(), Outcome: sealNotMember}
	if asked.Member != r.self() {
		return answer
	}
	if r.node == nil || r.generation != asked.Generation {
		return r.sealUnjoined(asked, answer)
	}
	if !r.sealNode(asked.Probe) {
		answer.Outcome = sealLeaderLives
		return answer
	}
	return r.sealedState(answer)
}

// sealUnjoined answers for a member that has not started its node in the
// generation, or has left it for a later one. The first is given as long to
// start as a group is given to find a leader, then promises never to start.
func (r *replica) sealUnjoined(asked sealRequest, answer sealResponse) sealResponse {
	if asked.Generation > r.generation && asked.Generation > r.sealedThrough && !r.startOverdue(asked.Generation) {
		answer.Outcome = sealLeaderLives
		return answer
	}
	if !asked.Probe {
		r.sealedThrough = max(r.sealedThrough, asked.Generation)
	}
	answer.Outcome = sealDone
	return answer
}

// startOverdue reports whether the generation was first asked about longer than
// ReformAfter ago, and else has the record read at once.
func (r *replica) startOverdue(asked wire.Generation) bool {
	now := r.clock.Now()
	if r.unjoined.generation != asked {
		r.unjoined = unjoinedGeneration{generation: asked, since: now.Lower}
	}
	r.poke(r.pollNow)
	return now.SurelyReached(r.unjoined.since + r.times.reformAfter)
}

// unjoinedGeneration is one that names this process, which has not joined yet.
type unjoinedGeneration struct {
	generation wire.Generation
	since      time.Duration
}

// sealNode seals the node, or says whether it would let itself be sealed. It
// does not before it has missed a leader for ReformAfter, so that a standby,
// which knows of no leader, never ends a group in the middle of an election.
func (r *replica) sealNode(probe bool) bool {
	now := r.clock.Now()
	status := r.node.Status()
	if status.Role != consensus.RoleSealed && r.sinceLeader(status) < r.times.reformAfter {
		return false
	}
	if probe {
		return r.node.Sealable(now)
	}
	if !r.node.Seal(now) {
		return false
	}
	r.stopLeading()
	return true
}

// sealedState adds the state with the whole log applied. An entry that was
// committed by the old leader alone knows to be so may stand at the end of the
// log, so the end is applied too, as an elected leader would.
func (r *replica) sealedState(answer sealResponse) sealResponse {
	state := r.state
	answer.Index = r.applied
	answer.Term = r.appliedTerm
	for _, entry := range r.node.Uncommitted() {
		answer.Index = entry.Index
		answer.Term = entry.Term
		if entry.Kind == consensus.EntryCommand {
			state, _ = applyEntry(state, entry)
		}
	}
	answer.Outcome = sealDone
	answer.State = &state
	return answer
}

// askSeal sends a seal request to an old member.
func (c *Controller) askSeal(ctx context.Context, member consensus.Member, asked sealRequest) (sealResponse, error) {
	asked.Member = member.ID
	var answer sealResponse
	err := c.postJSON(ctx, jsonCall{
		url:      "http://" + member.Address + PathSeal,
		body:     asked,
		answer:   &answer,
		limit:    wire.MaxLineBytes,
		deadline: sealTimeout,
	})
	return answer, err
}
