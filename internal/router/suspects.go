package router

import (
	"context"
	"errors"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/proxy"
	"github.com/shalefork/shalefork/internal/quarantine"
)

// Times of keeping the list of suspected requests.
const (
	// suspectsTickInterval is the pause between looks at what time brings.
	suspectsTickInterval = 500 * time.Millisecond
	// suspectsWritePause is the least pause between writes: crashes come seconds apart, and one
	// brings reports from many routers within half a second.
	suspectsWritePause = 200 * time.Millisecond
	// operatorPollInterval is the pause between looks whether an operator has changed the stored list.
	// Each is a priced call.
	operatorPollInterval = 10 * time.Second
	// suspectsTimeout bounds one call: one that was lost unseen is tried again while a process
	// that starts can still wait.
	suspectsTimeout = 700 * time.Millisecond
	// suspectsStartTimeout is after how long a process that starts serves although it does not know
	// the list: nobody answers it. The users' platform gives it 3 s to know.
	suspectsStartTimeout = 2 * time.Second
)

// suspectsKeeper keeps the stored list while its process leads: all evidence comes here, and
// from here all processes are told. What is quarantined outlasts leaders and restarts of all.
type suspectsKeeper struct {
	r      *Router
	tenure *election.Tenure
	// revision of the stored list, zero if there is none, and version of what was stored and
	// told last.
	revision                   coord.Revision
	storedVersion, sentVersion uint64
	// begun says that all processes were told once.
	announced bool
	checkedAt time.Time
}

// keepSuspects keeps the list until ctx ends.
func (r *Router) keepSuspects(ctx context.Context, tenure *election.Tenure) {
	k := &suspectsKeeper{r: r, tenure: tenure}
	if !k.load(ctx) {
		return
	}
	ticker := time.NewTicker(suspectsTickInterval)
	defer ticker.Stop()
	for {
		k.broadcast()
		k.store(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.settle(clock.Now())
		case <-r.proxy.Suspects.Changed():
		}
		if clock.Since(k.checkedAt) >= operatorPollInterval {
			k.reload(ctx)
		}
	}
}

// load adds what earlier leaders have stored; false if ctx ended before.
func (k *suspectsKeeper) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		item, found, err := k.r.getSuspects(ctx)
		if err != nil {
			clock.Sleep(ctx, retryPause)
			continue
		}
		k.revision, k.checkedAt = item.Revision, clock.Now()
		if found {
			k.mergeItem(item)
		}
		return true
	}
	return false
}

// take adds a stored list to what is known. What an operator has lifted is lifted here too.
func (k *suspectsKeeper) mergeItem(item coord.Item) {
	for _, request := range k.r.mergeStored(item) {
		k.r.log.Line(decision.KindQuarantined).Str("fingerprint", request.String()).Bool("lifted", true).
			Int64("revision", int64(item.Revision)).Msg("by an operator")
	}
}

// getSuspects reads what is stored.
func (r *Router) getSuspects(ctx context.Context) (coord.Item, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	return r.adapter.Store.Get(bounded, quarantine.StoreKey(KeyPrefix))
}

// readSnapshot reads a stored list; false, with a log line, if it can't be read.
func (r *Router) decodeSuspects(item coord.Item) (quarantine.Snapshot, bool) {
	snapshot, err := quarantine.DecodeSnapshot(item.Value)
	if err != nil {
		r.log.Line(decision.KindQuarantined).Int64("revision", int64(item.Revision)).Err(err).Msg("the stored list can't be read")
	}
	return snapshot, err == nil
}

// settle does what time brings.
func (k *suspectsKeeper) settle(now time.Time) {
	for _, record := range k.r.proxy.Suspects.Evaluate(now) {
		proxy.TellQuarantined(k.r.log, record.Attempt)
	}
}

// tell tells all processes what has changed. The first message, which may be of nothing, says
// that this leader knows what is stored. Telling the same twice a second cost half as much
// processor time again as all else on a quiet day: 6.3 s in place of 4.2 s of 11 routers.
func (k *suspectsKeeper) broadcast() {
	records, version := k.r.proxy.Suspects.Records()
	if k.announced && version == k.sentVersion {
		return
	}
	k.announced, k.sentVersion = true, version
	k.r.hub.PublishSuspects(records)
}

// store writes the list if it has changed. A write without an answer is tried again at the next
// tick, and may then find its own one done.
func (k *suspectsKeeper) store(ctx context.Context) {
	snapshot, version := k.r.proxy.Suspects.Snapshot(clock.Now())
	if version == k.storedVersion || (k.revision == 0 && len(snapshot.Records) == 0) {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	revision, err := k.r.adapter.Store.Commit(bounded, coord.Txn{
		Conditions: []coord.Condition{
			{Key: k.r.election.LeaderKey(), Revision: k.tenure.Leader.Revision},
			{Key: quarantine.StoreKey(KeyPrefix), Revision: k.revision},
		},
		Puts: []coord.Put{{Key: quarantine.StoreKey(KeyPrefix), Value: snapshot.Encode()}},
	})
	switch {
	case err == nil:
		k.revision, k.storedVersion = revision, version
	case errors.Is(err, coord.ErrConflict):
		k.reload(ctx)
	}
	clock.Sleep(ctx, suspectsWritePause)
}

// look takes what an operator has stored. The list that an earlier write of this process has
// left, unseen, adds nothing.
func (k *suspectsKeeper) reload(ctx context.Context) {
	k.checkedAt = clock.Now()
	item, found, err := k.r.getSuspects(ctx)
	if err != nil || !found || item.Revision == k.revision {
		return
	}
	k.revision = item.Revision
	k.mergeItem(item)
}

// readSuspects takes the list from where it is stored, for a process that has just started,
// unless a leader tells it first. Until then requests are refused: one that crashes workers was
// sent within 50 ms of a start, before the list was known.
func (r *Router) loadSuspects(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, suspectsStartTimeout)
	defer cancel()
	if r.awaitUpdate(bounded, func() bool { return !r.proxy.Starting.Load() }) {
		return
	}
	for bounded.Err() == nil && r.proxy.Starting.Load() {
		item, found, err := r.getSuspects(bounded)
		if err != nil {
			clock.Sleep(bounded, retryPause)
			continue
		}
		if found {
			r.mergeStored(item)
		}
		r.proxy.Starting.Store(false)
	}
	if r.proxy.Starting.Swap(false) {
		r.log.Line(decision.KindStoreLost).Str("for", "quarantined requests").Msg("nobody tells them; requests are served")
	}
}

// mergeStored adds a stored list to what is known. It returns what an operator has lifted with that.
func (r *Router) mergeStored(item coord.Item) []quarantine.Fingerprint {
	snapshot, ok := r.decodeSuspects(item)
	if !ok {
		return nil
	}
	now := clock.Now()
	records := snapshot.Stored(now)
	lifted := r.proxy.Suspects.NewlyLifted(records)
	r.logQuarantined(r.proxy.Suspects.Merge(now, records))
	return lifted
}

// tellQuarantined logs which requests are sent no longer.
func (r *Router) logQuarantined(attempts []quarantine.Attempt) {
	for _, attempt := range attempts {
		proxy.TellQuarantined(r.log, attempt)
	}
}

// suspectsTold takes what a leader knows, and lets a relay pass it on.
func (r *Router) handleSuspects(update peerlink.Update) {
	changes, present, err := update.DecodeSuspects()
	if err != nil {
		r.log.Line(decision.KindQuarantined).Err(err).Msg("what the leader tells can't be read")
	}
	if !present {
		return
	}
	r.logQuarantined(r.proxy.Suspects.HandleUpdate(clock.Now(), r.hub.ApplySuspects(changes)))
	r.proxy.Starting.Store(false)
}

// evidenceTaken takes what another process has seen of crashes.
func (r *Router) handleEvidence(evidence quarantine.Evidence) {
	r.logQuarantined(r.proxy.Suspects.HandleEvidence(clock.Now(), evidence))
}
