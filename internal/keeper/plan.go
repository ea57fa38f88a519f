package keeper

import (
	"math"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
)

// plan chooses owners, at first or anew.
func (t *tenureKeeper) plan(now time.Time, svc *service) {
	if now.Before(svc.nextPlan) || svc.writing {
		return
	}
	svc.nextPlan = now.Add(planInterval)
	candidates := t.candidates(now, svc)
	t.Hub.SetBackoffs(t.backoffs(now))
	if svc.ledger.Empty() {
		t.assignInitial(now, svc, candidates)
		return
	}
	for _, move := range svc.ledger.Plan(candidates, svc.loads.Rates(now), t.rules(now, svc)) {
		t.recordMove(now, svc, move)
	}
}

// tellMove counts a planned move and writes a line.
func (t *tenureKeeper) recordMove(now time.Time, svc *service, move owner.Move) {
	if !move.Forced {
		svc.addBalanceMove(now)
	}
	t.Metrics.countMove(svc.name, move.Forced)
	t.Log.Line(decision.KindMoved).Str("service", string(svc.name)).Int("from", move.Keys.From).Int("to", move.Keys.To).
		Str("old", string(move.From)).Str("worker", string(move.To)).Bool("forced", move.Forced).
		Float64("rate", move.Rate).Float64("old_load", move.FromLoad).Float64("load", move.ToLoad).
		Float64("capacity", t.capacity(now, svc, move.To)).Uint64("change", svc.ledger.RecordVersion()).Msg("")
}

// first deals the keys out once the list of workers stands still.
func (t *tenureKeeper) assignInitial(now time.Time, svc *service, candidates []owner.Candidate) {
	settled := now.Sub(t.listChanged) >= settleTime || now.Sub(t.startedAt) >= maxSettleTime
	if len(candidates) == 0 || !settled {
		return
	}
	owners := owner.InitialOwners(candidates, t.placementRules(svc))
	if owners == nil {
		return
	}
	svc.ledger.Assign(now, owners)
	t.Log.Line(decision.KindAssigned).Str("service", string(svc.name)).Int("candidates", len(candidates)).Msg("")
}

// rules are what the configuration allows, as far as loads are known and moves are
// left.
func (t *tenureKeeper) rules(now time.Time, svc *service) owner.Rules {
	rules := owner.Rules{Placement: t.placementRules(svc), Balance: svc.loads.Ready(now), MaxMoves: math.MaxInt}
	if config := t.serviceConfig(svc); config != nil {
		rules.ChurnWeight = config.ChurnWeight
		if config.MovesPerMinute > 0 {
			rules.MaxMoves = max(0, config.MovesPerMinute-svc.balanceMovesSince(now.Add(-time.Minute)))
		}
	}
	return rules
}

// described returns the service in the configuration; nil if it is gone.
func (t *tenureKeeper) serviceConfig(svc *service) *routing.Service {
	if config := t.Config(); config != nil {
		return config.Services[svc.name]
	}
	return nil
}

// places returns where the service's keys may be held: where all routes to it must be served in
// some regions, only there, since an owner elsewhere could not be asked.
func (t *tenureKeeper) placementRules(svc *service) []owner.PlacementRule {
	config := t.Config()
	if config == nil || config.Services[svc.name] == nil {
		return nil
	}
	described := config.Services[svc.name]
	rules := make([]owner.PlacementRule, 0, len(described.Places))
	for _, place := range described.Places {
		rules = append(rules, owner.PlacementRule{Keys: owner.KeyRange{From: place.From, To: place.To}, Zones: place.Zones})
	}
	if regions, bound := config.RegionsOf(svc.name); bound && t.Regions.Regions() > 1 {
		return owner.RestrictToZones(rules, t.zoneNames(regions))
	}
	return rules
}

// zones returns the names of some regions' zones.
func (t *tenureKeeper) zoneNames(regions []topology.Region) []string {
	var names []string
	for _, zone := range t.Regions.Zones(regions) {
		names = append(names, string(zone))
	}
	return names
}

// moved notes a move for balance.
func (s *service) addBalanceMove(now time.Time) {
	s.balanceMovesSince(now.Add(-time.Minute))
	s.balanceMoves = append(s.balanceMoves, now)
}

// movesSince counts the moves for balance since a time and forgets older ones.
func (s *service) balanceMovesSince(since time.Time) int {
	s.balanceMoves = slices.DeleteFunc(s.balanceMoves, func(at time.Time) bool { return at.Before(since) })
	return len(s.balanceMoves)
}
