package consensus

import (
	"fmt"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// run executes one command of a script:
//
//	group A B C            start the voters of a group
//	join D                 start a process that is no member yet
//	run 400ms              let time pass
//	pause A / resume A     stop a process; its messages and its clock go on
//	lose A                 end a process
//	cut A / heal A         drop all messages from and to A
//	hold A / release A     keep back what A sends, then hand it over
//	skip A 2s 0s           move A's clock bounds (upper, lower)
//	propose A x            also: add, promote, remove A B; compact A; seal A
//	status                 print every process
func (c *cluster) run(words []string) error {
	var id wire.Incarnation
	if len(words) > 1 {
		id = wire.Incarnation(words[1])
	}
	switch words[0] {
	case "group":
		c.startGroup(words[1:])
	case "join":
		c.start(id, Membership{})
	case "run":
		return c.runFor(words[1])
	case "skip":
		return c.skip(id, words[2], words[3])
	case "pause", "resume":
		c.replicas[id].paused = words[0] == "pause"
	case "lose":
		c.replicas[id].lost = true
	case "cut", "heal":
		c.cut[id] = words[0] == "cut"
	case "hold":
		c.holding[id] = true
	case "release":
		c.holding[id] = false
		c.network = append(c.network, c.held...)
		c.held = nil
	case "status":
		c.printStatus()
	default:
		return c.command(words[0], id, words[2:])
	}
	return nil
}

// command runs what acts on one node.
func (c *cluster) command(verb string, id wire.Incarnation, rest []string) error {
	r := c.replicas[id]
	switch verb {
	case "propose":
		index, outcome := r.node.Propose(r.clock, quoted(rest[0]))
		c.printf("%s %s %d", id, outcome, index)
	case "add", "promote", "remove":
		index, outcome := r.node.ProposeMembership(r.clock, c.change(verb, id, wire.Incarnation(rest[0])))
		c.printf("%s %s %d", id, outcome, index)
	case "seal":
		c.printf("%s sealed: %t", id, r.node.Seal(r.clock))
	case "compact":
		r.node.Compact(Snapshot{Index: r.node.Status().Commit, State: quoted("state")})
	default:
		return fmt.Errorf("unknown command %q", verb)
	}
	c.collect(id)
	return nil
}

func (c *cluster) change(verb string, leader, id wire.Incarnation) Membership {
	switch verb {
	case "add":
		return c.changed(leader, id, &Member{ID: id, Learner: true})
	case "promote":
		return c.changed(leader, id, &Member{ID: id})
	default:
		return c.changed(leader, id, nil)
	}
}

func (c *cluster) startGroup(names []string) {
	var membership Membership
	for _, name := range names {
		membership.Members = append(membership.Members, Member{ID: wire.Incarnation(name)})
	}
	for _, member := range membership.Members {
		c.start(member.ID, membership)
	}
}

func (c *cluster) runFor(text string) error {
	d, err := time.ParseDuration(text)
	c.advance(d)
	return err
}

func (c *cluster) skip(id wire.Incarnation, upperText, lowerText string) error {
	upper, err := time.ParseDuration(upperText)
	if err != nil {
		return err
	}
	lower, err := time.ParseDuration(lowerText)
	c.replicas[id].clock.Upper += upper
	c.replicas[id].clock.Lower += lower
	return err
}

func (c *cluster) printStatus() {
	for _, id := range c.ids {
		if c.replicas[id].lost {
			c.printf("%s: lost", id)
			continue
		}
		status := c.replicas[id].node.Status()
		c.printf("%s: %s term %d commit %d last %d [%s]", id, status.Role, status.Term,
			status.Commit, status.Last, describe(&status.Membership))
	}
	c.printf("lease: %s", strings.Trim(fmt.Sprint(c.leaseHolders()), "[]"))
}
