package demo

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/operator"
	"github.com/shalefork/shalefork/internal/wire"
)

// churnPoll is how often the assignments are looked at. One that lasts less
// may be missed.
const churnPoll = 200 * time.Millisecond

// ownership is one assignment of a slice, told from the others by its fence.
type ownership struct {
	slice keyspace.Slice
	fence wire.Fence
}

// churnWatch counts the assignments of a team's keyed slices.
type churnWatch struct {
	client *operator.Client
	team   bundle.TeamName

	mu    sync.Mutex
	seen  map[ownership]bool
	first int
	// slices is how many there were at the last look.
	slices int
}

func newChurnWatch(client *operator.Client, team bundle.TeamName) *churnWatch {
	return &churnWatch{client: client, team: team, seen: map[ownership]bool{}}
}

// run looks until ctx ends.
func (w *churnWatch) run(ctx context.Context) {
	ticker := time.NewTicker(churnPoll)
	defer ticker.Stop()
	for {
		if status, err := w.client.Status(ctx); err == nil {
			w.add(status)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *churnWatch) add(status adminapi.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slices = 0
	for _, assignment := range status.State.Assignments {
		own := strings.HasPrefix(string(assignment.Slice.Service), string(w.team)+"/")
		if !own || assignment.Shared {
			continue
		}
		w.slices++
		if assignment.Owner != "" {
			w.seen[ownership{assignment.Slice, assignment.Fence}] = true
		}
	}
	if w.first == 0 {
		w.first = len(w.seen)
	}
}

// moves returns how many assignments there were after the first look, and of
// how many slices.
func (w *churnWatch) moves() (moves, slices int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen) - w.first, w.slices
}
