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
)

// Overview is what the key-value service says of the system.
type Overview struct {
	// Leader is the peer address of the router that leads; empty if none does.
	Leader   string        `json:"leader"`
	Term     owner.Term    `json:"term"`
	Services []OwnedByTerm `json:"services"`
}

// OwnedByTerm are the stored owners of a service's keys.
type OwnedByTerm struct {
	Service string `json:"service"`
	// Term of the leader that stored them.
	Term   owner.Term    `json:"term"`
	Owners []owner.Owner `json:"owners"`
}

// Status prints who leads and who owns which keys, as the service has it under the
// system's own prefix.
func Status(ctx context.Context, output Output, store coord.Store, prefix string) ExitCode {
	overview, err := readOverview(ctx, store, prefix)
	if err != nil {
		return output.Fail(err)
	}
	if output.JSON {
		output.json(overview)
		return ExitOK
	}
	output.overview(overview)
	return ExitOK
}

func readOverview(ctx context.Context, store coord.Store, prefix string) (Overview, error) {
	leader, found, err := election.New(store, prefix, "", "", nil).Look(ctx)
	if err != nil {
		return Overview{}, errs.Combine(registry.ErrUnavailable, err)
	}
	var overview Overview
	if found {
		overview.Leader, overview.Term = leader.Address, leader.Term
	}
	records := keeper.RecordKey(prefix, "")
	items, _, err := store.List(ctx, records)
	if err != nil {
		return Overview{}, errs.Combine(registry.ErrUnavailable, err)
	}
	for _, item := range items {
		term, owners, err := owner.DecodeOwners(item.Value)
		if err != nil {
			return Overview{}, err
		}
		service := strings.TrimPrefix(item.Key, records)
		overview.Services = append(overview.Services, OwnedByTerm{Service: service, Term: term, Owners: owners})
	}
	return overview, nil
}

func (o Output) overview(overview Overview) {
	fmt.Fprintf(o.Result, "leader  %s\nterm    %d\n", orDash(overview.Leader), overview.Term)
	for _, service := range overview.Services {
		fmt.Fprintf(o.Result, "\n%s, stored in term %d\n", service.Service, service.Term)
		table := newTable(o.Result)
		fmt.Fprintln(table, "FROM\tTO\tOWNER\tADDRESS")
		for _, one := range service.Owners {
			fmt.Fprintf(table, "%d\t%d\t%s\t%s\n", one.Keys.From, one.Keys.To, one.Worker, one.Address)
		}
		table.Flush()
	}
}
