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
type loaded struct {
	name     routing.ServiceName
	item     coord.Item
	recorded bool
	// rebuilt says that the record can't be read, and all that it may have named has ended.
	rebuilt bool
}

// load reads a service's record, again until it is read.
func (t *tenancy) load(name routing.ServiceName) {
	for t.ctx.Err() == nil {
		item, found, err := t.Store.Get(t.ctx, RecordKey(t.Prefix, name))
		if err == nil {
			select {
			case t.loaded <- loaded{name: name, item: item, recorded: found}:
			case <-t.ctx.Done():
			}
			return
		}
		select {
		case <-time.After(loadPause):
		case <-t.ctx.Done():
		}
	}
}

// take begins to keep a service whose record was read.
func (t *tenancy) take(done loaded) {
	of := t.services[done.name]
	book := owner.NewLedger(t.Times, t.tenure.Leader.Term)
	if done.recorded && !done.rebuilt {
		if err := book.Load(clock.Now(), done.item.Value, t.until); err != nil {
			t.Log.Line(decision.KindRecord).Str("service", string(done.name)).Err(err).
				Float64("waits", max(0, clock.Until(t.until)).Seconds()).Msg("can't be read; it is made anew")
			go t.rebuild(done)
			return
		}
	}
	of.revision = done.item.Revision
	of.book = book
	t.Log.Line(decision.KindRecord).Str("service", string(done.name)).Bool("found", done.recorded).
		Int64("revision", int64(of.revision)).Int64("term", int64(t.tenure.Leader.Term)).Msg("loaded")
}

// rebuild takes a record that can't be read to be empty, once all holds that it may have named
// have surely ended. Keys of a service whose record was spoiled had no owner under any leader
// without it.
func (t *tenancy) rebuild(done loaded) {
	clock.Sleep(t.ctx, clock.Until(t.until))
	done.rebuilt = true
	select {
	case t.loaded <- done:
	case <-t.ctx.Done():
	}
}

// written is the end of storing a record.
type written struct {
	of       *service
	change   uint64
	revision coord.Revision
	lost     bool
}

// store writes the record if it has changed.
func (t *tenancy) store(of *service) {
	change := of.book.RecordVersion()
	if of.writing || change == of.book.StoredVersion() {
		return
	}
	mark := t.Nonce()
	value, err := of.book.Encode(t.tenure.Leader.Term, mark)
	if err != nil {
		panic(err) // a book is plain data
	}
	of.writing = true
	go t.write(of, change, mark, value, of.revision)
}

// write tries until the outcome of the write is known.
func (t *tenancy) write(of *service, change uint64, mark string, value []byte, revision coord.Revision) {
	key := RecordKey(t.Prefix, of.name)
	done := written{of: of, change: change}
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
			done.revision, done.lost = t.resolve(key, mark)
			break
		}
		select {
		case <-time.After(loadPause):
		case <-t.ctx.Done():
		}
	}
	select {
	case t.writes <- done:
	case <-t.ctx.Done():
	}
}

// resolve reads whether an earlier try of the write was done after all.
func (t *tenancy) resolve(key, mark string) (revision coord.Revision, lost bool) {
	for t.ctx.Err() == nil {
		item, found, err := t.Store.Get(t.ctx, key)
		if err == nil {
			return item.Revision, !found || owner.DecodeWriteID(item.Value) != mark
		}
		select {
		case <-time.After(loadPause):
		case <-t.ctx.Done():
		}
	}
	return 0, true
}

func (t *tenancy) written(done written) {
	done.of.writing = false
	if done.lost {
		t.Log.Line(decision.KindRecord).Str("service", string(done.of.name)).Msg("another leader has written")
		t.tenure.Resign(context.WithoutCancel(t.ctx))
		return
	}
	done.of.revision = done.revision
	done.of.book.MarkStored(done.change)
}
