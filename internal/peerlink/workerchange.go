package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Entries passes changes of workers on: all between two revisions. Where From is To and
// they are not whole, there are too many to pass on: they are to be read from the service.
type EntryChanges struct {
	From coord.Revision `json:"f"`
	To   coord.Revision `json:"t"`
	// Whole says that the changes announce all workers that there are at To. If there are too
	// many for one message, it announces those whose IDs come after After, up to and including
	// Last, and More says that others follow.
	Whole   bool           `json:"w,omitempty"`
	After   workers.ID     `json:"n,omitempty"`
	Last    workers.ID     `json:"l,omitempty"`
	More    bool           `json:"m,omitempty"`
	Changes []WorkerChange `json:"e,omitempty"`
	// Packed are the changes instead, where there are many, and PackedMillis is how long
	// before the message they were packed.
	Packed       []byte `json:"p,omitempty"`
	PackedMillis int64  `json:"a,omitempty"`
}

// All returns the changes, packed or not, as they are heard at a time.
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

// WorkerChange is one change of a worker's entry.
type WorkerChange struct {
	Revision coord.Revision `json:"r"`
	ID       workers.ID     `json:"i"`
	Gone     bool           `json:"g,omitempty"`
	// Unreadable says why the entry names no worker any more, where it stands but was written
	// by somebody else. Gone is set, too.
	Unreadable *workers.EntryError `json:"u,omitempty"`
	Service    routing.ServiceName `json:"s,omitempty"`
	Address    string              `json:"a,omitempty"`
	Zone       string              `json:"z,omitempty"`
	Slots      int                 `json:"n,omitempty"`
	Draining   bool                `json:"d,omitempty"`
	// WarmMillis is how much longer the worker is slow.
	WarmMillis int64 `json:"w,omitempty"`
	// Born is when the announced life of the worker began, as it says itself.
	Born workers.Born `json:"b,omitempty"`
	// Learned is since when the first process knows of the change, and AgeMillis for how long,
	// as the message tells it.
	LearnedAt time.Time `json:"-"`
	AgeMillis int64     `json:"o,omitempty"`
	// warmAt is when the worker stops being slow, by this process's clock.
	warmAt time.Time
}

// Changed describes a worker as it is announced now.
func NewWorkerChange(revision coord.Revision, worker workers.Worker) WorkerChange {
	return WorkerChange{
		Revision: revision, ID: worker.ID, Service: worker.Service, Address: worker.Address, Zone: worker.Zone,
		Slots: worker.Slots, Draining: worker.State == workers.StateDraining,
		WarmMillis: max(0, clock.Until(worker.WarmAt).Milliseconds()), warmAt: worker.WarmAt, Born: worker.Born,
	}
}

// Worker returns the worker that a change announces.
func (c WorkerChange) Worker() workers.Worker {
	state := workers.StateReady
	if c.Draining {
		state = workers.StateDraining
	}
	return workers.Worker{
		ID: c.ID, Service: c.Service, Address: c.Address, Zone: c.Zone, Slots: c.Slots, State: state,
		WarmAt: c.warmAt, Born: c.Born,
	}
}
