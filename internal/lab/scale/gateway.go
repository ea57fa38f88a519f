package scale

import (
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// Periods of a gateway's part in the ledger, as in package ledgernode.
const (
	registerEvery = 3 * time.Second
	syncEvery     = 2 * time.Second
	askTimeout    = 500 * time.Millisecond
	// asksEmulated bounds the peers that are asked one by one; the exchanges
	// with the others are counted as those with these.
	asksEmulated = 8
)

// gateway follows the table of its machine's controller and holds slices of the
// ledger.
type gateway struct {
	*node
	server bundle.ServerName
	routes *table.Table
	holder *lease.Holder
	stream *following
}

func (c *cell) addGateway(machine int) {
	on := c.newNode("gateway", machine, gatewayPort)
	name := bundle.ServerName(fmt.Sprintf("%s%s", ledger.ServerPrefix, on.address))
	made := &gateway{node: on, server: name, holder: lease.NewHolder(c.name, incarnationOf(on)), routes: table.New(c.name)}
	c.gateways = append(c.gateways, made)
	c.byName[name] = made
}

func (g *gateway) on() *node { return g.node }

func (g *gateway) start() {
	phase := time.Duration(g.cell.random.Int64N(int64(registerEvery)))
	g.cell.Every(syncEvery, g.askPeers)
	if g.machine >= g.cell.shape.LedgerGateways {
		return
	}
	g.cell.After(phase/8, g.register)
	g.cell.After(phase, func() {
		g.cell.Every(registerEvery, g.register)
	})
}

func (g *gateway) takeTable(update wire.TableUpdate) {
	if next, outcome := g.routes.Apply(update); outcome == table.OutcomeApplied {
		g.routes = next
	}
}

func (g *gateway) serveRenewal(body []byte) []byte {
	request := decode[wire.RenewRequest](body)
	response := g.holder.Renew(g.now(), request)
	_ = g.holder.Void(g.now())
	return encode(response)
}

func (g *gateway) admits(entry wire.TableEntry) bool {
	return g.alive && admits(g.cell, g.holder, g.node, entry)
}

// registration is a controller's answer, as in package controller.
type registration struct {
	Registered bool `json:"registered"`
}

// register offers the gateway to its machine's controller, which passes it on
// to the leader.
func (g *gateway) register() {
	leader := g.cell.leader()
	if !g.alive || leader == nil {
		return
	}
	offered := cellstate.Server{
		Name: g.server, Service: ledger.Service, Address: g.address, Zone: g.zone, Incarnation: incarnationOf(g.node),
	}
	serve := func(body []byte) []byte { return leader.registered(decode[cellstate.Server](body)) }
	g.run(partRegister, func() {
		body := encode(offered)
		own := g.ownController()
		if own != leader.node {
			// The answer of the standby is that of the leader, so the hop to the
			// standby is counted and the leader asked at once.
			g.cell.countExchange(partRegister, g.node, own, len(body), registrationBytes)
			g.cell.exchange(call{part: partRegister, from: own, to: leader.node, body: body, timeout: time.Second, serve: serve, done: ignore})
			return
		}
		g.cell.exchange(call{part: partRegister, from: g.node, to: own, body: body, timeout: time.Second, serve: serve, done: ignore})
	})
}

// registrationBytes is the length of a registration's answer.
const registrationBytes = 20

func ignore([]byte, bool) {}

func (g *gateway) ownController() *node {
	if g.machine < voterCount {
		return g.cell.replicas[g.machine].node
	}
	return g.cell.standbys[g.machine-voterCount].node
}

func (r *replica) registered(offered cellstate.Server) []byte {
	known, found := r.state.Servers[offered.Name]
	if found && known.Incarnation == offered.Incarnation {
		return encode(registration{Registered: true})
	}
	r.take(partRegister, func() {
		if r.leadership != nil {
			r.propose(cellstate.Command{RegisterServer: &cellstate.RegisterServer{Server: offered}})
		}
	})
	return encode(registration{})
}

// askPeers asks the other gateways who they are, if this one owns a slice of
// the ledger.
func (g *gateway) askPeers() {
	others := g.cell.shape.LedgerGateways - 1
	if !g.alive || others < 1 || len(g.cell.state().OwnedBy(g.server)) == 0 {
		return
	}
	emulated := min(others, asksEmulated)
	for i := range others {
		peer := g.cell.gateways[(g.machine+1+i)%g.cell.shape.LedgerGateways]
		if i >= emulated {
			g.cell.countExchange(partLedger, g.node, peer.node, askBytes, holderBytes)
			continue
		}
		g.run(partLedger, func() { g.ask(peer) })
	}
}

// Lengths of a VouchRequest that asks, and of its answer.
const (
	askBytes    = 100
	holderBytes = 90
)

func (g *gateway) ask(peer *gateway) {
	g.cell.exchange(call{
		part: partLedger, from: g.node, to: peer.node, timeout: askTimeout, done: ignore,
		body: encode(ledger.VouchRequest{Cell: g.cell.name, Ask: true}),
		serve: func(body []byte) []byte {
			_ = decode[ledger.VouchRequest](body)
			self := ledger.Holder{Name: peer.server, Incarnation: incarnationOf(peer.node)}
			return encode(ledger.VouchResponse{Holder: self})
		},
	})
}

// countExchange counts an exchange that is not emulated.
func (c *cell) countExchange(part component, from, to *node, request, response int) {
	asked := float64(request) + c.overhead.RequestBytes
	answered := float64(response) + c.overhead.answerBytes(false)
	from.sent(part, asked)
	from.received(part, answered)
	to.received(part, asked)
	to.sent(part, answered)
}
