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

// reloadInterval is the pause between looks at the settings file, which may change
// without a signal.
const reloadInterval = 3 * time.Second

// FollowSettings reads the settings file again after each signal, and now and
// then, until ctx ends. What can change without a restart takes effect; a file
// that can't be used changes nothing.
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
			r.log.Line(decision.KindReload).Err(err).Msg("the settings before stay in force")
			continue
		}
		if signaled || !bytes.Equal(data, read) {
			r.reload(file, data, !bytes.Equal(data, read))
		}
		read = data
	}
}

// reload puts new settings into force as far as that goes.
func (r *Router) reload(file string, data []byte, changed bool) {
	fresh, err := settings.ReadRouter(file, data, nil)
	if err != nil {
		r.log.Line(decision.KindReload).Err(err).Msg("the settings before stay in force")
		return
	}
	if fresh.Store != r.settings.Store {
		r.adapter.SetStoreAddress(fresh.Store)
		r.store.minLatency.Store(0) // the other one may stand elsewhere
	}
	r.proxy.SetLimits(retryLimits(fresh))
	mutableOnly := r.settings
	mutableOnly.Store, mutableOnly.Retry = fresh.Store, fresh.Retry
	restart := !reflect.DeepEqual(mutableOnly, fresh)
	r.settings.Store, r.settings.Retry = fresh.Store, fresh.Retry
	r.log.Line(decision.KindReload).Bool("changed", changed).Bool("rest_needs_restart", restart).Msg("")
}

func retryLimits(from settings.Router) proxy.BudgetLimits {
	return proxy.BudgetLimits{Ratio: from.Retry.Ratio, Slack: from.Retry.Slack, Window: from.Retry.Window.Std()}
}
