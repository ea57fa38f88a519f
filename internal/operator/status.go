package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/keeper"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// Overview is what the key-value service says of the system.
type Overview struct {
	// Leader is the peer address of the router that leads; empty if none does.
	Leader   string        `json:"leader"`
	Term     owner.Term    `json:"term"`
	Services []OwnedByTerm `json:"services"`
	// Workers counts the entries of workers, and Refused are those that name none.
	Workers int            `json:"workers"`
	Refused []RefusedEntry `json:"refused,omitempty"`
	// Limits are those that workers name, as the leader knows; LimitsError says why it was not asked
	// or did not answer.
	Limits      []NamedLimit `json:"limits,omitempty"`
	LimitsError string       `json:"limits_error,omitempty"`
}

// NamedLimit is a worker that takes so many requests a second from all routers together.
type NamedLimit struct {
	Worker    workers.ID `json:"worker"`
	PerSecond float64    `json:"per_second"`
	// SinceSeconds is for how long the leader has known the limit as it is.
	SinceSeconds float64 `json:"since_seconds"`
}

// RefusedEntry is an entry among the workers' that names no worker to use.
type RefusedEntry struct {
	Worker workers.ID `json:"worker"`
	Reason string     `json:"reason"`
}

// Announced says where workers announce themselves, and how their entries are read.
type Announced struct {
	Prefix string
	Read   func(entry coord.Item) (workers.Worker, error)
}

// AskLimits asks the router that leads, at an address, which limits workers name.
type AskLimits func(ctx context.Context, leader string) ([]workerlimit.Told, error)

// OwnedByTerm are the stored owners of a service's keys.
type OwnedByTerm struct {
	Service string `json:"service"`
	// Term of the leader that stored them.
	Term   owner.Term    `json:"term"`
	Owners []owner.Owner `json:"owners"`
	// Error says why the stored owners can't be read; empty if they can.
	Error string `json:"error,omitempty"`
}

// Status prints who leads and who owns which keys, as the service has it under the
// system's own prefix, and the limits that workers name, as the leader has them.
func Status(ctx context.Context, output Output, store coord.Store, prefix string, announced Announced, ask AskLimits) ExitCode {
	overview, err := readOverview(ctx, store, prefix, announced)
	if err != nil {
		return output.Fail(err)
	}
	overview.askLimits(ctx, ask)
	if output.JSON {
		output.json(overview)
		return ExitOK
	}
	output.overview(overview)
	return ExitOK
}

func readOverview(ctx context.Context, store coord.Store, prefix string, announced Announced) (Overview, error) {
	leader, found, err := election.New(store, prefix, "", "", nil).Look(ctx)
	if err != nil {
		return Overview{}, errs.Combine(registry.ErrUnavailable, err)
	}
	var overview Overview
	if found {
		overview.Leader, overview.Term = leader.Address, leader.Term
	}
	records := keeper.RecordKey(prefix, "")
	items, _, err := coord.List(ctx, store, records)
	if err != nil {
		return Overview{}, errs.Combine(registry.ErrUnavailable, err)
	}
	for _, item := range items {
		overview.Services = append(overview.Services, ownedByTerm(strings.TrimPrefix(item.Key, records), item.Value))
	}
	entries, _, err := coord.List(ctx, store, announced.Prefix)
	if err != nil {
		return Overview{}, errs.Combine(registry.ErrUnavailable, err)
	}
	for _, entry := range entries {
		if _, err := announced.Read(entry); err != nil {
			id := workers.ID(strings.TrimPrefix(entry.Key, announced.Prefix))
			overview.Refused = append(overview.Refused, RefusedEntry{Worker: id, Reason: err.Error()})
			continue
		}
		overview.Workers++
	}
	return overview, nil
}

// askLimits asks the leader for the limits that workers name: they are stored nowhere.
func (o *Overview) askLimits(ctx context.Context, ask AskLimits) {
	if o.Leader == "" {
		o.LimitsError = "no router leads"
		return
	}
	told, err := ask(ctx, o.Leader)
	if err != nil {
		o.LimitsError = err.Error()
		return
	}
	for _, one := range told {
		o.Limits = append(o.Limits, NamedLimit{
			Worker: one.Worker, PerSecond: one.PerSecond, SinceSeconds: float64(one.AgeMillis) / 1000,
		})
	}
}

func ownedByTerm(service string, record []byte) OwnedByTerm {
	term, owners, err := owner.DecodeOwners(record)
	if err != nil {
		return OwnedByTerm{Service: service, Error: err.Error()}
	}
	return OwnedByTerm{Service: service, Term: term, Owners: owners}
}

func (o Output) overview(overview Overview) {
	fmt.Fprintf(o.Result, "leader  %s\nterm    %d\n", orDash(overview.Leader), overview.Term)
	fmt.Fprintf(o.Result, "workers %d, and %d entries that name none\n", overview.Workers, len(overview.Refused))
	for _, one := range overview.Refused {
		fmt.Fprintf(o.Result, "  %s\t%s\n", one.Worker, one.Reason)
	}
	o.limits(overview)
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

// limits prints the limits that workers name.
func (o Output) limits(overview Overview) {
	if overview.LimitsError != "" {
		fmt.Fprintf(o.Result, "limits of workers are not known: %s\n", overview.LimitsError)
		return
	}
	fmt.Fprintf(o.Result, "workers that name a limit %d\n", len(overview.Limits))
	if len(overview.Limits) == 0 {
		return
	}
	table := newTable(o.Result)
	fmt.Fprintln(table, "WORKER\tREQUESTS A SECOND\tFOR")
	for _, one := range overview.Limits {
		since := time.Duration(one.SinceSeconds * float64(time.Second)).Round(time.Second)
		fmt.Fprintf(table, "%s\t%g\t%s\n", one.Worker, one.PerSecond, since)
	}
	table.Flush()
}
