package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
)

// rollLimit bounds one change of the bundle. Operators' commands may fail while
// the control group or the platform's service is away.
const rollLimit = 12 * time.Second

// roll puts the next version into force, in which another back end leaves.
func (s *soak) roll(ctx context.Context, next plannedFault) error {
	return s.change(ctx, func(ctx context.Context) error {
		made, file, err := s.nextBundle(ctx, next.Choice, "roll")
		if err != nil {
			return s.notRolled(err)
		}
		s.returnLeaving()
		if err := s.cell.rollOut(ctx, file, made); err != nil {
			return s.notRolled(err)
		}
		s.cell.noteLeaving(made)
		return nil
	})
}

// race lets two operators propose different contents as the same version. At
// most one may win; it is rolled.
func (s *soak) race(ctx context.Context, next plannedFault) error {
	return s.change(ctx, func(ctx context.Context) error {
		_, one, err := s.nextBundle(ctx, next.Choice, "race-1")
		if err != nil {
			return s.notRolled(err)
		}
		made, other, err := s.nextBundle(ctx, next.Choice+1, "race-2")
		if err != nil {
			return s.notRolled(err)
		}
		results := make(chan error, 1)
		go func() { results <- s.propose(ctx, s.cell.proposer, one) }()
		second := s.propose(ctx, s.cell.approver, other)
		first := <-results
		switch {
		case first == nil && second == nil:
			return Error.New("two operators both won version %d", made.Version)
		case first == nil:
			return s.finish(ctx, s.cell.approver, one, made.Version)
		case second == nil:
			return s.finish(ctx, s.cell.proposer, other, made.Version)
		default:
			return s.notRolled(Error.New("both proposals failed: %v; %v", first, second))
		}
	})
}

func (s *soak) change(ctx context.Context, change func(context.Context) error) error {
	if !s.rolling.TryLock() {
		return errBusy
	}
	defer s.rolling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rollLimit)
	defer cancel()
	return change(ctx)
}

// notRolled notes a change that did not come about, which is allowed.
func (s *soak) notRolled(err error) error {
	s.progress.say("not rolled: %v", err)
	return nil
}

func (s *soak) propose(ctx context.Context, operator, file string) error {
	_, err := s.cell.admin(ctx, operator, "bundle", "propose", s.cell.files.path(file))
	return err
}

// finish lets the other operator approve and roll a proposal that won.
func (s *soak) finish(ctx context.Context, other, file string, version bundle.Version) error {
	s.returnLeaving()
	if _, err := s.cell.admin(ctx, other, "bundle", "approve", s.cell.files.path(file)); err != nil {
		return s.notRolled(err)
	}
	_, err := s.cell.admin(ctx, other, "bundle", "roll", string(s.cell.first.Team), fmt.Sprint(version))
	if err != nil {
		return s.notRolled(err)
	}
	return nil
}

// nextBundle writes a bundle of the next version. The choice picks the back end
// that leaves.
func (s *soak) nextBundle(ctx context.Context, choice int, purpose string) (bundle.Bundle, string, error) {
	latest, err := s.cell.client.Bundle(ctx, s.cell.first.Team)
	if err != nil {
		return bundle.Bundle{}, "", Error.Wrap(err)
	}
	made, err := s.cell.config.readBundle("bundle.yaml")
	if err != nil {
		return bundle.Bundle{}, "", err
	}
	made.Version = latest.Version + 1
	service := made.Services[choice%len(made.Services)]
	service.Backends[choice/len(made.Services)%len(service.Backends)].Leaving = true
	file := fmt.Sprintf("bundle-%d-%s.yaml", made.Version, purpose)
	s.mu.Lock()
	s.cell.bundles = append(s.cell.bundles, made)
	s.mu.Unlock()
	return made, file, s.cell.files.writeYAML(file, made)
}

// returnLeaving ends the check of servers that leave: the version that is now
// rolled may take them back at any moment.
func (s *soak) returnLeaving() {
	now := history.Now()
	for index := range s.cell.leaving {
		if s.cell.leaving[index].Returned == 0 {
			s.cell.leaving[index].Returned = now
		}
	}
}

func noneRolling(versions []adminapi.BundleStatus) bool {
	for _, version := range versions {
		if version.State == adminapi.StateRolling {
			return false
		}
	}
	return true
}
