package bundle

import (
	"fmt"
	"regexp"

	"github.com/shalefork/shalefork/internal/strictyaml"
)

// ReservedTeam owns the services of the system itself.
const ReservedTeam TeamName = "system"

// nameExpectation describes namePattern to operators.
const nameExpectation = "1 to 63 of a-z, 0-9 and '-', with '-' neither first nor last"

// namePattern keeps names safe in URLs, headers, logs and metrics, and free of
// the "/" that scopes them.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var tagValidator = strictyaml.NewValidator()

// Check returns every problem of a bundle, by field, without places. A bundle
// without problems can be proposed.
func Check(b Bundle) []Problem {
	c := &checker{bundle: b, reported: map[string]bool{}}
	c.checkTags()
	c.checkNames()
	c.checkRoutes()
	c.checkAddresses()
	c.checkTenants()
	for i, service := range b.Services {
		c.checkService(elementPath("services", i), service)
	}
	return c.problems
}

// checker collects the problems of one bundle.
type checker struct {
	bundle   Bundle
	problems []Problem
	// reported fields have a problem by their tag; a second one is noise.
	reported map[string]bool
}

func (c *checker) report(path, format string, arguments ...any) {
	if c.reported[path] {
		return
	}
	c.problems = append(c.problems, Problem{Field: path, Message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) checkTags() {
	c.problems = tagValidator.Check(c.bundle)
	for _, problem := range c.problems {
		c.reported[problem.Field] = true
	}
}

// field returns the path of an element of a list.
func elementPath(list string, index int) string {
	return fmt.Sprintf("%s[%d]", list, index)
}

func (c *checker) checkNames() {
	c.checkName("team", string(c.bundle.Team))
	if c.bundle.Team == ReservedTeam {
		c.report("team", "expected another name: %q is reserved", ReservedTeam)
	}
	c.checkName("cell", string(c.bundle.Cell))
	for i, zone := range c.bundle.Zones {
		c.checkName(elementPath("zones", i), string(zone))
	}
	names := newUnique(c, "service name")
	for i, service := range c.bundle.Services {
		path := elementPath("services", i) + ".name"
		c.checkName(path, service.Name)
		names.add(path, service.Name)
	}
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.report(path, "expected %s", nameExpectation)
	}
}

// checkZone reports a zone that the bundle does not declare. A bundle without
// zones has that one problem.
func (c *checker) checkZone(path string, zone Zone) {
	if len(c.bundle.Zones) == 0 {
		return
	}
	for _, declared := range c.bundle.Zones {
		if zone == declared {
			return
		}
	}
	c.report(path, "expected one of the bundle's zones, found %q", zone)
}

// unique reports values that stand twice.
type unique struct {
	checker *checker
	what    string
	first   map[string]string
}

func newUnique(c *checker, what string) *unique {
	return &unique{checker: c, what: what, first: map[string]string{}}
}

func (u *unique) add(path, value string) {
	if earlier, found := u.first[value]; found {
		u.checker.report(path, "expected each %s once: %q stands also at %s", u.what, value, earlier)
		return
	}
	u.first[value] = path
}
