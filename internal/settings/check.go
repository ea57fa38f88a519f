package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/shalefork/shalefork/internal/strictyaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// FlagName returns the flag that overrides a field, such as "--peer-listen".
func FlagName(field string) string {
	return "--" + strings.ReplaceAll(field, "_", "-")
}

// Key returns the operator's public key. It returns an error if the setting is not a valid key.
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

func checkOperators(operators []Operator) []strictyaml.Problem {
	var problems []strictyaml.Problem
	if len(operators) == 1 {
		problems = append(problems, problem("operators", "two at least: nobody approves an own proposal"))
	}
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
