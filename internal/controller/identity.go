package controller

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// identity is this process as other controllers know it. It is replaced, with
// a new incarnation, when the process has left a group for good.
type identity struct {
	Incarnation wire.Incarnation `json:"incarnation"`
	Address     string           `json:"address"`
	Zone        bundle.Zone      `json:"zone"`
}

func (c *Controller) newIdentity() *identity {
	return &identity{
		Incarnation: wire.Incarnation(fmt.Sprintf("%016x", c.random())),
		Address:     c.settings.Listen,
		Zone:        c.settings.Zone,
	}
}

// self returns the current incarnation.
func (c *Controller) self() wire.Incarnation {
	return c.identity.Load().Incarnation
}

func (i identity) member() consensus.Member {
	return consensus.Member{ID: i.Incarnation, Address: i.Address, Zone: string(i.Zone)}
}

// randomFraction returns a number in [0,1).
func (c *Controller) randomFraction() float64 {
	const fractionBits = 53
	return float64(c.random()>>(64-fractionBits)) / (1 << fractionBits)
}

// findMember returns the member with the given incarnation.
func findMember(membership consensus.Membership, id wire.Incarnation) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.ID == id {
			return member, true
		}
	}
	return consensus.Member{}, false
}
