package controller

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/platform"
)

// zonesGrace is how long a first group waits for controllers in more zones.
const zonesGrace = 3 * time.Second

// firstGeneration is the number of a cell's first control group.
const firstGeneration = 1

// bootstrapper forms a cell's first group once enough controllers are there.
type bootstrapper struct {
	controller *Controller
	// enoughSince is when enough controllers were first seen; zero: not yet.
	enoughSince time.Time
}

// attempt writes the first record if this process is the one to do it. Two that
// try at once are told apart by compare-and-swap on the absent record.
func (b *bootstrapper) attempt(ctx context.Context) {
	c := b.controller
	present, err := c.presences(ctx)
	if err != nil {
		return
	}
	members := chooseMembers(present, c.settings.Replicas)
	if !b.ready(members) || members[0].ID != c.self() {
		return
	}
	machines, err := c.listMachines(ctx)
	if err != nil {
		return
	}
	record := generation.Record{
		Cell:       c.settings.Cell,
		Generation: firstGeneration,
		Members:    consensus.Membership{Members: members},
		Unlisted:   machines.unlisted(members),
	}
	entry, err := c.swap(ctx, platform.GroupKey(c.settings.Cell), 0, record)
	if err != nil {
		return
	}
	c.metrics.GenerationsFormed.Inc()
	c.groupRead(ctx, entry)
}

// ready reports whether there are enough controllers, in zones of their own
// unless those have not come within the grace.
func (b *bootstrapper) ready(members []consensus.Member) bool {
	if len(members) < b.controller.settings.Replicas {
		b.enoughSince = time.Time{}
		return false
	}
	if b.enoughSince.IsZero() {
		b.enoughSince = time.Now()
	}
	return countZones(members) == len(members) || time.Since(b.enoughSince) >= zonesGrace
}

func countZones(members []consensus.Member) int {
	zones := map[string]bool{}
	for _, member := range members {
		zones[member.Zone] = true
	}
	return len(zones)
}
