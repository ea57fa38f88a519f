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
func (t *tenancy) plan(now time.Time, of *service) {
	if now.Before(of.nextPlan) || of.writing {
		return
	}
	of.nextPlan = now.Add(planEvery)
	candidates := t.candidates(now, of)
	t.Hub.SetBackoffs(t.backoffs(now))
	if of.book.Empty() {
		t.first(now, of, candidates)
		return
	}
	for _, one := range of.book.Plan(candidates, of.loads.Rates(now), t.rules(now, of)) {
		t.tellMove(now, of, one)
	}
}

// tellMove counts a planned move and writes a line.
func (t *tenancy) tellMove(now time.Time, of *service, one owner.Move) {
	if !one.Forced {
		of.moved(now)
	}
	t.Metrics.moved(of.name, one.Forced)
	t.Log.Line(decision.KindMoved).Str("service", string(of.name)).Int("from", one.Keys.From).Int("to", one.Keys.To).
		Str("old", string(one.From)).Str("worker", string(one.To)).Bool("forced", one.Forced).
		Float64("rate", one.Rate).Float64("old_load", one.FromLoad).Float64("load", one.ToLoad).
		Float64("capacity", t.capacity(now, of, one.To)).Uint64("change", of.book.RecordVersion()).Msg("")
}

// first deals the keys out once the list of workers stands still.
func (t *tenancy) first(now time.Time, of *service, candidates []owner.Candidate) {
	settled := now.Sub(t.listChanged) >= settleTime || now.Sub(t.began) >= settleLimit
	if len(candidates) == 0 || !settled {
		return
	}
	owners := owner.InitialOwners(candidates, t.places(of))
	if owners == nil {
		return
	}
	of.book.Assign(now, owners)
	t.Log.Line(decision.KindAssigned).Str("service", string(of.name)).Int("candidates", len(candidates)).Msg("")
}

// rules are what the configuration allows, as far as loads are known and moves are
// left.
func (t *tenancy) rules(now time.Time, of *service) owner.Rules {
	rules := owner.Rules{Placement: t.places(of), Balance: of.loads.Ready(now), MaxMoves: math.MaxInt}
	if described := t.described(of); described != nil {
		rules.ChurnWeight = described.ChurnWeight
		if described.MovesPerMinute > 0 {
			rules.MaxMoves = max(0, described.MovesPerMinute-of.movesSince(now.Add(-time.Minute)))
		}
	}
	return rules
}

// described returns the service in the configuration; nil if it is gone.
func (t *tenancy) described(of *service) *routing.Service {
	if config := t.Config(); config != nil {
		return config.Services[of.name]
	}
	return nil
}

// places returns where the service's keys may be held: where all routes to it must be served in
// some regions, only there, since an owner elsewhere could not be asked.
func (t *tenancy) places(of *service) []owner.PlacementRule {
	config := t.Config()
	if config == nil || config.Services[of.name] == nil {
		return nil
	}
	described := config.Services[of.name]
	places := make([]owner.PlacementRule, 0, len(described.Placement))
	for _, one := range described.Placement {
		places = append(places, owner.PlacementRule{Keys: owner.KeyRange{From: one.From, To: one.To}, Zones: one.Zones})
	}
	if regions, bound := config.AllowedRegions(of.name); bound && t.Regions.RegionCount() > 1 {
		return owner.RestrictToZones(places, t.zones(regions))
	}
	return places
}

// zones returns the names of some regions' zones.
func (t *tenancy) zones(regions []topology.Region) []string {
	var names []string
	for _, zone := range t.Regions.Zones(regions) {
		names = append(names, string(zone))
	}
	return names
}

// moved notes a move for balance.
func (s *service) moved(now time.Time) {
	s.movesSince(now.Add(-time.Minute))
	s.moves = append(s.moves, now)
}

// movesSince counts the moves for balance since a time and forgets older ones.
func (s *service) movesSince(since time.Time) int {
	s.moves = slices.DeleteFunc(s.moves, func(at time.Time) bool { return at.Before(since) })
	return len(s.moves)
}
