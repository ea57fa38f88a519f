package gateway

import (
	"net"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/ledgernode"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

// directory shows the ledger node what it needs of the table.
type directory struct {
	tables *tables
}

// Version of the table.
func (d directory) Version() wire.TableVersion {
	return d.tables.view.Load().table.Version()
}

// Gateways lists the servers of the ledger, ordered by name.
func (d directory) Gateways() []wire.TableServer {
	return d.tables.view.Load().gateways
}

// Owner returns the entry that holds the hash, and its server.
func (d directory) Owner(hash keyspace.Hash) (wire.TableEntry, wire.TableServer, bool) {
	to, ok := d.tables.view.Load().owner(ledger.Service, ledger.Partition, hash)
	return to.entry, to.server, ok
}

// Changed returns a channel that is closed at the table's next change.
func (d directory) Changed() <-chan struct{} {
	_, changed := d.tables.current()
	return changed
}

// ledgerConfig derives the node's configuration from the settings.
func ledgerConfig(config settings.Gateway) ledgernode.Config {
	address := peerAddress(config)
	return ledgernode.Config{
		Cell:        config.Cell,
		Self:        bundle.ServerName(ledger.ServerPrefix + address),
		Address:     address,
		Zone:        config.Zone,
		Controllers: config.Controllers,
		Limit:       config.LedgerEntries,
		Retention:   config.LedgerRetention.Std(),
		Doubt:       config.LedgerDoubt.Std(),
	}
}

// peerAddress is where other processes reach the peer port: the machine's own
// address where the gateway listens on all.
func peerAddress(config settings.Gateway) string {
	host, port, err := net.SplitHostPort(config.PeerListen)
	if err != nil {
		return config.PeerListen
	}
	if ip := net.ParseIP(host); host == "" || (ip != nil && ip.IsUnspecified()) {
		return net.JoinHostPort(config.Machine, port)
	}
	return config.PeerListen
}
