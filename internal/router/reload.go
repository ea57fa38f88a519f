package router

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/proxy"
	"github.com/shalefork/shalefork/internal/settings"
)

// reloadInterval is how often the settings file is checked for changes that come without a signal.
const reloadInterval = 3 * time.Second

// FollowSettings re-reads the settings file after each signal, and periodically, until ctx ends.
// Settings that can change without a restart take effect; an invalid file has no effect.
func (r *Router) FollowSettings(ctx context.Context, file string, read []byte, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			r.log.Line(decision.KindReload).Err(err).Msg("cannot read the settings file; the previous settings stay in force")
			continue
		}
		if signaled || !bytes.Equal(data, read) {
			r.reload(file, data, !bytes.Equal(data, read))
		}
		read = data
	}
}

// reload applies new settings as far as possible without a restart.
func (r *Router) reload(file string, data []byte, changed bool) {
	fresh, err := settings.ReadRouter(file, data, nil)
	if err != nil {
		r.log.Line(decision.KindReload).Err(err).Msg("invalid settings; the previous settings stay in force")
		return
	}
	if fresh.Store != r.settings.Store {
		r.adapter.SetStoreAddress(fresh.Store)
		r.store.minLatency.Store(0) // the new address may be at another distance
	}
	r.proxy.SetLimits(retryLimits(fresh))
	applied := r.settings
	applied.Store, applied.Retry = fresh.Store, fresh.Retry
	restart := !reflect.DeepEqual(applied, fresh)
	r.settings.Store, r.settings.Retry = fresh.Store, fresh.Retry
	r.log.Line(decision.KindReload).Bool("changed", changed).Bool("rest_needs_restart", restart).Msg("")
}

func retryLimits(from settings.Router) proxy.BudgetLimits {
	return proxy.BudgetLimits{Ratio: from.Retry.Ratio, Slack: from.Retry.Slack, Window: from.Retry.Window.Std()}
}
