package settings

import (
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/strictyaml"
)

var validate = strictyaml.NewValidator()

// Override is a setting given as a flag; it takes precedence over the file.
type Override struct {
	// Field is the top-level name in the file, such as "listen". The flag has the same name,
	// with dashes.
	Field string
	// Value is the value as YAML text, so a list is [a, b].
	Value string
}

// TextOverride returns the override of a text field by a flag's unquoted value.
func TextOverride(field, text string) Override {
	return Override{Field: field, Value: strconv.Quote(text)}
}

// Problems is an error that lists all problems of the settings.
type Problems []strictyaml.Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	return strictyaml.Format(p)
}

// decode sets target from the file, then from the flags, and checks the result.
func decode(file string, data []byte, overrides []Override, target any, check func() []strictyaml.Problem) error {
	var flagProblems []strictyaml.Problem
	fileProblems := strictyaml.Read(file, data, target, func() []strictyaml.Problem {
		flagProblems = applyOverrides(overrides, target)
		return addFlagNames(check(), overrides)
	})
	if problems := append(flagProblems, fileProblems...); len(problems) > 0 {
		return Problems(problems)
	}
	return nil
}

// applyOverrides sets the fields that are given as flags.
func applyOverrides(overrides []Override, target any) []strictyaml.Problem {
	var problems []strictyaml.Problem
	for _, flag := range overrides {
		text := []byte(flag.Field + ": " + flag.Value)
		found := strictyaml.Read(FlagName(flag.Field), text, target, noCheck)
		for _, problem := range found {
			problem.Line = 0 // a position in a flag's text does not help the operator
			problems = append(problems, problem)
		}
	}
	return problems
}

func noCheck() []strictyaml.Problem {
	return nil
}

// addFlagNames adds to each problem the name of the flag that gave the value, if any.
func addFlagNames(problems []strictyaml.Problem, overrides []Override) []strictyaml.Problem {
	for index := range problems {
		for _, flag := range overrides {
			if problems[index].Field == flag.Field {
				problems[index].Message += ", from " + FlagName(flag.Field)
			}
		}
	}
	return problems
}

// Default values of optional settings.
const (
	DefaultMaxHold = 10 * time.Second
	DefaultGrace   = 6 * time.Second
	DefaultDrain   = 2 * time.Second
	// DefaultCatchUp is the limit that the users' platform sets.
	DefaultCatchUp     = 3 * time.Second
	DefaultEvacuate    = 5 * time.Second
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 20
	DefaultRetryWindow = 10 * time.Second
	// The defaults of the quota are the limits that the users' platform sets.
	DefaultQuotaWindow    = 5 * time.Second
	DefaultQuotaOvershoot = 0.1
	DefaultQuotaSlack     = 20
	// DefaultRevokeWithin is the time that the users' platform allows until all routers refuse a
	// caller whose key was revoked, where revocation is strict.
	DefaultRevokeWithin = 5 * time.Second
	// DefaultDirectRouters is 32 since that many connections cost a leader little, and each relay
	// is one more process that may fail.
	DefaultDirectRouters = 32
)
