package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// FlagName returns the flag that overrides a field, such as "--peer-listen".
func FlagName(field string) string {
	return "--" + strings.ReplaceAll(field, "_", "-")
}

// Key decodes the operator's public key.
func (o Operator) Key() (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(o.PublicKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, Error.New("operator %q: the public key is not %d bytes in base64", o.Name, ed25519.PublicKeySize)
	}
	return ed25519.PublicKey(key), nil
}

func problem(field, expected string) strictyaml.Problem {
	return strictyaml.Problem{Field: field, Message: "expected " + expected}
}

func checkAddresses(gateway Gateway) []strictyaml.Problem {
	if gateway.Listen == "" || gateway.Listen != gateway.PeerListen {
		return nil
	}
	return []strictyaml.Problem{problem("peer_listen", "another address than listen")}
}

func checkOperators(operators []Operator) []strictyaml.Problem {
	var problems []strictyaml.Problem
	names := map[string]bool{}
	keys := map[string]bool{}
	for index, operator := range operators {
		path := fmt.Sprintf("operators[%d]", index)
		if names[operator.Name] {
			problems = append(problems, problem(path+".name", "a name that no other operator has"))
		}
		// Two names with one key would let one person approve their own bundle.
		if keys[operator.PublicKey] {
			problems = append(problems, problem(path+".public_key", "a key that no other operator has"))
		}
		if _, err := operator.Key(); err != nil {
			problems = append(problems, problem(path+".public_key", "an ed25519 public key, 32 bytes in base64"))
		}
		names[operator.Name] = true
		keys[operator.PublicKey] = true
	}
	return problems
}

// shorter says that one period must be above zero and below a limit.
type shorter struct {
	field     string
	period    bundle.Duration
	limitName string
	limit     bundle.Duration
}

// checkTimes refuses periods under which the safety argument or the control
// group's liveness would not hold.
func checkTimes(times Times) []strictyaml.Problem {
	rules := []shorter{
		{"times.renew", times.Renew, "times.grant", times.Grant},
		{"times.pool_renew", times.PoolRenew, "times.pool_grant", times.PoolGrant},
		{"times.heartbeat", times.Heartbeat, "times.leadership_lease", times.LeaderLease},
		// The promise of a majority lasts election_min on the voters' clocks, so
		// the lease must end before it by more than the clocks can differ.
		{"times.leadership_lease", times.LeaderLease, "times.election_min less times.drift_margin", times.ElectionMin - times.DriftMargin},
		{"times.election_min", times.ElectionMin, "times.election_max", times.ElectionMax},
		{"times.drift_margin", times.DriftMargin, "times.grant", times.Grant},
		{"times.election_max", times.ElectionMax, "times.replace_after", times.ReplaceAfter},
		{"times.election_max", times.ElectionMax, "times.reform_after", times.ReformAfter},
	}
	var problems []strictyaml.Problem
	for _, rule := range rules {
		if rule.period <= 0 || rule.period >= rule.limit {
			problems = append(problems, problem(rule.field, "a duration above zero and below "+rule.limitName))
		}
	}
	return problems
}
