package demo

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/kv"
)

// What faults of the platform's service do.
const (
	slowest     = 1500 * time.Millisecond
	lostAnswers = 0.5
	longestLag  = 10 * time.Second
)

// freezeChange is the part of worker.Change that freezes a server.
type freezeChange struct {
	Freeze bundle.Duration `json:"freeze"`
}

// run plays one fault to its end.
func (s *soak) run(ctx context.Context, next plannedFault) error {
	kill := func(each *slot) error { return each.kill(ctx, next.For) }
	hold := func(each *slot) error { return each.hold(ctx, next.For) }
	stop := func(each *slot) error { return each.stop(ctx, next.For) }
	freeze := func(each *slot) error { return s.freeze(ctx, each, next.For) }
	switch next.Fault {
	case faultKillServer:
		return injectOne(choose(s.workers, next.Choice), kill)
	case faultKillOwner:
		return injectOne(s.owner(ctx, next.Choice), kill)
	case faultPauseServer:
		return injectOne(choose(s.workers, next.Choice), hold)
	case faultPauseOwner:
		return injectOne(s.owner(ctx, next.Choice), hold)
	case faultFreezeServer:
		return injectOne(choose(s.workers, next.Choice), freeze)
	case faultStopServer:
		return injectOne(choose(s.workers, next.Choice), stop)
	case faultKillGateway:
		return injectOne(choose(s.gateways, next.Choice), kill)
	case faultPauseGateway:
		return injectOne(choose(s.gateways, next.Choice), hold)
	case faultStopGateway:
		return injectOne(choose(s.gateways, next.Choice), stop)
	default:
		return s.runControl(ctx, next)
	}
}

// runControl plays the faults of controllers, platform and operators.
func (s *soak) runControl(ctx context.Context, next plannedFault) error {
	kill := func(each *slot) error { return each.kill(ctx, next.For) }
	hold := func(each *slot) error { return each.hold(ctx, next.For) }
	stop := func(each *slot) error { return each.stop(ctx, next.For) }
	switch next.Fault {
	case faultKillControl:
		return injectOne(choose(s.controllers, next.Choice), kill)
	case faultPauseControl:
		return injectOne(choose(s.controllers, next.Choice), hold)
	case faultStopControl:
		return injectOne(choose(s.controllers, next.Choice), stop)
	case faultKillLeader:
		return injectOne(s.members(ctx, next.Choice)[0], kill)
	case faultPauseLeader:
		return injectOne(s.members(ctx, next.Choice)[0], hold)
	case faultKillMajority:
		return injectAll(s.members(ctx, next.Choice), kill)
	case faultPauseMajority:
		return injectAll(s.members(ctx, next.Choice), hold)
	case faultRoll:
		return s.roll(ctx, next)
	case faultRace:
		return s.race(ctx, next)
	default:
		return s.runPlatform(ctx, next)
	}
}

// runPlatform plays one fault of the platform's service and ends it.
func (s *soak) runPlatform(ctx context.Context, next plannedFault) error {
	share := float64(next.Choice%100) / 100
	calmLag := bundle.Duration(machineLag)
	lag := calmLag + bundle.Duration(share*float64(longestLag))
	var begin, end kv.Control
	switch next.Fault {
	case faultOutage:
		begin.Outage, end.Outage = &kv.Outage{On: true}, &kv.Outage{}
	case faultSlow:
		begin.Slow, end.Slow = &kv.Slow{Delay: bundle.Duration(share * float64(slowest))}, &kv.Slow{}
	case faultLoseAnswers:
		begin.LoseAnswers = &kv.LoseAnswers{Probability: lostAnswers, Seed: uint64(next.Choice)}
		end.LoseAnswers = &kv.LoseAnswers{}
	case faultMachineLag:
		begin.Machines, end.Machines = &kv.Machines{Lag: &lag}, &kv.Machines{Lag: &calmLag}
	default:
		return Error.New("unknown fault %q", next.Fault)
	}
	if err := s.cell.controlPlatform(ctx, begin); err != nil {
		return err
	}
	pause(ctx, next.For)
	return s.cell.controlPlatform(ctx, end)
}

// freeze freezes a server by its control, which returns only once the freeze
// has begun.
func (s *soak) freeze(ctx context.Context, each *slot, frozen time.Duration) error {
	// A server that is slow to answer is no failure of the router.
	_ = post(ctx, each.control, freezeChange{Freeze: bundle.Duration(frozen)})
	pause(ctx, frozen)
	return nil
}

func choose(slots []*slot, choice int) *slot {
	return slots[choice%len(slots)]
}

// owner returns the owner of the hottest key, or any server while none is known.
func (s *soak) owner(ctx context.Context, choice int) *slot {
	if service, key, err := s.cell.hottest(); err == nil {
		if name, err := s.cell.ownerOf(ctx, service, key); err == nil && s.byServer[name] != nil {
			return s.byServer[name]
		}
	}
	return choose(s.workers, choice)
}

// members returns the leading controller and one more member of the control
// group, or any two while there is no leader.
func (s *soak) members(ctx context.Context, choice int) []*slot {
	status, err := s.cell.client.Status(ctx)
	var leader *slot
	var others []*slot
	for _, member := range status.Group.Membership.Members {
		found, known := s.byAddress[member.Address]
		switch {
		case !known:
		case member.ID == status.Group.Leader:
			leader = found
		default:
			others = append(others, found)
		}
	}
	if err != nil || leader == nil || len(others) == 0 {
		return []*slot{choose(s.controllers, choice), choose(s.controllers, choice+1)}
	}
	return []*slot{leader, choose(others, choice)}
}

// injectOne plays a fault on a process that no other fault has.
func injectOne(target *slot, play func(*slot) error) error {
	return injectAll([]*slot{target}, play)
}

// injectAll plays a fault on all of the processes at once.
func injectAll(targets []*slot, play func(*slot) error) error {
	for _, target := range targets {
		if !target.faulty.TryLock() {
			return errBusy
		}
		defer target.faulty.Unlock()
	}
	results := make(chan error, len(targets))
	for _, target := range targets {
		go func() {
			if ended := target.current(); ended.Ended() {
				results <- Error.New("%s had ended by itself: %v", target.name, ended.Wait(context.Background()))
				return
			}
			results <- play(target)
		}()
	}
	var failed error
	for range targets {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}
