package bundle

import (
	"fmt"
	"regexp"

	"github.com/shalefork/shalefork/internal/strictyaml"
)

// ReservedTeam is the team of the system's own services. No bundle may use it.
const ReservedTeam TeamName = "system"

// nameExpectation describes namePattern in problems.
const nameExpectation = "1 to 63 of a-z, 0-9 and '-', with '-' neither first nor last"

// namePattern restricts names to characters that are safe in URLs, headers, logs and metrics. It
// excludes "/", which separates the parts of a scoped name.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var tagValidator = strictyaml.NewValidator()

// Check returns all problems of a bundle, by field, without positions in the file. A bundle
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
	// reported contains the fields with a problem found by their tag. No second problem is
	// reported for these.
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

// elementPath returns the field path of an element of a list.
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

// checkZone reports a zone that the bundle does not declare. If the bundle declares no zones, that
// is already reported as a problem, and checkZone reports nothing.
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

// unique reports values that occur more than once.
type unique struct {
	checker *checker
	// what names the kind of value in problems.
	what string
	// first maps each value to the path where it occurred first.
	first map[string]string
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
