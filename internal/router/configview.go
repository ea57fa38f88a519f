package router

import (
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// configView follows the operators' configuration.
type configView struct {
	r *Router
}

// Snapshot implements coord.View.
func (v *configView) Snapshot(items []coord.Item, at coord.Revision) {
	v.r.config.cover(at)
	for _, item := range items {
		v.r.config.read(item.Revision)
	}
	v.tell(items)
	v.read(items, at)
}

// Changed implements coord.View.
func (v *configView) Changed(events []coord.Event, at coord.Revision) {
	var items []coord.Item
	for index := len(events) - 1; index >= 0; index-- { // the newest first
		v.r.config.read(events[index].Revision)
		if !events[index].Deleted {
			items = append(items, events[index].Item)
		}
	}
	v.tell(items)
	v.read(items, at)
}

// tell lets the leader pass on what was read.
func (v *configView) tell(items []coord.Item) {
	newest := coord.Revision(0)
	for _, item := range items {
		newest = max(newest, item.Revision)
	}
	if newest > 0 {
		v.r.hub.ConfigRead(items, newest)
	}
}

// configTold takes what the leader has read of the configuration.
func (r *Router) configTold(news peerlink.ConfigNews) {
	items, err := news.Items()
	if err != nil {
		r.log.Line(decision.KindConfigBad).Int64("revision", int64(news.Revision)).Err(err).Msg("told by the leader")
		r.config.again()
		return
	}
	r.config.read(news.Revision)
	view := &configView{r: r}
	view.tell(items)
	view.read(items, news.Revision)
}

func (v *configView) read(items []coord.Item, at coord.Revision) {
	defer v.r.hub.Wake()
	config, err := v.r.adapter.ReadConfig(items)
	if err != nil {
		v.r.log.Line(decision.KindConfigBad).Int64("revision", int64(at)).Err(err).Msg("the one before stays in force")
		return
	}
	if config == nil || !v.r.proxy.Use(config) {
		return
	}
	v.r.log.Line(decision.KindConfig).Uint64("version", uint64(config.Version)).Int("routes", config.Routes()).
		Int64("revision", int64(at)).Msg("in force")
}

// Lost implements coord.View.
func (v *configView) Lost(err error) {
	v.r.log.Line(decision.KindStoreLost).Str("for", "configuration").Err(err).Msg("")
}

// Regained implements coord.View.
func (v *configView) Regained() {
	v.r.log.Line(decision.KindStoreBack).Str("for", "configuration").Msg("")
}
