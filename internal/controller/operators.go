package controller

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/settings"
)

// maxRequestAge is how far the time of a write may be from this machine's, so
// that a recorded write cannot be sent again much later.
const maxRequestAge = time.Minute

// operator is a person who may write.
type operator struct {
	key   ed25519.PublicKey
	teams []bundle.TeamName
}

// may reports whether the operator may change the team; none listed means all.
func (o operator) may(team bundle.TeamName) bool {
	return len(o.teams) == 0 || slices.Contains(o.teams, team)
}

// operators by name. It is never changed after the start.
type operators map[adminapi.OperatorName]operator

func parseOperators(listed []settings.Operator) (operators, error) {
	known := operators{}
	for _, one := range listed {
		key, err := base64.StdEncoding.DecodeString(one.PublicKey)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, Error.New("public key of operator %q is not an ed25519 key in base64", one.Name)
		}
		known[adminapi.OperatorName(one.Name)] = operator{key: key, teams: one.Teams}
	}
	return known, nil
}

// signedWrite is a write whose signature was checked.
type signedWrite struct {
	operator adminapi.OperatorName
	known    operator
	body     []byte
}

// authenticate checks who sent a write. Unknown operators and wrong signatures
// are told apart in the answer, which costs nothing: names are no secret.
func (c *Controller) authenticate(request *http.Request) (signedWrite, *adminapi.Failure) {
	var signed adminapi.Signed
	if err := json.NewDecoder(request.Body).Decode(&signed); err != nil {
		return signedWrite{}, invalid("the request is no signed write: %v", err)
	}
	known, found := c.operators[signed.Operator]
	if !found {
		return signedWrite{}, &adminapi.Failure{Code: adminapi.FailureUnknownOperator, Message: "operator is not in the settings"}
	}
	message := slices.Concat([]byte(adminapi.SignedPrefix+request.URL.Path+"\n"), signed.Body)
	if !ed25519.Verify(known.key, message, signed.Signature) {
		return signedWrite{}, &adminapi.Failure{Code: adminapi.FailureBadSignature, Message: "the signature does not match the request"}
	}
	return signedWrite{operator: signed.Operator, known: known, body: signed.Body}, nil
}

// checkTime refuses a write that is too old, or from a clock far ahead.
func checkTime(sent time.Time) *adminapi.Failure {
	age := time.Since(sent)
	if age > maxRequestAge || age < -maxRequestAge {
		return &adminapi.Failure{Code: adminapi.FailureStale, Message: "the time of the request is more than a minute away"}
	}
	return nil
}

// checkTeam refuses a write for a team that is not the operator's.
func (w signedWrite) checkTeam(team bundle.TeamName) *adminapi.Failure {
	if w.known.may(team) {
		return nil
	}
	return &adminapi.Failure{Code: adminapi.FailureUnknownOperator, Message: "operator may not change team " + string(team)}
}
