package controller

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/platform"
)

// presenceKeeper keeps this controller's key under a platform lease. While the
// platform's service is down it only tries again; nothing depends on it.
type presenceKeeper struct {
	controller *Controller
	lease      string
	written    *identity
	revision   platform.Revision
}

func (c *Controller) keepPresence(ctx context.Context) error {
	keeper := &presenceKeeper{controller: c}
	for {
		keeper.refresh(ctx)
		if sleepUnlessPoked(ctx, keeper.pause(), c.presenceNow) == ended {
			keeper.remove()
			return nil
		}
	}
}

// pause is short while the presence is not known to be written.
func (k *presenceKeeper) pause() time.Duration {
	if k.written == nil {
		return unsettledPoll
	}
	return presenceTTL / 4
}

func (k *presenceKeeper) refresh(ctx context.Context) {
	current := k.controller.identity.Load()
	if k.written != nil && k.written != current {
		k.remove()
	}
	if k.lease != "" && k.renew(ctx) {
		return
	}
	k.write(ctx, current)
}

// renew reports whether nothing more is to be done now.
func (k *presenceKeeper) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := k.controller.store.RenewLease(ctx, k.lease)
	if errors.Is(err, platform.ErrNotFound) {
		k.lease = ""
		k.written = nil
		return false
	}
	return err != nil || k.written != nil
}

func (k *presenceKeeper) write(ctx context.Context, current *identity) {
	if k.lease == "" && !k.grant(ctx) {
		return
	}
	key := platform.ControllerKey(k.controller.settings.Cell, current.Incarnation)
	value, err := json.Marshal(current)
	if err != nil {
		return
	}
	entry, err := k.controller.write(ctx, platform.Write{Key: key, Value: value, Lease: k.lease})
	if errors.Is(err, platform.ErrNotFound) {
		k.lease = "" // it has lapsed
	}
	if err != nil {
		return
	}
	k.written = current
	k.revision = entry.Revision
	k.controller.poke(k.controller.pollNow)
}

func (k *presenceKeeper) grant(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	lease, err := k.controller.store.GrantLease(ctx, presenceTTL)
	if err != nil {
		k.controller.metrics.PlatformFailures.Inc()
		return false
	}
	k.lease = lease
	return true
}

// remove deletes the key; if that fails, the lease lapses by itself.
func (k *presenceKeeper) remove() {
	if k.written == nil {
		return
	}
	key := platform.ControllerKey(k.controller.settings.Cell, k.written.Incarnation)
	k.controller.remove(context.Background(), platform.Entry{Key: key, Revision: k.revision})
	k.written = nil
}

// presences returns the controllers that are present, one an address: the
// youngest, since an older incarnation at the same address is gone.
func (c *Controller) presences(ctx context.Context) ([]consensus.Member, error) {
	listing, err := c.list(ctx, platform.ControllersPrefix(c.settings.Cell))
	if err != nil {
		return nil, err
	}
	entries := listing.Entries
	sort.Slice(entries, func(i, j int) bool { return entries[i].Revision > entries[j].Revision })
	seen := map[string]bool{}
	var members []consensus.Member
	for _, entry := range entries {
		var present identity
		if json.Unmarshal(entry.Value, &present) != nil || seen[present.Address] {
			continue
		}
		seen[present.Address] = true
		members = append(members, present.member())
	}
	sortMembers(members)
	return members, nil
}

func sortMembers(members []consensus.Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
}

// chooseMembers picks count controllers, each from a zone that has the fewest
// picked so far. The result does not depend on the order of the candidates.
func chooseMembers(candidates []consensus.Member, count int) []consensus.Member {
	rest := append([]consensus.Member(nil), candidates...)
	sortMembers(rest)
	inZone := map[string]int{}
	var chosen []consensus.Member
	for len(chosen) < count && len(rest) > 0 {
		best := fewestInZone(rest, inZone)
		inZone[rest[best].Zone]++
		chosen = append(chosen, rest[best])
		rest = append(rest[:best], rest[best+1:]...)
	}
	sortMembers(chosen)
	return chosen
}

func fewestInZone(candidates []consensus.Member, inZone map[string]int) int {
	best := 0
	for i, candidate := range candidates {
		if inZone[candidate.Zone] < inZone[candidates[best].Zone] {
			best = i
		}
	}
	return best
}

// waking says what ended a wait.
type waking int

const (
	ended waking = iota // the context
	poked               // the signal
	slept               // the time
)

// sleepUnlessPoked waits for d, or less if the signal comes or ctx ends.
func sleepUnlessPoked(ctx context.Context, d time.Duration, signal <-chan struct{}) waking {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ended
	case <-signal:
		return poked
	case <-timer.C:
		return slept
	}
}

// poke wakes whoever waits on signal, without waiting itself.
func (c *Controller) poke(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
