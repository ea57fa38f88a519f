package controller

import (
	"sync"

	"github.com/shalefork/shalefork/internal/cellstate"
)

// tableHub holds the youngest table and wakes the streams that wait for it. A
// stream computes its own delta from what it sent last, so a slow one skips
// tables and never makes others wait.
type tableHub struct {
	mu      sync.Mutex
	view    cellstate.TableView
	changed chan struct{}
}

func newTableHub() *tableHub {
	return &tableHub{changed: make(chan struct{})}
}

// publish replaces the table if the state is younger. A member whose applied
// state falls behind a table already shown, as after a restart, shows nothing
// older.
func (h *tableHub) publish(state cellstate.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !state.Version().Newer(h.view.State.Version()) {
		return
	}
	h.view = cellstate.TableView{State: state}
	close(h.changed)
	h.changed = make(chan struct{})
}

// latest returns the youngest table, and a channel that is closed when a
// younger one comes.
func (h *tableHub) latest() (cellstate.TableView, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}
