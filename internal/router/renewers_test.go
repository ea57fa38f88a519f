package router

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/grantlog"
	"github.com/shalefork/shalefork/internal/lab/loopback"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/workers"
)

// servePastRenewer starts a process that has sent a grant to worker "w" at the given age.
func servePastRenewer(t *testing.T, process string, age time.Duration) string {
	hub := peerlink.NewHub(process, nil, func() peerlink.ReadState { return peerlink.ReadState{} })
	hub.GrantAges = func(time.Time, []workers.ID) map[workers.ID]time.Duration {
		return map[workers.ID]time.Duration{"w": age}
	}
	listener, err := net.Listen("tcp", loopback.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go hub.Serve(listener)
	return listener.Addr().String()
}

// Guards against a fault: a new leader waited for the longest time for which earlier ones could have
// renewed a hold, 9.2 s if one of them did not answer at once, and each election started this wait
// anew. After three elections in a row, the keys of crashed workers were not served for 20 s.
func TestHoldsOfPastRenewersEndWithTheirLastGrant(t *testing.T) {
	times := owner.DefaultConfig(10 * time.Second)
	silent := loopback.Address().String()
	start := clock.Now()
	for name, test := range map[string]struct {
		list []election.Renewer
		// knownTerm and knownFor are what an earlier leader has reported of the holds before its term.
		knownTerm owner.Term
		knownFor  time.Duration
		// worker is asked for, and the last term whose leader may have granted it the keys: zero if that is
		// the term before the asking leader's. ends is how long its holds last at most.
		worker workers.ID
		term   owner.Term
		ends   time.Duration
		// replaced means that the process that answers began after start, when the renewer had ended.
		replaced bool
	}{
		"no one is known": {worker: "w", ends: times.RenewalGrace + times.MaxHold()},
		"a recent grant": {
			list: []election.Renewer{{Address: servePastRenewer(t, "a", time.Second), Process: "a", Term: 1}}, worker: "w",
			ends: owner.MaxGrantDuration + times.MaxHold() - time.Second,
		},
		"an old grant": {
			list: []election.Renewer{{Address: servePastRenewer(t, "a", 10*time.Second), Process: "a", Term: 1}}, worker: "w",
			ends: owner.MaxGrantDuration + times.MaxHold() - 10*time.Second,
		},
		"an incomplete list": {
			list: []election.Renewer{{Address: servePastRenewer(t, "a", 10*time.Second), Process: "a"}}, worker: "w",
			ends: owner.MaxGrantDuration + times.MaxHold(),
		},
		"another process answers": {
			list: []election.Renewer{{Address: servePastRenewer(t, "later", 10*time.Second), Process: "a", Term: 1}}, worker: "w",
			ends: owner.MaxGrantDuration + times.MaxHold(), replaced: true,
		},
		"one does not answer": {
			list: []election.Renewer{
				{Address: servePastRenewer(t, "a", 10*time.Second), Process: "a", Term: 1}, {Address: silent, Process: "b", Term: 1},
			},
			worker: "w", ends: times.RenewalGrace + times.MaxHold(),
		},
		"one does not answer, an earlier leader knew its end": {
			list:      []election.Renewer{{Address: silent, Process: "b", Term: 1}},
			knownTerm: 2, knownFor: 2 * time.Second, worker: "w", ends: 2 * time.Second,
		},
		"one does not answer that has only renewed holds of later terms": {
			list: []election.Renewer{
				{Address: servePastRenewer(t, "a", time.Second), Process: "a", Term: 3, Since: 1}, {Address: silent, Process: "b", Term: 3, Since: 2},
			},
			worker: "w", term: 1, ends: owner.MaxGrantDuration + times.MaxHold() - time.Second,
		},
		"one does not answer that has renewed holds of that term too": {
			list: []election.Renewer{{Address: silent, Process: "b", Term: 3, Since: 2}}, worker: "w", term: 2, ends: times.RenewalGrace + times.MaxHold(),
		},
		"one does not answer of a list without first terms": {
			list: []election.Renewer{{Address: silent, Process: "b", Term: 3}}, worker: "w", term: 1, ends: times.RenewalGrace + times.MaxHold(),
		},
		"one does not answer, but an earlier leader knew the end of the worker's holds": {
			list:      []election.Renewer{{Address: silent, Process: "b", Term: 3, Since: 1}},
			knownTerm: 2, knownFor: 2 * time.Second, worker: "w", term: 1, ends: 2 * time.Second,
		},
		"one does not answer that a later leader had appointed": {
			list:      []election.Renewer{{Address: silent, Process: "b", Term: 2}},
			knownTerm: 2, knownFor: 2 * time.Second, worker: "w", ends: times.RenewalGrace + times.MaxHold(),
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Now()
			past := &pastRenewers{
				list: test.list, term: 4, times: times, process: "self", grants: grantlog.New(nil),
				expiry: now.Add(times.RenewalGrace + times.MaxHold()), stoppedAt: map[string]time.Time{},
			}
			if test.knownTerm > 0 {
				past.learnEnds([]owner.HoldEnd{{Term: test.knownTerm, At: now.Add(test.knownFor)}})
			}
			hold := owner.InheritedHold{Worker: test.worker, Term: test.term}
			if hold.Term == 0 {
				hold.Term = past.term - 1
			}
			ends := past.holdEnds(context.Background(), []owner.InheritedHold{hold})
			late := clock.Since(now)
			got, earliest := ends[hold].Sub(now), test.ends
			if test.replaced {
				earliest -= now.Sub(start)
			}
			assert.Assert(t, got >= earliest && got <= test.ends+late, "%v, expected %v", got, test.ends)
		})
	}
}
