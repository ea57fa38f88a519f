package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/keeper"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	bundleFile = "../../examples/tawila/bundle.yaml"
	prefix     = "own/"
)

// console collects the output of a command.
type console struct {
	result, errors bytes.Buffer
}

func (c *console) output() Output {
	return Output{Result: &c.result, Errors: &c.errors}
}

func fixedOperator(name string, seed byte) registry.Operator {
	return registry.Operator{
		Name: lifecycle.OperatorName(name),
		Key:  ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize)),
	}
}

func TestKeyFileIsPrivateAndNeverOverwritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	generated := &console{}
	assert.Equal(t, GenerateKey(generated.output(), path), ExitOK)
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	identity, err := LoadIdentity("salma", path)
	assert.NilError(t, err)
	assert.Equal(t, identity.Name, lifecycle.OperatorName("salma"))
	assert.Equal(t, GenerateKey(generated.output(), path), ExitInvalid)
	assert.NilError(t, os.Chmod(path, 0o640))
	_, err = LoadIdentity("salma", path)
	assert.ErrorContains(t, err, "can be read by others")
}

func TestBundleLifecycle(t *testing.T) {
	bundles := registry.New(memory.New(), prefix)
	salma, youssef := fixedOperator("salma", 1), fixedOperator("youssef", 2)
	out := &console{}
	ctx := t.Context()
	assert.Equal(t, BundleStatus(ctx, out.output(), bundles, "tawila"), ExitRefused)
	assert.Equal(t, Propose(ctx, out.output(), bundles, salma, bundleFile), ExitOK)
	assert.Equal(t, Roll(ctx, out.output(), bundles, salma, "tawila", 1), ExitRefused)
	assert.Equal(t, Approve(ctx, out.output(), bundles, salma, bundleFile), ExitRefused)
	assert.Equal(t, Approve(ctx, out.output(), bundles, youssef, bundleFile), ExitOK)
	assert.Equal(t, Roll(ctx, out.output(), bundles, salma, "tawila", 1), ExitOK)
	assert.Equal(t, BundleStatus(ctx, out.output(), bundles, "tawila"), ExitOK)
	assert.Equal(t, BundleHistory(ctx, out.output(), bundles, "tawila"), ExitOK)
	golden.Assert(t, out.result.String()+"--\n"+out.errors.String(), "states.golden")
}

func TestStoreOutageHasItsOwnExitCode(t *testing.T) {
	store := memory.New()
	store.SetDown(true)
	bundles := registry.New(store, prefix)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	out := &console{}
	assert.Equal(t, BundleStatus(ctx, out.output(), bundles, "tawila"), ExitUnreachable)
	assert.Equal(t, Status(ctx, out.output(), store, prefix, stateEntries, noNotices), ExitUnreachable)
	assert.Equal(t, Propose(ctx, out.output(), bundles, fixedOperator("salma", 1), bundleFile), ExitUnreachable)
	assert.Assert(t, strings.Contains(out.errors.String(), "does not answer"))
}

// stateEntries parses entries whose value is only the worker's state.
var stateEntries = WorkerEntries{Prefix: "w/", Parse: func(entry coord.Item) (workers.Worker, error) {
	if string(entry.Value) != "ready" {
		return workers.Worker{}, &workers.EntryError{Reason: workers.ReasonState, Field: "state"}
	}
	return workers.Worker{ID: workers.ID(strings.TrimPrefix(entry.Key, "w/")), State: workers.StateReady}, nil
}}

func noNotices(context.Context, string) (peerlink.WorkerNotices, error) {
	return peerlink.WorkerNotices{}, peerlink.ErrNotLeading
}

func TestStatusShowsLeaderOwnersAndWorkerNotices(t *testing.T) {
	store := memory.New()
	term := owner.Term(1)
	_, err := election.New(store, prefix, "10.0.0.1:82", "p1", func() string { return "n" }).Campaign(t.Context(), 0)
	assert.NilError(t, err)
	ledger := owner.NewLedger(owner.DefaultConfig(time.Second), term)
	ledger.Assign(time.Now(), []owner.Owner{
		{Keys: owner.KeyRange{From: 0, To: 9}, Worker: "w1", Address: "10.0.0.7:1"},
		{Keys: owner.KeyRange{From: 10, To: owner.KeyCount - 1}, Worker: "w2", Address: "10.0.0.8:1"},
	})
	value, err := ledger.Encode(term, "mark")
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{
		{Key: keeper.RecordKey(prefix, "tables"), Value: value}, {Key: keeper.RecordKey(prefix, "spoiled"), Value: []byte("{")},
		{Key: "w/w1", Value: []byte("ready")}, {Key: "w/other", Value: []byte("paused")},
	}})
	assert.NilError(t, err)
	queryNotices := func(_ context.Context, leader string) (peerlink.WorkerNotices, error) {
		assert.Equal(t, leader, "10.0.0.1:82")
		return peerlink.WorkerNotices{
			Limits:   []workerlimit.Message{{Worker: "w2", PerSecond: 2.5, AgeMillis: 7100}},
			Leaving:  []departure.Message{{Worker: "w1", AgeMillis: 3200}, {Worker: "w9", AgeMillis: 60100}},
			Backoffs: []peerlink.BackoffShare{{Worker: "w2", Share: 0.75, RemainingMillis: 1900}},
		}, nil
	}
	out := &console{}
	assert.Equal(t, Status(t.Context(), out.output(), store, prefix, stateEntries, queryNotices), ExitOK)
	jsonOutput := out.output()
	jsonOutput.JSON = true
	assert.Equal(t, Status(t.Context(), jsonOutput, store, prefix, stateEntries, queryNotices), ExitOK)
	assert.Equal(t, Status(t.Context(), out.output(), store, prefix, stateEntries, noNotices), ExitOK)
	golden.Assert(t, out.result.String(), "status.golden")
}

func TestExamplesAreValid(t *testing.T) {
	for _, example := range []string{"tawila", "tweede-leven"} {
		directory := filepath.Join("..", "..", "examples", example)
		out := &console{}
		assert.Equal(t, CheckConfig(out.output(), filepath.Join(directory, "router.yaml")), ExitOK, out.errors.String())
		assert.Equal(t, CheckBundle(out.output(), filepath.Join(directory, "bundle.yaml")), ExitOK, out.errors.String())
	}
	out := &console{}
	assert.Equal(t, CheckConfig(out.output(), bundleFile), ExitInvalid)
}
