package router

import (
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/settings"
)

// bundlesView follows the teams' bundles. A team's version never decreases; if a bundle can't be
// verified, the previous version stays in force.
type bundlesView struct {
	r       *Router
	signers registry.Signers
	inForce map[bundle.TeamName]bundle.Bundle
}

func newBundlesView(r *Router) *bundlesView {
	return &bundlesView{r: r, signers: signers(r.settings.Operators), inForce: map[bundle.TeamName]bundle.Bundle{}}
}

// signers returns the operators of the settings, which are already validated.
func signers(operators []settings.Operator) registry.Signers {
	trusted := registry.Signers{}
	for _, operator := range operators {
		key, err := operator.Key()
		if err != nil {
			continue
		}
		trusted[lifecycle.OperatorName(operator.Name)] = registry.Signer{Key: key, Teams: operator.Teams}
	}
	return trusted
}

// Snapshot implements coord.View.
func (v *bundlesView) Snapshot(items []coord.Item, at coord.Revision) {
	v.r.config.noteCovered(at)
	for _, item := range items {
		v.r.config.noteListed(item.Revision, at)
		v.readRecord(item)
	}
	v.use()
}

// ApplyEvents implements coord.View.
func (v *bundlesView) ApplyEvents(events []coord.Event, _ coord.Revision) {
	for _, event := range events {
		v.r.config.noteRead(event.Revision)
		v.readRecord(event.Item)
	}
	v.use()
}

// readRecord reads a team's record. A removed record has no effect: held keys stay where the last
// bundle placed them.
func (v *bundlesView) readRecord(item coord.Item) {
	if len(item.Value) == 0 {
		return
	}
	record, err := registry.Decode(item.Value)
	var used *bundle.Bundle
	if err == nil {
		used, err = record.InForce(v.signers)
	}
	if err != nil {
		v.r.log.Line(decision.KindConfigRefused).Int64("revision", int64(item.Revision)).Err(err).Msg("invalid bundle; the previous configuration stays in force")
		return
	}
	if used != nil && used.Version > v.inForce[used.Team].Version {
		v.inForce[used.Team] = *used
	}
}

// use puts the bundles of all teams into force.
func (v *bundlesView) use() {
	defer v.r.hub.Wake()
	if len(v.inForce) == 0 {
		return
	}
	compiled, err := registry.Compile(slices.Collect(maps.Values(v.inForce)))
	if err != nil {
		v.r.log.Line(decision.KindConfigRefused).Err(err).Msg("invalid bundle; the previous configuration stays in force")
		return
	}
	if !v.r.proxy.Use(compiled.Config) {
		return
	}
	v.r.workers.Replace(compiled.Workers, nil, clock.Now())
	v.r.log.Line(decision.KindConfig).Uint64("version", uint64(compiled.Config.Version)).
		Int("routes", compiled.Config.RouteCount()).Msg("in force")
}

// OnUnreachable implements coord.View.
func (v *bundlesView) OnUnreachable(err error) {
	v.r.log.Line(decision.KindStoreLost).Str("for", "bundles").Err(err).Msg("")
}

// OnReachable implements coord.View.
func (v *bundlesView) OnReachable(time.Time) {
	v.r.log.Line(decision.KindStoreRegained).Str("for", "bundles").Msg("")
}
