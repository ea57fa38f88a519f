package session

import (
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
)

// recovery bounds the time until the cell is whole again after a failure ended:
// a new group is formed, or a member replaced, within it.
const recovery = 15 * time.Second

// Nothing fails: the course of a quiet cell.
func TestNothingFails(t *testing.T) {
	play(t, func(s *system) {
		s.pass(3 * time.Second)
		s.within(time.Second, "generation 1 leads, version 1 is in force", s.settled(1, 1))
	})
}

// Each failure alone, with a new version of the bundle rolled in the midst.
func TestFailure(t *testing.T) {
	for _, failure := range faults {
		t.Run(failure.name, func(t *testing.T) {
			play(t, func(s *system) { s.endure(failure) })
		})
	}
}

// Failures in pairs, which begin and end together.
func TestPair(t *testing.T) {
	for _, names := range pairs {
		t.Run(names[0]+" and "+names[1], func(t *testing.T) {
			play(t, func(s *system) { s.endure(named(names[0]), named(names[1])) })
		})
	}
}

// pairs of failures by name.
var pairs = [][2]string{
	{"owner killed", "leader killed"},
	{"owner cut off", "leader frozen"},
	{"owner frozen", "gateway killed"},
	{"owner killed", "platform down"},
	{"owner killed", "gateway frozen"},
	{"owner of what runs once killed", "gateway killed"},
	{"owner of what runs once frozen", "leader cut off from the majority only"},
	{"owner answers late", "gateway frozen"},
	{"leader cut off", "platform down"},
	{"leader killed", "answers of the platform lost"},
	{"leader frozen", "platform slow"},
	{"follower killed", "lease lapsed"},
	{"gateway killed", "leader killed"},
	{"pool server killed", "platform down"},
	{"owner killed", "majority killed"},
	{"gateway frozen", "majority killed"},
}

// endure plays failures that begin and end together, with a new version rolled
// meanwhile.
func (s *system) endure(failures ...fault) {
	expected := together(failures)
	expected.prepare(s)
	var heals []func()
	for _, failure := range failures {
		heals = append(heals, failure.inject(s))
	}
	s.pass(rollAfter)
	rolled := s.rollMeanwhile(expected)
	s.pass(expected.lasts - rollAfter)
	if expected.carriesOn {
		s.carriesOn(expected)
	}
	if expected.carriesOn {
		s.within(6*time.Second, "every gateway in reach answers", s.answering)
	}
	for _, heal := range heals {
		heal()
	}
	if !rolled {
		s.note("roll version 2")
		s.roll(nextBundle())
	}
	s.whole(expected.generationAfter(), 2)
}

// rollAfter is when, in a failure, the operators roll the next version.
const rollAfter = 300 * time.Millisecond

// together is what failures at the same time lead to.
func together(failures []fault) fault {
	sum := failures[0]
	for _, other := range failures[1:] {
		sum.lasts = max(sum.lasts, other.lasts)
		sum.carriesOn = sum.carriesOn && other.carriesOn
		sum.keepsVersion = sum.keepsVersion || other.keepsVersion
		sum.refusesRoll = sum.refusesRoll || other.refusesRoll
		sum.generation = max(sum.generation, other.generation)
		sum.unknown = append(sum.unknown[:len(sum.unknown):len(sum.unknown)], other.unknown...)
		sum.allowed = sumOf(sum.allowed, other.allowed)
	}
	return sum
}

// sumOf adds the bounds of two failures.
func sumOf(one, other map[string]time.Duration) map[string]time.Duration {
	total := map[string]time.Duration{}
	for _, class := range loadClasses {
		total[class.name] = max(time.Second, one[class.name]) + max(time.Second, other[class.name])
	}
	return total
}

// rollMeanwhile rolls version 2 during a failure and reports whether the
// platform's service took it.
func (s *system) rollMeanwhile(expected fault) bool {
	if !expected.refusesRoll {
		s.note("roll version 2 meanwhile")
		s.roll(nextBundle())
		return true
	}
	began := s.now()
	_, failure := s.propose(s.anyController(), "amina", nextBundle())
	s.require(failure.Code != "" && failure.RetryAfter > 0, "a proposal without the platform's service: %+v", failure)
	s.require(s.now()-began < 3*time.Second, "refused only after %s", s.now()-began)
	s.note("  a proposal is refused: %s", failure.Code)
	return false
}

// carriesOn checks that every slice is served while the failure lasts.
func (s *system) carriesOn(expected fault) {
	version := bundle.Version(2)
	if expected.refusesRoll {
		version = 1
	}
	if expected.keepsVersion {
		s.within(2*time.Second, "every slice is owned and served", func() bool {
			leader, _ := s.leader()
			return leader != nil && s.allOwned()
		})
		return
	}
	s.within(4*time.Second, "version "+string('0'+rune(version))+" is in force, every slice is owned and served", s.settled(1, version))
}

func nextBundle() bundle.Bundle {
	next := cellBundle(2)
	next.Services[0].Limits.Queue = 200
	return next
}
