package scale

import (
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/generation"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/platform"
)

// Periods of the controllers' calls to the platform's service, as in package
// controller.
const (
	groupPoll       = 20 * time.Second
	presenceEvery   = 7500 * time.Millisecond
	machinePoll     = time.Second
	checkpointEvery = time.Second
	secondsPerDay   = 86400
	// headWrites is how often a change moves its team's head: proposed,
	// approved, rolling, in force.
	headWrites = 4
)

// checkpoint is the leader's last write of the state.
type checkpoint struct {
	index     uint64
	notBefore time.Duration
}

// fromPlatform charges one call of the platform's service and gives the answer
// to take, within the caller's account.
func (c *cell) fromPlatform(caller *node, request int, answer []byte, take func(answer []byte)) {
	if !caller.alive {
		return
	}
	c.countExchange(partPlatform, caller, c.platform, request, len(answer))
	caller.run(partPlatform, func() { take(answer) })
}

// Lengths of requests without a body of their own, and of small answers.
const (
	getRequest  = 0
	leaseBytes  = 60
	watchFrames = 40
)

// startPlatformWork begins the calls that every controller makes.
func (c *cell) startPlatformWork() {
	record := encode(generation.Record{Cell: c.name, Generation: 1, Members: c.initialMembership()})
	entry := encode(platform.Entry{Key: platform.GroupKey(c.name), Value: record, Revision: 1})
	for _, each := range c.controllers() {
		c.everyFromPhase(groupPoll, func() { c.fromPlatform(each, getRequest, entry, readRecord) })
		c.everyFromPhase(presenceEvery, func() { c.fromPlatform(each, leaseBytes, []byte("{}"), func([]byte) {}) })
	}
}

// everyFromPhase runs work each period, the first time at any point of one.
func (c *cell) everyFromPhase(period time.Duration, work func()) {
	c.After(time.Duration(c.random.Int64N(int64(period))), func() {
		work()
		c.Every(period, work)
	})
}

func (c *cell) controllers() []*node {
	var all []*node
	for _, each := range c.replicas {
		all = append(all, each.node)
	}
	for _, each := range c.standbys {
		all = append(all, each.node)
	}
	return all
}

func readRecord(answer []byte) {
	entry := decode[platform.Entry](answer)
	_ = decode[generation.Record](entry.Value)
}

// startTermWork begins the calls that only a leader makes. It hears of the
// changes of its own cell only, which has its share by the number of machines.
func (r *replica) startTermWork(term *leadership) {
	r.everyWhile(term, machinePoll, r.readMachines)
	if r.cell.shape.FleetChanges > 0 {
		share := min(1, float64(r.cell.shape.Machines)/float64(r.cell.shape.Fleet))
		perSecond := r.cell.shape.FleetChanges * share * headWrites / secondsPerDay
		head := r.cell.headEvent()
		content := r.cell.contentEntry()
		period := time.Duration(float64(time.Second) / perSecond)
		r.everyWhile(term, period, func() { r.headSeen(head, content) })
	}
}

func (r *replica) everyWhile(term *leadership, period time.Duration, work func()) {
	r.cell.After(period, func() {
		if r.alive && r.leadership == term {
			work()
			r.everyWhile(term, period, work)
		}
	})
}

// readMachines reads the whole machine list once, and then what has changed,
// which is nothing here.
func (r *replica) readMachines() {
	changes := platform.MachineChanges{Revision: "RANDOMTEXTOFTWENTYSIXBYTES-9999"}
	if r.leadership.machines != nil {
		r.cell.fromPlatform(r.node, getRequest, encode(changes), func(answer []byte) {
			_ = decode[platform.MachineChanges](answer)
		})
		return
	}
	r.cell.fromPlatform(r.node, getRequest, r.cell.machines, func(answer []byte) {
		listed := map[string]platform.MachineState{}
		for _, machine := range decode[[]platform.Machine](answer) {
			listed[machine.Address] = machine.State
		}
		r.leadership.machines = listed
	})
}

// headSeen takes a change of a team's head in this cell and reads the content
// that it names, as package controller does.
func (r *replica) headSeen(head, content []byte) {
	r.received(partPlatform, float64(len(head)+watchFrames))
	r.cell.platform.sent(partPlatform, float64(len(head)+watchFrames))
	r.run(partPlatform, func() {
		event := decode[platform.WatchLine](head)
		_ = decode[lifecycle.Head](event.Event.Entry.Value)
	})
	r.cell.fromPlatform(r.node, getRequest, content, func(answer []byte) {
		entry := decode[platform.Entry](answer)
		if _, err := bundle.Digest(decode[bundle.Bundle](entry.Value)); err != nil {
			panic(Error.Wrap(err))
		}
	})
}

// headEvent is a watch line with a head that remembers all it can.
func (c *cell) headEvent() []byte {
	head := lifecycle.Head{Team: c.team()}
	digest, err := bundle.Digest(c.bundle)
	if err != nil {
		panic(Error.Wrap(err))
	}
	const signatureBytes = 64
	for version := range lifecycle.MaxEntries {
		head.Entries = append(head.Entries, lifecycle.Entry{
			Version: bundle.Version(version + 1), State: adminapi.StateInForce, Digest: digest,
			ProposedBy: "salma", ApprovedBy: "youssef", RolledBy: "salma", Signature: make([]byte, signatureBytes),
		})
	}
	entry := platform.Entry{Key: platform.HeadKey(c.name, c.team()), Value: encode(head), Revision: 1}
	return encode(platform.WatchLine{Event: &platform.Event{Entry: entry}})
}

func (c *cell) contentEntry() []byte {
	canonical, err := bundle.Canonical(c.bundle)
	if err != nil {
		panic(Error.Wrap(err))
	}
	return encode(platform.Entry{Key: platform.BundleKey(c.name, c.team(), 1, ""), Value: canonical, Revision: 1})
}

// saveCheckpoint reads the last checkpoint and writes the state, at most once a
// second and only when it has changed.
func (r *replica) saveCheckpoint() {
	now := r.now().Lower
	if now < r.checkpoint.notBefore || r.state.Index <= r.checkpoint.index {
		return
	}
	r.checkpoint = checkpoint{index: r.state.Index, notBefore: now + checkpointEvery}
	state := encode(r.state)
	stored := encode(platform.Entry{Key: platform.CheckpointKey(r.cell.name), Value: state, Revision: 1})
	r.cell.fromPlatform(r.node, getRequest, stored, func(answer []byte) {
		entry := decode[platform.Entry](answer)
		_ = decode[cellstate.State](entry.Value)
	})
	r.cell.countExchange(partPlatform, r.node, r.cell.platform, len(stored), len(stored))
}
