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

// Overview is what the key-value service says of the system.
type Overview struct {
	// Leader is the peer address of the router that leads; empty if none does.
	Leader   string         `json:"leader"`
	Term     owner.Term     `json:"term"`
	Services []StoredOwners `json:"services"`
	// Workers counts the entries of workers, and Refused are those that name none.
	Workers int            `json:"workers"`
	Refused []RefusedEntry `json:"refused,omitempty"`
	Notices
}

// RefusedEntry is an entry among the workers' that names no worker to use.
type RefusedEntry struct {
	Worker workers.ID `json:"worker"`
	Reason string     `json:"reason"`
}

// Announced says where workers announce themselves, and how their entries are read.
type WorkerEntries struct {
	Prefix string
	Parse  func(entry coord.Item) (workers.Worker, error)
}

// StoredOwners are the stored owners of a service's keys.
type StoredOwners struct {
	Service string `json:"service"`
	// Term of the leader that stored them.
	Term   owner.Term    `json:"term"`
	Owners []owner.Owner `json:"owners"`
	// Error says why the stored owners can't be read; empty if they can.
	Error string `json:"error,omitempty"`
}

// Status prints who leads and who owns which keys, as the service has it under the
// system's own prefix, and what workers say of themselves, as the leader has it.
func Status(ctx context.Context, output Output, store coord.Store, prefix string, announced WorkerEntries, ask QueryNotices) ExitCode {
	overview, states, err := readOverview(ctx, store, prefix, announced)
	if err != nil {
		return output.Fail(err)
	}
	overview.queryNotices(ctx, ask, states)
	if output.JSON {
		output.json(overview)
		return ExitOK
	}
	output.overview(overview)
	return ExitOK
}

// readOverview reads what is stored, and the states of workers in their entries.
func readOverview(ctx context.Context, store coord.Store, prefix string, announced WorkerEntries) (Overview, map[workers.ID]workers.State, error) {
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
	entries, _, err := coord.List(ctx, store, announced.Prefix)
	if err != nil {
		return Overview{}, nil, errs.Combine(registry.ErrUnavailable, err)
	}
	states := map[workers.ID]workers.State{}
	for _, entry := range entries {
		worker, err := announced.Parse(entry)
		if err != nil {
			id := workers.ID(strings.TrimPrefix(entry.Key, announced.Prefix))
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

func (o Output) overview(overview Overview) {
	fmt.Fprintf(o.Result, "leader  %s\nterm    %d\n", orDash(overview.Leader), overview.Term)
	fmt.Fprintf(o.Result, "workers %d, and %d entries that name none\n", overview.Workers, len(overview.Refused))
	for _, one := range overview.Refused {
		fmt.Fprintf(o.Result, "  %s\t%s\n", one.Worker, one.Reason)
	}
	o.notices(overview.Notices)
	for _, service := range overview.Services {
		if service.Error != "" {
			fmt.Fprintf(o.Result, "\n%s can't be read: %s\n", service.Service, service.Error)
			continue
		}
		fmt.Fprintf(o.Result, "\n%s, stored in term %d\n", service.Service, service.Term)
		table := newTable(o.Result)
		fmt.Fprintln(table, "FROM\tTO\tOWNER\tADDRESS")
		for _, one := range service.Owners {
			fmt.Fprintf(table, "%d\t%d\t%s\t%s\n", one.Keys.From, one.Keys.To, one.Worker, one.Address)
		}
		table.Flush()
	}
}
