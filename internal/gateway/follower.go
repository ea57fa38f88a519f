package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// tableSilence is how long a table stream may be silent before the next
	// controller is asked. Controllers send heartbeats.
	tableSilence = 2 * time.Second
	// firstTablePause and lastTablePause bound the pause after all controllers
	// failed; it doubles from round to round.
	firstTablePause = 100 * time.Millisecond
	lastTablePause  = 2 * time.Second
)

// Query parameters of the table stream.
const (
	queryCell       = "cell"
	queryGeneration = "generation"
	queryVersion    = "version"
)

// follow keeps the table up to date until ctx ends. It takes the stream of the
// first controller that answers and turns to the next as soon as that fails.
func (g *Gateway) follow(ctx context.Context) error {
	from := wire.TableVersion{}
	pause := firstTablePause
	for ctx.Err() == nil {
		before := g.tables.view.Load().table.Version()
		for _, address := range g.settings.Controllers {
			misfit := g.followOne(ctx, address, from)
			from = g.tables.view.Load().table.Version()
			if misfit {
				from = wire.TableVersion{} // ask for a snapshot
			}
		}
		pause = min(2*pause, lastTablePause)
		if from.Newer(before) {
			pause = firstTablePause
		}
		clock.Sleep(ctx, pause)
	}
	return nil
}

// followOne takes one controller's stream until it fails. It reports whether a
// delta did not fit, so that a snapshot is needed.
func (g *Gateway) followOne(ctx context.Context, address string, from wire.TableVersion) bool {
	streaming, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(tableSilence, cancel)
	defer watchdog.Stop()
	response, err := g.openTable(streaming, address, from)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	g.metrics.TableStreams.Inc()
	g.logger.Info().Str("controller", address).Msg("following table")
	err = g.readTable(response, watchdog)
	g.logger.Info().Str("controller", address).Err(err).Msg("table stream ended")
	return errors.Is(err, errNeedsWhole)
}

func (g *Gateway) openTable(ctx context.Context, address string, from wire.TableVersion) (*http.Response, error) {
	query := url.Values{}
	query.Set(queryCell, string(g.settings.Cell))
	query.Set(queryGeneration, strconv.FormatUint(uint64(from.Generation), 10))
	query.Set(queryVersion, strconv.FormatUint(from.Index, 10))
	target := "http://" + address + wire.PathTable + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := g.peers.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, Error.New("controller %s answered %d", address, response.StatusCode)
	}
	return response, nil
}

// readTable applies each line. Every line, a heartbeat too, winds the watchdog up.
func (g *Gateway) readTable(response *http.Response, watchdog *time.Timer) error {
	lines := wire.NewLineReader(response.Body)
	for {
		var update wire.TableUpdate
		if err := lines.Read(&update); err != nil {
			return err
		}
		watchdog.Reset(tableSilence)
		if err := g.take(update); err != nil {
			return err
		}
	}
}

// take applies an update to the table, the services and the back ends.
func (g *Gateway) take(update wire.TableUpdate) error {
	if update.Heartbeat {
		g.heard()
		return nil
	}
	if err := g.tables.apply(update, g.backends.update); err != nil {
		g.metrics.TableRejects.WithLabelValues(err.Error()).Inc()
		return err
	}
	g.heard()
	g.metrics.TableUpdates.Inc()
	g.services.update(g.tables.view.Load())
	return nil
}

// heard notes that a controller is alive and not behind this gateway.
func (g *Gateway) heard() {
	g.lastHeard.Store(int64(g.clock.Now().Upper))
}

// isStale reports whether no controller was heard for longer than the settings
// allow; never if they set no limit.
func (g *Gateway) isStale() bool {
	limit := g.settings.StaleAfter.Std()
	if limit == 0 {
		return false
	}
	return g.clock.Now().Upper-time.Duration(g.lastHeard.Load()) > limit
}
