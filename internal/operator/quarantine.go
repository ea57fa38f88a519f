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

// SuspectedRequest is a request that was in progress at workers when they crashed.
type SuspectedRequest struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	// Quarantined is set if the request is no longer sent to any worker.
	Quarantined bool   `json:"quarantined"`
	Route       string `json:"route"`
	// OnlyCaller is the only caller whose request is restricted; empty: those of all callers.
	OnlyCaller string   `json:"for,omitempty"`
	Caller     string   `json:"caller"`
	Workers    []string `json:"workers"`
	// LastAttemptID is the id of the last attempt that was in progress at a crash, and LastCrash
	// is the time of that crash. ExpiresAt is when the record is dropped unless the request
	// crashes more workers.
	LastAttemptID string    `json:"last_id"`
	LastCrash     time.Time `json:"last"`
	ExpiresAt     time.Time `json:"until"`
}

// ListSuspects prints the requests that are suspected or quarantined.
func ListSuspects(ctx context.Context, output Output, store coord.Store, prefix string) ExitCode {
	snapshot, _, err := readSuspects(ctx, store, prefix)
	if err != nil {
		return output.Fail(err)
	}
	list := describeSuspects(snapshot)
	if output.JSON {
		output.printJSON(list)
		return ExitOK
	}
	output.printSuspects(list)
	return ExitOK
}

// LiftQuarantine marks a request as lifted, so that routers send it to workers again.
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
		case !errors.Is(err, coord.ErrConflict): // on a conflict, retry: the leader has written since
			return output.Fail(errs.Combine(registry.ErrUnavailable, err))
		}
	}
	return output.Fail(errs.Combine(registry.ErrUnavailable, ctx.Err()))
}

// readSuspects returns the stored snapshot and its revision, and zero values if none is stored.
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
	for _, record := range snapshot.ReceivedRecords(time.UnixMilli(snapshot.WrittenMillis).UTC()) {
		if record.Standing() == quarantine.Unsuspected {
			continue
		}
		suspect := SuspectedRequest{
			Fingerprint: record.Attempt.Request, Quarantined: record.Standing() == quarantine.Quarantined,
			Route: record.Attempt.Route, Caller: record.Attempt.Caller.String(), LastAttemptID: record.Attempt.ID, ExpiresAt: record.ExpiresAt(),
		}
		if record.OnlyCaller.IsValid() {
			suspect.OnlyCaller = record.OnlyCaller.String()
		}
		for _, crash := range record.Crashes {
			if !slices.Contains(suspect.Workers, string(crash.Worker)) {
				suspect.Workers = append(suspect.Workers, string(crash.Worker))
			}
			suspect.LastCrash = crash.At
		}
		list = append(list, suspect)
	}
	return list
}

func callerOrEverybody(caller string) string {
	if caller == "" {
		return "everybody"
	}
	return caller
}

func (o Output) printSuspects(list []SuspectedRequest) {
	table := newTable(o.Result)
	fmt.Fprintln(table, "FINGERPRINT\tSTATE\tROUTE\tFOR\tCALLER\tLAST ID\tLAST\tUNTIL\tWORKERS")
	for _, suspect := range list {
		state := "suspected"
		if suspect.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			suspect.Fingerprint, state, orDash(suspect.Route), callerOrEverybody(suspect.OnlyCaller), suspect.Caller, orDash(suspect.LastAttemptID),
			suspect.LastCrash.Format(time.RFC3339), suspect.ExpiresAt.Format(time.RFC3339), strings.Join(suspect.Workers, " "))
	}
	table.Flush()
}
