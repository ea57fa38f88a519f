package session

import (
	"context"
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
)

var errSevered = fmt.Errorf("%w: cut off", platform.ErrUnavailable)

func (l *link) CompareAndSwap(ctx context.Context, write platform.Write) (platform.Entry, error) {
	if err := l.reach(ctx); err != nil {
		return platform.Entry{}, err
	}
	entry, err := l.Store.CompareAndSwap(ctx, write)
	if cut := l.reach(ctx); cut != nil {
		return platform.Entry{}, cut
	}
	return entry, err
}

func (l *link) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := l.reach(ctx); err != nil {
		return platform.Entry{}, err
	}
	return l.Store.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := l.reach(ctx); err != nil {
		return platform.Listing{}, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) Delete(ctx context.Context, key string, expect platform.Revision) error {
	if err := l.reach(ctx); err != nil {
		return err
	}
	return l.Store.Delete(ctx, key, expect)
}

func (l *link) GrantLease(ctx context.Context, ttl time.Duration) (string, error) {
	if err := l.reach(ctx); err != nil {
		return "", err
	}
	return l.Store.GrantLease(ctx, ttl)
}

func (l *link) RenewLease(ctx context.Context, id string) error {
	if err := l.reach(ctx); err != nil {
		return err
	}
	return l.Store.RenewLease(ctx, id)
}

func (l *link) Watch(ctx context.Context, prefix string, from platform.Revision, handle func(platform.Event)) error {
	if err := l.reach(ctx); err != nil {
		return err
	}
	return l.Store.Watch(ctx, prefix, from, func(event platform.Event) {
		if l.reach(ctx) == nil {
			handle(event)
		}
	})
}

func (l *link) Machines(ctx context.Context) ([]platform.Machine, error) {
	if err := l.reach(ctx); err != nil {
		return nil, err
	}
	return l.Store.Machines(ctx)
}

func (l *link) MachineChanges(ctx context.Context, since platform.MachineRevision) (platform.MachineChanges, error) {
	if err := l.reach(ctx); err != nil {
		return platform.MachineChanges{}, err
	}
	return l.Store.MachineChanges(ctx, since)
}
