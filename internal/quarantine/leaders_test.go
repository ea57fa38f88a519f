package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

// sendUpdate sends a leader's records to a follower.
func sendUpdate(now time.Time, leader, follower *View) []Attempt {
	snapshot, _ := leader.Snapshot(now)
	return follower.HandleUpdate(now, snapshot.ReceivedRecords(now))
}

// sendReport sends a follower's evidence to a leader.
func sendReport(now time.Time, follower, leader *View) {
	if evidence := follower.CollectEvidence(now); evidence != nil {
		leader.HandleEvidence(now, *evidence)
	}
}

// testCrash returns a crash of a worker.
func testCrash(worker workers.ID, seconds float64) Crash {
	return Crash{Worker: worker, At: at(seconds)}
}

// quarantinedView returns a view of a request that has crashed three workers.
func quarantinedView() *View {
	v := NewView()
	for index, worker := range []workers.ID{"a", "b", "c"} {
		seconds := 3 * float64(index)
		v.RecordCrash(at(seconds), attempt(1), testCrash(worker, seconds))
	}
	return v
}

// Guards against a new leader that does not know a quarantine: its update must not revoke the
// quarantine at the routers.
func TestLeaderWithoutQuarantineDoesNotRevokeIt(t *testing.T) {
	first, follower, second := quarantinedView(), NewView(), NewView()
	assert.Equal(t, len(sendUpdate(at(7), first, follower)), 1)
	sendUpdate(at(20), second, follower)
	assert.Equal(t, follower.Standing(attempt(1).callerRequest()), Quarantined)
	sendReport(at(21.1), follower, second)
	assert.Equal(t, second.Standing(attempt(1).callerRequest()), Quarantined, "the quarantine is reported to the leader")
	sendUpdate(at(21.5), second, follower)
	assert.Assert(t, follower.CollectEvidence(at(30)) == nil, "the leader has confirmed it")
}

// Guards against the loss of evidence that a leader had confirmed but not stored when it failed.
func TestEvidenceIsReportedToNextLeader(t *testing.T) {
	first, second, observer := NewView(), NewView(), NewView()
	observer.RecordCrash(at(0), attempt(1), testCrash("a", 0))
	observer.RecordCrash(at(3), attempt(1), testCrash("b", 3))
	sendReport(at(3.2), observer, first)
	sendUpdate(at(3.4), first, observer)
	assert.Assert(t, observer.CollectEvidence(at(5)) == nil, "confirmed")
	sendUpdate(at(40), second, observer)
	sendReport(at(40.1), observer, second)
	second.RecordCrash(at(41), attempt(1), testCrash("c", 41))
	assert.Equal(t, second.Standing(attempt(1).callerRequest()), Quarantined)
}

// Guards against the loss of two crashes that a leader had observed and published before it failed.
func TestCrashesOfLostLeaderAndObserverAreReportedToNextLeader(t *testing.T) {
	first, second, follower := NewView(), NewView(), NewView()
	first.RecordCrash(at(0), attempt(1), testCrash("a", 0))
	first.RecordCrash(at(3), attempt(1), testCrash("b", 3))
	sendUpdate(at(3.4), first, follower)
	sendUpdate(at(10), second, follower)
	sendReport(at(11.1), follower, second)
	second.RecordCrash(at(12), attempt(1), testCrash("c", 12))
	assert.Equal(t, second.Standing(attempt(1).callerRequest()), Quarantined)
}

// Guards against evaluating merged crashes only at the next crash, of a fourth worker.
func TestMergedCrashesAreEvaluated(t *testing.T) {
	stored, leader := NewView(), NewView()
	stored.RecordCrash(at(0), attempt(1), testCrash("a", 0))
	stored.RecordCrash(at(3), attempt(1), testCrash("b", 3))
	leader.RecordCrash(at(6), attempt(1), testCrash("c", 6))
	leader.RecordCrash(at(6), attempt(9), testCrash("another", 6))
	records, _ := stored.Records()
	assert.Equal(t, len(leader.Merge(at(7), records)), 1)
	assert.Equal(t, leader.Standing(attempt(1).callerRequest()), Quarantined)
}

// liftAt lifts a request as an operator does, in a snapshot that was stored a second before.
func liftAt(v *View, seconds float64) {
	snapshot, _ := v.Snapshot(at(seconds - 1))
	lifted, _ := snapshot.Lift(at(seconds), attempt(1).Request)
	v.Merge(at(seconds), lifted.StoredRecords(at(seconds)))
}

func TestLiftedOrClearedQuarantineDoesNotReturn(t *testing.T) {
	for name, remove := range map[string]func(v *View){
		"lifted":           func(v *View) { liftAt(v, 10) },
		"a successful run": func(v *View) { v.RecordSuccess(at(10), attempt(1).callerRequest()) },
		"lifted twice":     func(v *View) { liftAt(v, 9); liftAt(v, 10) },
	} {
		t.Run(name, func(t *testing.T) {
			leader, isolated, observer := NewView(), NewView(), quarantinedView()
			sendReport(at(7), observer, leader)
			sendUpdate(at(7.5), leader, isolated)
			remove(leader)
			sendReport(at(10.1), observer, leader)
			sendUpdate(at(10.2), leader, observer)
			sendReport(at(11.5), observer, leader)
			assert.Equal(t, leader.Standing(attempt(1).callerRequest()), Unsuspected)
			assert.Equal(t, observer.Standing(attempt(1).callerRequest()), Unsuspected)

			const later = 3600
			leader.Evaluate(at(later))
			sendUpdate(at(later), leader, isolated)
			assert.Equal(t, isolated.Standing(attempt(1).callerRequest()), Unsuspected, "isolated for an hour")
			next := NewView()
			sendReport(at(later+1), isolated, next)
			sendReport(at(later+1), observer, next)
			assert.Equal(t, next.Standing(attempt(1).callerRequest()), Unsuspected, "a new leader without records")
		})
	}
}

// Trackers that merge the same records, in another order or twice, agree.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists [3][]Record
		for index := range lists {
			tracker := NewTracker()
			for range rapid.IntRange(0, 8).Draw(t, "events") {
				// Processes distinguish events that are further apart than maxAgeError.
				now := at(3 * float64(rapid.IntRange(0, 20).Draw(t, "at")))
				one := attempt(rapid.Byte().Draw(t, "request") % 2)
				one.Caller = callerAt(rapid.Byte().Draw(t, "caller") % 2)
				if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
					tracker.RecordSuccess(now, one.callerRequest())
					continue
				}
				worker := workers.ID(rapid.StringMatching("[a-e]").Draw(t, "worker"))
				tracker.RecordCrash(now, one, Crash{Worker: worker, StartTime: workers.StartTime(now.Unix()), At: now})
			}
			lists[index] = tracker.Records()
		}
		forward, reverse := NewTracker(), NewTracker()
		for index := range lists {
			forward.Merge(at(100), lists[index])
			forward.Merge(at(100), lists[index])
			reverse.Merge(at(100), lists[len(lists)-1-index])
		}
		for request := range byte(2) {
			for caller := range byte(3) {
				run := CallerRequest{Request: attempt(request).Request, Caller: callerAt(caller)}
				assert.Equal(t, forward.Standing(run), reverse.Standing(run), "request %d of caller %d", request, caller)
			}
		}
	})
}
