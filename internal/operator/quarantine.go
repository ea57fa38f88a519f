package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/registry"
)

// SuspectedRequest is a request that was under way at workers that crashed.
type SuspectedRequest struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// Quarantined says that it is sent to no worker.
	Quarantined bool   `json:"quarantined"`
	Route       string `json:"route"`
	// For is the only caller whose request is meant; empty: everybody's.
	OnlyCaller string   `json:"for,omitempty"`
	Caller     string   `json:"caller"`
	Workers    []string `json:"workers"`
	// LastID is the id of the last attempt that was under way at a crash, and Last is when that
	// was. Until is when the request is forgotten unless it crashes more.
	LastAttemptID string    `json:"last_id"`
	LastCrash     time.Time `json:"last"`
	ExpiresAt     time.Time `json:"until"`
}

// ListSuspects prints the requests that were under way at crashes.
func ListSuspects(ctx context.Context, output Output, store coord.Store, prefix string) ExitCode {
	snapshot, _, err := readSuspects(ctx, store, prefix)
	if err != nil {
		return output.Fail(err)
	}
	list := describeSuspects(snapshot)
	if output.JSON {
		output.json(list)
		return ExitOK
	}
	output.suspects(list)
	return ExitOK
}

// LiftQuarantine forgets what a request has crashed, so that it is sent again.
func LiftQuarantine(ctx context.Context, output Output, store coord.Store, prefix, fingerprint string) ExitCode {
	var request quarantine.Fingerprint
	if err := request.UnmarshalText([]byte(fingerprint)); err != nil {
		return output.Fail(err)
	}
	for ctx.Err() == nil {
		snapshot, revision, err := readSuspects(ctx, store, prefix)
		if err != nil {
			return output.Fail(err)
		}
		lifted, found := snapshot.Lift(time.Now(), request)
		if !found {
			fmt.Fprintf(output.Errors, "%s is neither suspected nor quarantined\n", request)
			return ExitRefused
		}
		key := quarantine.StoreKey(prefix)
		_, err = store.Commit(ctx, coord.Txn{
			Conditions: []coord.Condition{{Key: key, Revision: revision}}, Puts: []coord.Put{{Key: key, Value: lifted.Encode()}},
		})
		switch {
		case err == nil:
			fmt.Fprintf(output.Result, "%s is lifted; routers know within 15 s\n", request)
			return ExitOK
		case !errors.Is(err, coord.ErrConflict): // a conflict: the leader has written meanwhile
			return output.Fail(errs.Combine(registry.ErrUnavailable, err))
		}
	}
	return output.Fail(errs.Combine(registry.ErrUnavailable, ctx.Err()))
}

// readSuspects returns what is stored, and its revision; nothing if nothing is.
func readSuspects(ctx context.Context, store coord.Store, prefix string) (quarantine.Snapshot, coord.Revision, error) {
	item, found, err := store.Get(ctx, quarantine.StoreKey(prefix))
	if err != nil {
		return quarantine.Snapshot{}, 0, errs.Combine(registry.ErrUnavailable, err)
	}
	if !found {
		return quarantine.Snapshot{}, 0, nil
	}
	snapshot, err := quarantine.DecodeSnapshot(item.Value)
	return snapshot, item.Revision, err
}

func describeSuspects(snapshot quarantine.Snapshot) []SuspectedRequest {
	list := []SuspectedRequest{}
	for _, record := range snapshot.Received(time.UnixMilli(snapshot.WrittenMillis).UTC()) {
		if record.Standing() == quarantine.Unsuspected {
			continue
		}
		one := SuspectedRequest{
			Fingerprint: record.Attempt.Request, Quarantined: record.Standing() == quarantine.Quarantined,
			Route: record.Attempt.Route, Caller: record.Attempt.Caller.String(), LastAttemptID: record.Attempt.ID, ExpiresAt: record.ExpiresAt(),
		}
		if record.OnlyCaller.IsValid() {
			one.OnlyCaller = record.OnlyCaller.String()
		}
		for _, crash := range record.Crashes {
			if !slices.Contains(one.Workers, string(crash.Worker)) {
				one.Workers = append(one.Workers, string(crash.Worker))
			}
			one.LastCrash = crash.At
		}
		list = append(list, one)
	}
	return list
}

func orEverybody(caller string) string {
	if caller == "" {
		return "everybody"
	}
	return caller
}

func (o Output) suspects(list []SuspectedRequest) {
	table := newTable(o.Result)
	fmt.Fprintln(table, "FINGERPRINT\tSTATE\tROUTE\tFOR\tCALLER\tLAST ID\tLAST\tUNTIL\tWORKERS")
	for _, one := range list {
		state := "suspected"
		if one.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", one.Fingerprint, state, orDash(one.Route), orEverybody(one.OnlyCaller), one.Caller,
			orDash(one.LastAttemptID), one.LastCrash.Format(time.RFC3339), one.ExpiresAt.Format(time.RFC3339), strings.Join(one.Workers, " "))
	}
	table.Flush()
}
