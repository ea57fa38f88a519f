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

// Timing of the list of suspected requests.
const (
	// suspectsTickInterval is how often time-dependent state is updated.
	suspectsTickInterval = 500 * time.Millisecond
	// suspectsWritePause is the minimum pause between writes: crashes are seconds apart, and one
	// crash brings reports from many routers within half a second.
	suspectsWritePause = 200 * time.Millisecond
	// operatorPollInterval is how often the stored list is checked for changes by an operator. Each
	// check is a priced call.
	operatorPollInterval = 10 * time.Second
	// suspectsTimeout bounds one call, so that a lost call is retried while a starting process can
	// still wait.
	suspectsTimeout = 700 * time.Millisecond
	// suspectsStartTimeout is when a starting process serves requests without the list, since
	// neither a leader nor the store sends it. The users' platform allows 3 s to obtain it.
	suspectsStartTimeout = 2 * time.Second
)

// suspectsKeeper maintains the stored list while its process leads. It receives all evidence and
// sends the list to all processes. Quarantined requests stay so across leaders and restarts of the
// whole system.
type suspectsKeeper struct {
	r      *Router
	tenure *election.Tenure
	// revision is that of the stored list, zero if there is none. storedVersion and sentVersion are
	// the versions that were last stored and sent.
	revision                   coord.Revision
	storedVersion, sentVersion uint64
	// announced is set once the list was sent to all processes.
	announced bool
	checkedAt time.Time
}

// keepSuspects maintains the list until ctx ends.
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

// load merges the list that earlier leaders have stored. It retries until it succeeds, and returns
// false if ctx ended first.
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

// mergeItem merges a stored list. Requests that an operator has lifted are lifted here too.
func (k *suspectsKeeper) mergeItem(item coord.Item) {
	for _, request := range k.r.mergeStored(item) {
		k.r.log.Line(decision.KindRequestQuarantined).Str("fingerprint", request.String()).Bool("lifted", true).
			Int64("revision", int64(item.Revision)).Msg("lifted by an operator")
	}
}

// getSuspects reads the stored list.
func (r *Router) getSuspects(ctx context.Context) (coord.Item, bool, error) {
	bounded, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	return r.adapter.Store.Get(bounded, quarantine.StoreKey(KeyPrefix))
}

// decodeSuspects decodes a stored list; it logs an error and returns false if the list is invalid.
func (r *Router) decodeSuspects(item coord.Item) (quarantine.Snapshot, bool) {
	snapshot, err := quarantine.DecodeSnapshot(item.Value)
	if err != nil {
		r.log.Line(decision.KindRequestQuarantined).Int64("revision", int64(item.Revision)).Err(err).Msg("invalid stored list of suspected requests; ignoring it")
	}
	return snapshot, err == nil
}

// settle does the time-dependent work on the list, and logs the requests that it quarantines.
func (k *suspectsKeeper) settle(now time.Time) {
	for _, record := range k.r.proxy.Suspects.Evaluate(now) {
		proxy.LogQuarantined(k.r.log, record.Attempt)
	}
}

// broadcast sends changes to all processes. The first message, which may be empty, indicates that
// this leader has read the stored list. Sending an unchanged list twice a second raised the CPU
// time of 11 routers on a quiet day by half, from 4.2 s to 6.3 s.
func (k *suspectsKeeper) broadcast() {
	records, version := k.r.proxy.Suspects.Records()
	if k.announced && version == k.sentVersion {
		return
	}
	k.announced, k.sentVersion = true, version
	k.r.hub.PublishSuspects(records)
}

// store writes the list if it has changed. A write without an answer is retried at the next tick,
// which may then find the earlier write applied.
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

// reload merges what an operator has stored. A list left by an earlier, unacknowledged write of
// this process adds nothing.
func (k *suspectsKeeper) reload(ctx context.Context) {
	k.checkedAt = clock.Now()
	item, found, err := k.r.getSuspects(ctx)
	if err != nil || !found || item.Revision == k.revision {
		return
	}
	k.revision = item.Revision
	k.mergeItem(item)
}

// loadSuspects reads the stored list for a starting process, unless a leader sends it first.
// Requests are refused until then: a request that crashes workers was once forwarded within 50 ms
// of a start, before the list was known.
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
		r.log.Line(decision.KindStoreLost).Str("for", "quarantined requests").Msg("list not received from a leader or the store; serving requests without it")
	}
}

// mergeStored merges a stored list, and returns the requests that an operator has lifted by it.
func (r *Router) mergeStored(item coord.Item) []quarantine.Fingerprint {
	snapshot, ok := r.decodeSuspects(item)
	if !ok {
		return nil
	}
	now := clock.Now()
	records := snapshot.StoredRecords(now)
	lifted := r.proxy.Suspects.NewlyLifted(records)
	r.logQuarantined(r.proxy.Suspects.Merge(now, records))
	return lifted
}

// logQuarantined logs requests that are no longer forwarded.
func (r *Router) logQuarantined(attempts []quarantine.Attempt) {
	for _, attempt := range attempts {
		proxy.LogQuarantined(r.log, attempt)
	}
}

// handleSuspects applies the list in a leader's update, and relays it.
func (r *Router) handleSuspects(update peerlink.Update) {
	changes, present, err := update.DecodeSuspects()
	if err != nil {
		r.log.Line(decision.KindRequestQuarantined).Err(err).Msg("invalid list of suspected requests from the leader; ignoring it")
	}
	if !present {
		return
	}
	r.logQuarantined(r.proxy.Suspects.HandleUpdate(clock.Now(), r.hub.ApplySuspects(changes)))
	r.proxy.Starting.Store(false)
}

// handleEvidence applies evidence of crashes from another process.
func (r *Router) handleEvidence(evidence quarantine.Evidence) {
	r.logQuarantined(r.proxy.Suspects.HandleEvidence(clock.Now(), evidence))
}
