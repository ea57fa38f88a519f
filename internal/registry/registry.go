package registry

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

// ErrUnavailable means that the key-value service did not answer in time. The same step may be
// retried.
var ErrUnavailable = errs.New("the key-value service does not answer")

// retryDelay is the delay before a step is retried.
const retryDelay = 100 * time.Millisecond

// Operator is an operator who proposes, approves or rolls versions, with the key for signing.
type Operator struct {
	Name lifecycle.OperatorName
	Key  ed25519.PrivateKey
}

// Registry gives access to the teams' records in a store.
type Registry struct {
	store  coord.Store
	prefix string
}

// New returns a registry whose records are stored under the system's own prefix.
func New(store coord.Store, systemPrefix string) *Registry {
	return &Registry{store: store, prefix: Prefix(systemPrefix)}
}

// Read returns a team's record, or an empty one if there is none.
func (r *Registry) Read(ctx context.Context, team bundle.TeamName) (Record, error) {
	read, _, err := r.read(ctx, team)
	return read, err
}

func (r *Registry) read(ctx context.Context, team bundle.TeamName) (Record, coord.Revision, error) {
	item, found, err := r.store.Get(ctx, r.prefix+string(team))
	if err != nil {
		return Record{}, 0, errs.Combine(ErrUnavailable, err)
	}
	if !found {
		return Record{Head: lifecycle.Head{Team: team}}, 0, nil
	}
	read, err := Decode(item.Value)
	return read, item.Revision, err
}

// others returns the bundles of other teams that are in force or may come into force.
func (r *Registry) others(ctx context.Context, team bundle.TeamName) ([]bundle.Bundle, error) {
	items, _, err := coord.List(ctx, r.store, r.prefix)
	if err != nil {
		return nil, errs.Combine(ErrUnavailable, err)
	}
	var bundles []bundle.Bundle
	for _, item := range items {
		read, err := Decode(item.Value)
		if err != nil || read.Head.Team == team {
			continue
		}
		for _, one := range read.Bundles {
			bundles = append(bundles, one)
		}
	}
	return bundles, nil
}

// Propose proposes a bundle as its team's next version. The outcome is a conflict if another team has
// one of its routes or addresses.
func (r *Registry) Propose(ctx context.Context, by Operator, offered bundle.Bundle) (lifecycle.Outcome, error) {
	digest, err := bundle.Digest(offered)
	if err != nil {
		return lifecycle.Outcome{}, err
	}
	signature, err := bundle.Sign(by.Key, bundle.PurposeProposal, offered)
	if err != nil {
		return lifecycle.Outcome{}, err
	}
	others, err := r.others(ctx, offered.Team)
	if err != nil {
		return lifecycle.Outcome{}, err
	}
	if problems := bundle.Conflicts(offered, others); len(problems) > 0 {
		return lifecycle.Outcome{Kind: lifecycle.Conflict, Message: strictyaml.Format(problems)}, nil
	}
	proposal := lifecycle.Proposal{Version: offered.Version, Digest: digest, Operator: by.Name, Signature: signature}
	return r.step(ctx, offered.Team, &offered, func(before Record) (lifecycle.Head, lifecycle.Outcome) {
		return lifecycle.Propose(before.Head, proposal)
	})
}

// Approve approves the proposed version if it has exactly the reviewed content.
func (r *Registry) Approve(ctx context.Context, by Operator, reviewed bundle.Bundle) (lifecycle.Outcome, error) {
	digest, err := bundle.Digest(reviewed)
	if err != nil {
		return lifecycle.Outcome{}, err
	}
	signature, err := bundle.Sign(by.Key, bundle.PurposeApproval, reviewed)
	if err != nil {
		return lifecycle.Outcome{}, err
	}
	approval := lifecycle.Approval{Version: reviewed.Version, Digest: digest, Operator: by.Name, Signature: signature}
	return r.step(ctx, reviewed.Team, nil, func(before Record) (lifecycle.Head, lifecycle.Outcome) {
		return lifecycle.Approve(before.Head, approval)
	})
}

// Roll puts an approved version into force. If the outcome is OK, the record is stored, and routers
// use the version as soon as they have read the record.
func (r *Registry) Roll(ctx context.Context, by Operator, team bundle.TeamName, version bundle.Version) (lifecycle.Outcome, error) {
	return r.step(ctx, team, nil, func(before Record) (lifecycle.Head, lifecycle.Outcome) {
		signature, err := bundle.Sign(by.Key, bundle.PurposeRoll, before.Bundles[version])
		if err != nil {
			return before.Head, lifecycle.Outcome{Kind: lifecycle.NotFound, Message: err.Error()}
		}
		head, outcome := lifecycle.Roll(before.Head, version, by.Name, signature)
		if !outcome.OK() {
			return head, outcome
		}
		return lifecycle.InForce(head, version)
	})
}

// step retries a step until its outcome is known or ctx ends. Steps may be repeated: if the response
// to a write was lost, reading the record again shows that it was applied.
func (r *Registry) step(ctx context.Context, team bundle.TeamName, added *bundle.Bundle,
	take func(Record) (lifecycle.Head, lifecycle.Outcome)) (lifecycle.Outcome, error) {
	for {
		outcome, err := r.tryStep(ctx, team, added, take)
		if err == nil || (!errors.Is(err, ErrUnavailable) && !errors.Is(err, coord.ErrConflict)) {
			return outcome, err
		}
		clock.Sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return lifecycle.Outcome{}, ErrUnavailable
		}
	}
}

func (r *Registry) tryStep(ctx context.Context, team bundle.TeamName, added *bundle.Bundle,
	take func(Record) (lifecycle.Head, lifecycle.Outcome)) (lifecycle.Outcome, error) {
	before, revision, err := r.read(ctx, team)
	if err != nil {
		return lifecycle.Outcome{}, err
	}
	head, outcome := take(before)
	if outcome.Kind != lifecycle.Changed {
		return outcome, nil
	}
	value, err := json.Marshal(before.withHead(head, added))
	if err != nil {
		return lifecycle.Outcome{}, Error.Wrap(err)
	}
	key := r.prefix + string(team)
	_, err = r.store.Commit(ctx, coord.Txn{
		Conditions: []coord.Condition{{Key: key, Revision: revision}},
		Puts:       []coord.Put{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		return outcome, nil
	case errors.Is(err, coord.ErrConflict):
		return lifecycle.Outcome{}, err
	}
	return lifecycle.Outcome{}, errs.Combine(ErrUnavailable, err)
}
