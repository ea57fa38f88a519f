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

// plan assigns the initial owners of a service, or plans moves between owners.
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

// recordMove counts and logs a planned move.
func (t *tenureKeeper) recordMove(now time.Time, svc *service, move owner.Move) {
	if !move.Forced {
		svc.addBalanceMove(now)
	}
	t.Metrics.countMove(svc.name, move.Forced)
	t.Log.Line(decision.KindKeysMoved).Str("service", string(svc.name)).Int("from", move.Keys.From).Int("to", move.Keys.To).
		Str("old", string(move.From)).Str("worker", string(move.To)).Bool("forced", move.Forced).
		Float64("rate", move.Rate).Float64("old_load", move.FromLoad).Float64("load", move.ToLoad).
		Float64("capacity", t.capacity(now, svc, move.To)).Uint64("change", svc.ledger.RecordVersion()).Msg("")
}

// assignInitial assigns the initial owners once the list of workers has settled.
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
	t.Log.Line(decision.KindKeysAssigned).Str("service", string(svc.name)).Int("candidates", len(candidates)).Msg("")
}

// rules returns the rules for planning moves: those of the configuration, with balancing only once
// loads are ready, and with the moves that remain of the limit per minute.
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

// serviceConfig returns the service's configuration; nil if it has been removed.
func (t *tenureKeeper) serviceConfig(svc *service) *routing.Service {
	if config := t.Config(); config != nil {
		return config.Services[svc.name]
	}
	return nil
}

// placementRules returns the zones that may own the service's keys. If all routes to the service are
// restricted to regions, owners are restricted to these regions too, since no request could be sent
// to an owner elsewhere.
func (t *tenureKeeper) placementRules(svc *service) []owner.PlacementRule {
	config := t.Config()
	if config == nil || config.Services[svc.name] == nil {
		return nil
	}
	serviceConfig := config.Services[svc.name]
	rules := make([]owner.PlacementRule, 0, len(serviceConfig.Placement))
	for _, rule := range serviceConfig.Placement {
		rules = append(rules, owner.PlacementRule{Keys: owner.KeyRange{From: rule.From, To: rule.To}, Zones: rule.Zones})
	}
	if regions, bound := config.AllowedRegions(svc.name); bound && t.Regions.RegionCount() > 1 {
		return owner.RestrictToZones(rules, t.zoneNames(regions))
	}
	return rules
}

// zoneNames returns the names of the zones in the given regions.
func (t *tenureKeeper) zoneNames(regions []topology.Region) []string {
	var names []string
	for _, zone := range t.Regions.Zones(regions) {
		names = append(names, string(zone))
	}
	return names
}

// addBalanceMove records a move that was planned for balance.
func (s *service) addBalanceMove(now time.Time) {
	s.balanceMovesSince(now.Add(-time.Minute))
	s.balanceMoves = append(s.balanceMoves, now)
}

// balanceMovesSince counts the moves for balance since a time and discards older ones.
func (s *service) balanceMovesSince(since time.Time) int {
	s.balanceMoves = slices.DeleteFunc(s.balanceMoves, func(at time.Time) bool { return at.Before(since) })
	return len(s.balanceMoves)
}
