package gateway

import (
	"math/rand/v2"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// chooserOf returns how a call finds its target; avoid names a server not to pick.
func (g *Gateway) chooserOf(c *call, avoid bundle.ServerName) chooser {
	if c.route.service.Kind == bundle.KindPool {
		return func(s *service) choice { return g.chooseInPool(s, c, avoid) }
	}
	return func(s *service) choice { return g.chooseOwner(s, c) }
}

// chooseOwner finds the owner of the call's key. While nobody owns the slice,
// or its owner gives it up, the request waits for the table.
func (g *Gateway) chooseOwner(s *service, c *call) choice {
	to, ok := g.tables.view.Load().owner(c.route.name, c.partition, c.hash)
	switch {
	case to.entry.Refusal != "":
		return choice{refused: notRun(to.entry.Refusal)}
	case !ok:
		return choice{why: wire.ReasonNoOwner}
	case to.entry.State != wire.SliceServing:
		return choice{why: wire.ReasonReleasing}
	case !s.pool.Take(s.now(), to.server.Name):
		return choice{waitsFor: to.server.Name, why: ownerReason(s, to.server.Name)}
	}
	return choice{found: true, to: to}
}

// ownerReason tells an owner that is full from one that cannot be reached.
func ownerReason(s *service, owner bundle.ServerName) wire.Reason {
	if s.pool.Ejected(owner) {
		return wire.ReasonNoBackend
	}
	return wire.ReasonOverloaded
}

// chooseInPool picks the best back end that holds a grant, another one than
// avoid if any has room.
func (g *Gateway) chooseInPool(s *service, c *call, avoid bundle.ServerName) choice {
	held := g.tables.view.Load()
	entries := held.table.Pool(c.route.name)
	granted := func(name bundle.ServerName) bool {
		entry, ok := table.FindServer(entries, name)
		return ok && entry.State == wire.SliceServing
	}
	other := func(name bundle.ServerName) bool { return name != avoid && granted(name) }
	name, ok := s.pool.Pick(s.now(), rand.Uint64(), other)
	if !ok && avoid != "" {
		name, ok = s.pool.Pick(s.now(), rand.Uint64(), granted)
	}
	if !ok {
		return choice{why: poolReason(s)}
	}
	entry, _ := table.FindServer(entries, name)
	server, _ := held.table.Server(name)
	return choice{found: true, to: target{entry: entry, server: server}}
}

// poolReason tells a pool that is full from one that has no back end at all.
func poolReason(s *service) wire.Reason {
	if s.pool.Usable() {
		return wire.ReasonOverloaded
	}
	return wire.ReasonNoBackend
}
