package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/keeper"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/workers"
)

// Overview is the state of the system as stored in the key-value service, with the workers'
// notices from the leader.
type Overview struct {
	// Leader is the peer address of the router that leads; empty if none does.
	Leader   string         `json:"leader"`
	Term     owner.Term     `json:"term"`
	Services []StoredOwners `json:"services"`
	// Workers counts the valid worker entries; Refused lists the invalid ones.
	Workers int            `json:"workers"`
	Refused []RefusedEntry `json:"refused,omitempty"`
	Notices
}

// RefusedEntry is an entry under the workers' prefix that describes no usable worker.
type RefusedEntry struct {
	Worker workers.ID `json:"worker"`
	Reason string     `json:"reason"`
}

// WorkerEntries holds the prefix under which workers announce themselves in the key-value
// service, and the function that parses their entries.
type WorkerEntries struct {
	Prefix string
	Parse  func(entry coord.Item) (workers.Worker, error)
}

// StoredOwners are the stored owners of a service's keys.
type StoredOwners struct {
	Service string `json:"service"`
	// Term is the term of the leader that stored them.
	Term   owner.Term    `json:"term"`
	Owners []owner.Owner `json:"owners"`
	// Error is the reason why the stored owners can't be decoded; empty if they can.
	Error string `json:"error,omitempty"`
}

// Status prints the leader and the owners of keys, as stored in the key-value service under
// the system's own prefix, and the workers' notices, as the leader knows them.
func Status(ctx context.Context, output Output, store coord.Store, prefix string, entries WorkerEntries, query QueryNotices) ExitCode {
	overview, states, err := readOverview(ctx, store, prefix, entries)
	if err != nil {
		return output.Fail(err)
	}
	overview.queryNotices(ctx, query, states)
	if output.JSON {
		output.printJSON(overview)
		return ExitOK
	}
	output.printOverview(overview)
	return ExitOK
}

// readOverview reads the overview from the key-value service, and returns the states in the
// workers' entries beside it.
func readOverview(ctx context.Context, store coord.Store, prefix string, workerEntries WorkerEntries) (Overview, map[workers.ID]workers.State, error) {
	leader, found, err := election.New(store, prefix, "", "", nil).CurrentLeader(ctx)
	if err != nil {
		return Overview{}, nil, errs.Combine(registry.ErrUnavailable, err)
	}
	var overview Overview
	if found {
		overview.Leader, overview.Term = leader.Address, leader.Term
	}
	records := keeper.RecordKey(prefix, "")
	items, _, err := coord.List(ctx, store, records)
	if err != nil {
		return Overview{}, nil, errs.Combine(registry.ErrUnavailable, err)
	}
	for _, item := range items {
		overview.Services = append(overview.Services, decodeStoredOwners(strings.TrimPrefix(item.Key, records), item.Value))
	}
	entries, _, err := coord.List(ctx, store, workerEntries.Prefix)
	if err != nil {
		return Overview{}, nil, errs.Combine(registry.ErrUnavailable, err)
	}
	states := map[workers.ID]workers.State{}
	for _, entry := range entries {
		worker, err := workerEntries.Parse(entry)
		if err != nil {
			id := workers.ID(strings.TrimPrefix(entry.Key, workerEntries.Prefix))
			overview.Refused = append(overview.Refused, RefusedEntry{Worker: id, Reason: err.Error()})
			continue
		}
		overview.Workers++
		states[worker.ID] = worker.State
	}
	return overview, states, nil
}

func decodeStoredOwners(service string, record []byte) StoredOwners {
	term, owners, err := owner.DecodeOwners(record)
	if err != nil {
		return StoredOwners{Service: service, Error: err.Error()}
	}
	return StoredOwners{Service: service, Term: term, Owners: owners}
}

func (o Output) printOverview(overview Overview) {
	fmt.Fprintf(o.Result, "leader  %s\nterm    %d\n", orDash(overview.Leader), overview.Term)
	fmt.Fprintf(o.Result, "workers %d, and %d entries that name none\n", overview.Workers, len(overview.Refused))
	for _, entry := range overview.Refused {
		fmt.Fprintf(o.Result, "  %s\t%s\n", entry.Worker, entry.Reason)
	}
	o.printNotices(overview.Notices)
	for _, service := range overview.Services {
		if service.Error != "" {
			fmt.Fprintf(o.Result, "\n%s can't be read: %s\n", service.Service, service.Error)
			continue
		}
		fmt.Fprintf(o.Result, "\n%s, stored in term %d\n", service.Service, service.Term)
		table := newTable(o.Result)
		fmt.Fprintln(table, "FROM\tTO\tOWNER\tADDRESS")
		for _, owned := range service.Owners {
			fmt.Fprintf(table, "%d\t%d\t%s\t%s\n", owned.Keys.From, owned.Keys.To, owned.Worker, owned.Address)
		}
		table.Flush()
	}
}
