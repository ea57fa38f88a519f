package settings

import (
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/strictyaml"
)

var validate = strictyaml.NewValidator()

// Override is a setting given as a flag; it wins over the file.
type Override struct {
	// Field is the top-level name in the file, such as "listen". The flag is
	// called by the same name with dashes.
	Field string
	// Value is the text of the field in YAML, so a list is [a, b].
	Value string
}

// TextOverride returns the override of a field by a flag's plain text.
func TextOverride(field, text string) Override {
	return Override{Field: field, Value: strconv.Quote(text)}
}

// Problems is an error that lists all that is wrong with a settings file.
type Problems []strictyaml.Problem

// Error returns one problem a line. No line repeats the token.
func (p Problems) Error() string {
	return strictyaml.Format(p)
}

// decode sets target from the file, then from the flags, and checks the whole.
func decode(file string, data []byte, overrides []Override, target any, check func() []strictyaml.Problem) error {
	var inFlags []strictyaml.Problem
	inFile := strictyaml.Read(file, data, target, func() []strictyaml.Problem {
		inFlags = applyOverrides(overrides, target)
		return addFlagNames(check(), overrides)
	})
	if problems := append(inFlags, inFile...); len(problems) > 0 {
		return Problems(problems)
	}
	return nil
}

// override sets the fields that flags give.
func applyOverrides(overrides []Override, target any) []strictyaml.Problem {
	var problems []strictyaml.Problem
	for _, flag := range overrides {
		text := []byte(flag.Field + ": " + flag.Value)
		found := strictyaml.Read(FlagName(flag.Field), text, target, noCheck)
		for _, problem := range found {
			problem.Line = 0 // a place in a flag's text says nothing
			problems = append(problems, problem)
		}
	}
	return problems
}

func noCheck() []strictyaml.Problem {
	return nil
}

// addFlagNames adds to each problem the flag that gave the value, if one did.
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

// Defaults of settings that may be left out.
const (
	DefaultMaxHold = 10 * time.Second
	DefaultGrace   = 6 * time.Second
	DefaultDrain   = 2 * time.Second
	// DefaultCatchUp is the bound of the users' platform.
	DefaultCatchUp     = 3 * time.Second
	DefaultEvacuate    = 5 * time.Second
	DefaultRetryRatio  = 0.1
	DefaultRetrySlack  = 20
	DefaultRetryWindow = 10 * time.Second
	// The quota's defaults are the bounds of the users' platform.
	DefaultQuotaWindow    = 5 * time.Second
	DefaultQuotaOvershoot = 0.1
	DefaultQuotaSlack     = 20
	// DefaultRevokeWithin: a caller whose key was taken away is refused everywhere within
	// the time that the users' platform gives where revocation is strict.
	DefaultRevokeWithin = 5 * time.Second
	// DefaultDirectRouters: so many links cost a leader little, and each relay between is
	// one more process that may fail.
	DefaultDirectRouters = 32
)
