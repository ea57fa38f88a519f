package registry

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

const bundleText = `team: tawila
version: 1
cell: casablanca
zones: [casa-a, casa-b]
services:
  - name: tables
    kind: keyed
    route: {path_prefix: /tables/}
    key: {path_segment: 2}
    repeatable: true
    limits: {deadline: 800ms, hedge_after: 150ms, retry_ratio: 0.2, queue: 7}
    partitions:
      - {name: all, prefix: "", zones: [casa-a, casa-b]}
      - {name: rabat, prefix: "r-", zones: [casa-b]}
    placement: {churn_weight: 0.5, moves_per_minute: 3}
    backends:
      - {name: a, address: "127.0.0.1:1", zone: casa-a, slots: 2, connections: 130}
      - {name: b, address: "127.0.0.1:2", zone: casa-b, slots: 3, connections: 100, leaving: false}
  - name: bookings
    kind: pool
    route: {path_prefix: /bookings/, host: tawila.example}
    repeatable: false
    limits: {deadline: 1s, max_body_bytes: 65536}
    backends:
      - {name: c, address: "127.0.0.1:3", zone: casa-a, slots: 2, connections: 130}
      - {name: d, address: "127.0.0.1:4", zone: casa-b, slots: 2, connections: 130, leaving: true}
`

func parseBundle(t *testing.T, text string) bundle.Bundle {
	t.Helper()
	made, problems := bundle.Read("bundle.yaml", []byte(text))
	assert.Equal(t, strictyaml.Format(problems), "")
	return made
}

func operator(name lifecycle.OperatorName) Operator {
	seed := bytes.Repeat([]byte{name[0]}, ed25519.SeedSize)
	return Operator{Name: name, Key: ed25519.NewKeyFromSeed(seed)}
}

var salma, youssef, karim = operator("salma"), operator("youssef"), operator("karim")

// trusted returns the given operators as trusted signers.
func trusted(operators ...Operator) Signers {
	signers := Signers{}
	for _, one := range operators {
		signers[one.Name] = Signer{Key: one.Key.Public().(ed25519.PublicKey)}
	}
	return signers
}

// rollOut puts a version into force.
func rollOut(t *testing.T, bundles *Registry, made bundle.Bundle) {
	t.Helper()
	for _, step := range []func() (lifecycle.Outcome, error){
		func() (lifecycle.Outcome, error) { return bundles.Propose(t.Context(), salma, made) },
		func() (lifecycle.Outcome, error) { return bundles.Approve(t.Context(), youssef, made) },
		func() (lifecycle.Outcome, error) { return bundles.Roll(t.Context(), salma, made.Team, made.Version) },
	} {
		outcome, err := step()
		assert.NilError(t, err)
		assert.Equal(t, outcome.Kind, lifecycle.Changed, outcome.Message)
	}
}

func TestInForceVerifiesSignatures(t *testing.T) {
	bundles := New(memory.New(), "own/")
	first := parseBundle(t, bundleText)
	rollOut(t, bundles, first)
	second := first
	second.Version++
	_, err := bundles.Propose(t.Context(), salma, second)
	assert.NilError(t, err)
	record, err := bundles.Read(t.Context(), "tawila")
	assert.NilError(t, err)
	for name, test := range map[string]struct {
		signers Signers
		change  func(*Record)
		problem string
	}{
		"trusted":             {signers: trusted(salma, youssef)},
		"proposer unknown":    {signers: trusted(youssef), problem: "not an operator of the team"},
		"approver unknown":    {signers: trusted(salma), problem: "not an operator of the team"},
		"operator of another": {signers: limitedToTeam(trusted(salma, youssef), "youssef", "rival"), problem: "not an operator of the team"},
		"another's key":       {signers: Signers{"salma": trusted(karim)["karim"], "youssef": trusted(youssef)["youssef"]}, problem: "signature does not match"},
		"content changed": {signers: trusted(salma, youssef), problem: "signature does not match", change: func(r *Record) {
			changed := r.Bundles[1]
			changed.Cell = "elsewhere"
			r.Bundles[1] = changed
		}},
		"content missing":    {signers: trusted(salma, youssef), problem: "not stored", change: func(r *Record) { delete(r.Bundles, 1) }},
		"content of another": {signers: trusted(salma, youssef), problem: "stored as version 1 is version 2", change: func(r *Record) { r.Bundles[1] = r.Bundles[2] }},
		"approved by proposer": {signers: trusted(salma, youssef), problem: "approved by its proposer", change: func(r *Record) {
			r.Head.Entries[0].ProposedBy = "youssef"
		}},
		"proposal signature used for the roll": {signers: trusted(salma, youssef), problem: "roll by salma", change: func(r *Record) {
			r.Head.Entries[0].RollSignature = r.Head.Entries[0].ProposalSignature
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var copied Record
			encoded, err := json.Marshal(record)
			assert.NilError(t, err)
			assert.NilError(t, json.Unmarshal(encoded, &copied))
			if test.change != nil {
				test.change(&copied)
			}
			used, err := copied.InForce(test.signers)
			if test.problem != "" {
				assert.ErrorContains(t, err, test.problem)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, used.Version, bundle.Version(1))
		})
	}
}

func limitedToTeam(signers Signers, name lifecycle.OperatorName, team bundle.TeamName) Signers {
	signer := signers[name]
	signer.Teams = []bundle.TeamName{team}
	signers[name] = signer
	return signers
}

func TestNothingIsInForceBeforeTheFirstRoll(t *testing.T) {
	bundles := New(memory.New(), "own/")
	_, err := bundles.Propose(t.Context(), salma, parseBundle(t, bundleText))
	assert.NilError(t, err)
	record, err := bundles.Read(t.Context(), "tawila")
	assert.NilError(t, err)
	used, err := record.InForce(trusted(salma, youssef))
	assert.NilError(t, err)
	assert.Assert(t, used == nil)
}

func TestConflictingProposalIsRejected(t *testing.T) {
	bundles := New(memory.New(), "own/")
	mine := parseBundle(t, bundleText)
	theirs := mine
	theirs.Cell = "rabat"
	first, err := bundles.Propose(t.Context(), salma, mine)
	assert.NilError(t, err)
	assert.Assert(t, first.OK())
	second, err := bundles.Propose(t.Context(), youssef, theirs)
	assert.NilError(t, err)
	assert.Equal(t, second.Kind, lifecycle.Conflict)
	assert.Equal(t, second.Status.ProposedBy, lifecycle.OperatorName("salma"))
	outcome, err := bundles.Approve(t.Context(), karim, theirs)
	assert.NilError(t, err)
	assert.Equal(t, outcome.Kind, lifecycle.Conflict, "the reviewed content differs from the proposed one")
}

func TestConcurrentProposalsTakeEffectOnce(t *testing.T) {
	store := memory.New()
	results := make(chan lifecycle.Outcome, 8)
	made := parseBundle(t, bundleText)
	for index := range 8 {
		by := salma
		if index%2 == 1 {
			by = youssef
		}
		go func() {
			outcome, err := New(store, "own/").Propose(context.Background(), by, made)
			assert.Check(t, cmp.Nil(err))
			results <- outcome
		}()
	}
	kinds := map[lifecycle.OutcomeKind]int{}
	for range 8 {
		kinds[(<-results).Kind]++
	}
	assert.Equal(t, kinds[lifecycle.Changed], 1, "%v", kinds)
	assert.Equal(t, kinds[lifecycle.Conflict], 4, "%v", kinds)
	assert.Equal(t, kinds[lifecycle.Unchanged], 3, "%v", kinds)
}

// A retried write must not conflict with an earlier attempt that was applied, at once or later, but
// whose response was lost.
func TestLostWriteResponsesAreResolved(t *testing.T) {
	for name, delay := range map[string]time.Duration{"done": 0, "applied late": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				store.LoseAnswers(1, delay)
				bundles := New(timeoutStore{store}, "own/")
				outcome, err := bundles.Propose(t.Context(), salma, parseBundle(t, bundleText))
				assert.NilError(t, err)
				assert.Equal(t, outcome.Kind, lifecycle.Unchanged)
				record, err := bundles.Read(t.Context(), "tawila")
				assert.NilError(t, err)
				assert.Equal(t, len(record.Head.Entries), 1)
			})
		})
	}
}

// timeoutStore gives up commits after a second, as a client does.
type timeoutStore struct {
	coord.Store
}

func (s timeoutStore) Commit(ctx context.Context, txn coord.Txn) (coord.Revision, error) {
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s.Store.Commit(short, txn)
}

func TestOutageReturnsErrUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetDown(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := New(store, "own/").Roll(ctx, salma, "tawila", 1)
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	})
}

func TestRouteOfAnotherTeamConflicts(t *testing.T) {
	bundles := New(memory.New(), "own/")
	rollOut(t, bundles, parseBundle(t, bundleText))
	rival := parseBundle(t, bundleText)
	rival.Team = "rival"
	outcome, err := bundles.Propose(t.Context(), salma, rival)
	assert.NilError(t, err)
	assert.Equal(t, outcome.Kind, lifecycle.Conflict)
	assert.Assert(t, cmp.Contains(outcome.Message, "services[0].route: expected one that no other team has; tawila has it"))
}

func TestBundlesOfReplacedVersionsAreDropped(t *testing.T) {
	bundles := New(memory.New(), "own/")
	made := parseBundle(t, bundleText)
	for range 4 {
		rollOut(t, bundles, made)
		made.Version++
	}
	record, err := bundles.Read(t.Context(), "tawila")
	assert.NilError(t, err)
	assert.Equal(t, len(record.Head.Entries), 4)
	assert.Equal(t, len(record.Bundles), 1)
}
