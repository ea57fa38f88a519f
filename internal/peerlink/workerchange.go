package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// EntryChanges contains all changes of workers' entries between two revisions. If From equals To
// and Full is false, there are too many changes to send, and the receiver has to read the entries
// from the service.
type EntryChanges struct {
	From coord.Revision `json:"f"`
	To   coord.Revision `json:"t"`
	// Full is set if the changes contain all workers as of To. If these take several messages,
	// this one contains the workers whose IDs come after After, up to and including Last, and More
	// is set if others follow.
	Full    bool           `json:"w,omitempty"`
	After   workers.ID     `json:"n,omitempty"`
	Last    workers.ID     `json:"l,omitempty"`
	More    bool           `json:"m,omitempty"`
	Changes []WorkerChange `json:"e,omitempty"`
	// Packed replaces Changes if there are many. PackedMillis is how long before the message they
	// were packed.
	Packed       []byte `json:"p,omitempty"`
	PackedMillis int64  `json:"a,omitempty"`
}

// Decode returns the changes, unpacked if necessary, with their times relative to now, when the
// message was received.
func (e EntryChanges) Decode(now time.Time) ([]WorkerChange, error) {
	changes := e.Changes
	if len(e.Packed) > 0 {
		if err := unpack(e.Packed, &changes); err != nil {
			return nil, err
		}
	}
	for index := range changes {
		age := e.PackedMillis + changes[index].AgeMillis
		changes[index].LearnedAt = now.Add(-time.Duration(max(0, age)) * time.Millisecond)
		changes[index].warmAt = now.Add(time.Duration(changes[index].WarmMillis-e.PackedMillis) * time.Millisecond)
	}
	return changes, nil
}

// WorkerChange is a change of a worker's entry.
type WorkerChange struct {
	Revision coord.Revision `json:"r"`
	ID       workers.ID     `json:"i"`
	Gone     bool           `json:"g,omitempty"`
	// Unreadable is why the entry, which still exists, no longer names a worker: it was overwritten
	// by something other than a worker. Gone is set as well.
	Unreadable *workers.EntryError `json:"u,omitempty"`
	Service    routing.ServiceName `json:"s,omitempty"`
	Address    string              `json:"a,omitempty"`
	Zone       string              `json:"z,omitempty"`
	Slots      int                 `json:"n,omitempty"`
	Draining   bool                `json:"d,omitempty"`
	// WarmMillis is how much longer the worker is slow because it warms up.
	WarmMillis int64 `json:"w,omitempty"`
	// StartTime is when this incarnation of the worker began, as announced by the worker.
	StartTime workers.StartTime `json:"b,omitempty"`
	// LearnedAt is since when the first process has known the change, and AgeMillis is for how long
	// at the time of the message.
	LearnedAt time.Time `json:"-"`
	AgeMillis int64     `json:"o,omitempty"`
	// warmAt is when the warm-up period ends, by this process's clock.
	warmAt time.Time
}

// NewWorkerChange returns a change with the current state of a worker.
func NewWorkerChange(revision coord.Revision, worker workers.Worker) WorkerChange {
	return WorkerChange{
		Revision: revision, ID: worker.ID, Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
		Slots: worker.Slots, Draining: worker.State == workers.StateDraining,
		WarmMillis: max(0, clock.Until(worker.WarmAt).Milliseconds()), warmAt: worker.WarmAt, StartTime: worker.StartTime,
	}
}

// Worker returns the worker as described by the change.
func (c WorkerChange) Worker() workers.Worker {
	state := workers.StateReady
	if c.Draining {
		state = workers.StateDraining
	}
	return workers.Worker{
		ID: c.ID, Service: c.Service, Address: c.Address, Zone: c.Zone, Slots: c.Slots, State: state,
		WarmAt: c.warmAt, StartTime: c.StartTime,
	}
}
