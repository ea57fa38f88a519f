package keeper

import (
	"context"
	"errors"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// loaded is the end of reading a record.
type loadResult struct {
	name  routing.ServiceName
	item  coord.Item
	found bool
	// rebuilt says that the record can't be read, and all that it may have named has ended.
	rebuilt bool
}

// load reads a service's record, again until it is read.
func (t *tenureKeeper) loadRecord(name routing.ServiceName) {
	for t.ctx.Err() == nil {
		item, found, err := t.Store.Get(t.ctx, RecordKey(t.Prefix, name))
		if err == nil {
			select {
			case t.loaded <- loadResult{name: name, item: item, found: found}:
			case <-t.ctx.Done():
			}
			return
		}
		select {
		case <-time.After(retryDelay):
		case <-t.ctx.Done():
		}
	}
}

// take begins to keep a service whose record was read.
func (t *tenureKeeper) handleLoaded(done loadResult) {
	svc := t.services[done.name]
	ledger := owner.NewLedger(t.Times, t.tenure.Leader.Term)
	if done.found && !done.rebuilt {
		if err := ledger.Load(clock.Now(), done.item.Value, t.holdsUntil); err != nil {
			t.Log.Line(decision.KindRecord).Str("service", string(done.name)).Err(err).
				Float64("waits", max(0, clock.Until(t.holdsUntil)).Seconds()).Msg("can't be read; it is made anew")
			go t.rebuild(done)
			return
		}
	}
	svc.revision = done.item.Revision
	svc.ledger = ledger
	t.Log.Line(decision.KindRecord).Str("service", string(done.name)).Bool("found", done.found).
		Int64("revision", int64(svc.revision)).Int64("term", int64(t.tenure.Leader.Term)).Msg("loaded")
}

// rebuild takes a record that can't be read to be empty, once all holds that it may have named
// have surely ended. Keys of a service whose record was spoiled had no owner under any leader
// without it.
func (t *tenureKeeper) rebuild(done loadResult) {
	clock.Sleep(t.ctx, clock.Until(t.holdsUntil))
	done.rebuilt = true
	select {
	case t.loaded <- done:
	case <-t.ctx.Done():
	}
}

// written is the end of storing a record.
type writeResult struct {
	service  *service
	version  uint64
	revision coord.Revision
	lost     bool
}

// store writes the record if it has changed.
func (t *tenureKeeper) storeRecord(svc *service) {
	version := svc.ledger.RecordVersion()
	if svc.writing || version == svc.ledger.StoredVersion() {
		return
	}
	writeID := t.Nonce()
	value, err := svc.ledger.Encode(t.tenure.Leader.Term, writeID)
	if err != nil {
		panic(err) // a book is plain data
	}
	svc.writing = true
	go t.write(svc, version, writeID, value, svc.revision)
}

// write tries until the outcome of the write is known.
func (t *tenureKeeper) write(svc *service, version uint64, writeID string, value []byte, revision coord.Revision) {
	key := RecordKey(t.Prefix, svc.name)
	done := writeResult{service: svc, version: version}
	for t.ctx.Err() == nil {
		stored, err := t.Store.Commit(t.ctx, coord.Txn{
			Conditions: []coord.Condition{
				{Key: t.Prefix + "leader", Revision: t.tenure.Leader.Revision},
				{Key: key, Revision: revision},
			},
			Puts: []coord.Put{{Key: key, Value: value}},
		})
		if err == nil {
			done.revision = stored
			break
		}
		if errors.Is(err, coord.ErrConflict) {
			done.revision, done.lost = t.resolveConflict(key, writeID)
			break
		}
		select {
		case <-time.After(retryDelay):
		case <-t.ctx.Done():
		}
	}
	select {
	case t.writes <- done:
	case <-t.ctx.Done():
	}
}

// resolve reads whether an earlier try of the write was done after all.
func (t *tenureKeeper) resolveConflict(key, writeID string) (revision coord.Revision, lost bool) {
	for t.ctx.Err() == nil {
		item, found, err := t.Store.Get(t.ctx, key)
		if err == nil {
			return item.Revision, !found || owner.DecodeWriteID(item.Value) != writeID
		}
		select {
		case <-time.After(retryDelay):
		case <-t.ctx.Done():
		}
	}
	return 0, true
}

func (t *tenureKeeper) handleWritten(done writeResult) {
	done.service.writing = false
	if done.lost {
		t.Log.Line(decision.KindRecord).Str("service", string(done.service.name)).Msg("another leader has written")
		t.tenure.Resign(context.WithoutCancel(t.ctx))
		return
	}
	done.service.revision = done.revision
	done.service.ledger.MarkStored(done.version)
}
