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

// loadResult is the result of reading a record.
type loadResult struct {
	name  routing.ServiceName
	item  coord.Item
	found bool
	// rebuilt is true if the record could not be decoded and all holds that it may have named have
	// expired.
	rebuilt bool
}

// loadRecord reads a service's record and retries until it succeeds.
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

// handleLoaded starts to manage a service whose record was read.
func (t *tenureKeeper) handleLoaded(done loadResult) {
	svc := t.services[done.name]
	ledger := owner.NewLedger(t.Times, t.tenure.Leader.Term)
	if done.found && !done.rebuilt {
		if err := ledger.Load(clock.Now(), done.item.Value, t.holdsUntil); err != nil {
			t.Log.Line(decision.KindRecord).Str("service", string(done.name)).Err(err).
				Float64("waits", max(0, clock.Until(t.holdsUntil)).Seconds()).Msg("the record can't be decoded; it is rebuilt once all holds have expired")
			go t.rebuild(done)
			return
		}
	}
	svc.revision = done.item.Revision
	svc.ledger = ledger
	t.Log.Line(decision.KindRecord).Str("service", string(done.name)).Bool("found", done.found).
		Int64("revision", int64(svc.revision)).Int64("term", int64(t.tenure.Leader.Term)).Msg("loaded")
}

// rebuild replaces a record that can't be decoded by an empty one once all holds that it may have
// named have expired. Without this, a corrupt record left the service's keys without owners under
// every leader.
func (t *tenureKeeper) rebuild(done loadResult) {
	clock.Sleep(t.ctx, clock.Until(t.holdsUntil))
	done.rebuilt = true
	select {
	case t.loaded <- done:
	case <-t.ctx.Done():
	}
}

// writeResult is the result of storing a record.
type writeResult struct {
	service  *service
	version  uint64
	revision coord.Revision
	lost     bool
}

// storeRecord writes the record if it has changed.
func (t *tenureKeeper) storeRecord(svc *service) {
	version := svc.ledger.RecordVersion()
	if svc.writing || version == svc.ledger.StoredVersion() {
		return
	}
	writeID := t.Nonce()
	value, err := svc.ledger.Encode(t.tenure.Leader.Term, writeID)
	if err != nil {
		panic(err) // a ledger is plain data, which always encodes
	}
	svc.writing = true
	go t.write(svc, version, writeID, value, svc.revision)
}

// write stores a record and retries until the outcome of the write is known.
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

// resolveConflict reads the record to find out whether an earlier attempt of this write was applied
// after all. lost is true if another process has written it.
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
		t.Log.Line(decision.KindRecord).Str("service", string(done.service.name)).Msg("another leader has written the record; resigning")
		t.tenure.Resign(context.WithoutCancel(t.ctx))
		return
	}
	done.service.revision = done.revision
	done.service.ledger.MarkStored(done.version)
}
