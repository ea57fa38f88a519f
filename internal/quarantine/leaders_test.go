package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

// tellAll brings what a leader knows to a follower.
func tellAll(now time.Time, leader, follower *View) []Attempt {
	snapshot, _ := leader.Snapshot(now)
	return follower.HandleUpdate(now, snapshot.Received(now))
}

// report brings what a follower has to tell to a leader.
func report(now time.Time, follower, leader *View) {
	if evidence := follower.CollectEvidence(now); evidence != nil {
		leader.HandleEvidence(now, *evidence)
	}
}

// crashAt returns a crash of a worker.
func crashAt(worker workers.ID, seconds float64) Crash { return Crash{Worker: worker, At: at(seconds)} }

// held returns a view under which a request has crashed three workers.
func heldView() *View {
	v := NewView()
	for index, worker := range []workers.ID{"a", "b", "c"} {
		seconds := 3 * float64(index)
		v.RecordCrash(at(seconds), attempt(1), crashAt(worker, seconds))
	}
	return v
}

// A leader that did not hear of a quarantine took it away from all routers by its list.
func TestALeaderThatDoesNotKnowAQuarantineTakesItFromNobody(t *testing.T) {
	first, follower, second := heldView(), NewView(), NewView()
	assert.Equal(t, len(tellAll(at(7), first, follower)), 1)
	tellAll(at(20), second, follower)
	assert.Equal(t, follower.Standing(attempt(1).run()), Quarantined)
	report(at(21.1), follower, second)
	assert.Equal(t, second.Standing(attempt(1).run()), Quarantined, "the leader is told")
	tellAll(at(21.5), second, follower)
	assert.Assert(t, follower.CollectEvidence(at(30)) == nil, "the leader knows")
}

// Evidence that a leader had confirmed was lost with a leader that had not stored it.
func TestEvidenceOfALostLeaderIsToldTheNext(t *testing.T) {
	first, second, witness := NewView(), NewView(), NewView()
	witness.RecordCrash(at(0), attempt(1), crashAt("a", 0))
	witness.RecordCrash(at(3), attempt(1), crashAt("b", 3))
	report(at(3.2), witness, first)
	tellAll(at(3.4), first, witness)
	assert.Assert(t, witness.CollectEvidence(at(5)) == nil, "confirmed")
	tellAll(at(40), second, witness)
	report(at(40.1), witness, second)
	second.RecordCrash(at(41), attempt(1), crashAt("c", 41))
	assert.Equal(t, second.Standing(attempt(1).run()), Quarantined)
}

// Two crashes that a leader had told of were lost with it and with their witness.
func TestCrashesOfALostLeaderAndWitnessAreToldTheNext(t *testing.T) {
	first, second, follower := NewView(), NewView(), NewView()
	first.RecordCrash(at(0), attempt(1), crashAt("a", 0))
	first.RecordCrash(at(3), attempt(1), crashAt("b", 3))
	tellAll(at(3.4), first, follower)
	tellAll(at(10), second, follower)
	report(at(11.1), follower, second)
	second.RecordCrash(at(12), attempt(1), crashAt("c", 12))
	assert.Equal(t, second.Standing(attempt(1).run()), Quarantined)
}

// Crashes that came together by merging were not judged until a fourth worker had crashed.
func TestMergedCrashesAreJudged(t *testing.T) {
	stored, leader := NewView(), NewView()
	stored.RecordCrash(at(0), attempt(1), crashAt("a", 0))
	stored.RecordCrash(at(3), attempt(1), crashAt("b", 3))
	leader.RecordCrash(at(6), attempt(1), crashAt("c", 6))
	leader.RecordCrash(at(6), attempt(9), crashAt("another", 6))
	records, _ := stored.Records()
	assert.Equal(t, len(leader.Merge(at(7), records)), 1)
	assert.Equal(t, leader.Standing(attempt(1).run()), Quarantined)
}

// liftAt lets an operator lift a request as a leader has stored it.
func liftAt(v *View, seconds float64) {
	snapshot, _ := v.Snapshot(at(seconds - 1))
	lifted, _ := snapshot.Lift(at(seconds), attempt(1).Request)
	v.Merge(at(seconds), lifted.Stored(at(seconds)))
}

func TestWhatWasLiftedOrClearedDoesNotComeBack(t *testing.T) {
	for name, remove := range map[string]func(v *View){
		"lifted":       func(v *View) { liftAt(v, 10) },
		"a run of it":  func(v *View) { v.RecordSuccess(at(10), attempt(1).run()) },
		"lifted twice": func(v *View) { liftAt(v, 9); liftAt(v, 10) },
	} {
		t.Run(name, func(t *testing.T) {
			leader, away, witness := NewView(), NewView(), heldView()
			report(at(7), witness, leader)
			tellAll(at(7.5), leader, away)
			remove(leader)
			report(at(10.1), witness, leader)
			tellAll(at(10.2), leader, witness)
			report(at(11.5), witness, leader)
			assert.Equal(t, leader.Standing(attempt(1).run()), Unsuspected)
			assert.Equal(t, witness.Standing(attempt(1).run()), Unsuspected)

			const later = 3600
			leader.Evaluate(at(later))
			tellAll(at(later), leader, away)
			assert.Equal(t, away.Standing(attempt(1).run()), Unsuspected, "cut off for an hour")
			next := NewView()
			report(at(later+1), away, next)
			report(at(later+1), witness, next)
			assert.Equal(t, next.Standing(attempt(1).run()), Unsuspected, "a leader that knows nothing")
		})
	}
}

// Whatever a book is told twice, or in another order, it comes to the same.
func TestBooksThatMergeAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists [3][]Record
		for index := range lists {
			b := NewTracker()
			for range rapid.IntRange(0, 8).Draw(t, "events") {
				// Events more than the tolerance of ages apart are told apart everywhere.
				now := at(3 * float64(rapid.IntRange(0, 20).Draw(t, "at")))
				one := attempt(rapid.Byte().Draw(t, "request") % 2)
				one.Caller = callerAt(rapid.Byte().Draw(t, "caller") % 2)
				if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
					b.RecordSuccess(now, one.run())
					continue
				}
				worker := workers.ID(rapid.StringMatching("[a-e]").Draw(t, "worker"))
				b.RecordCrash(now, one, Crash{Worker: worker, Born: workers.StartTime(now.Unix()), At: now})
			}
			lists[index] = b.Records()
		}
		forth, back := NewTracker(), NewTracker()
		for index := range lists {
			forth.Merge(at(100), lists[index])
			forth.Merge(at(100), lists[index])
			back.Merge(at(100), lists[len(lists)-1-index])
		}
		for request := range byte(2) {
			for caller := range byte(3) {
				run := CallerRequest{Request: attempt(request).Request, Caller: callerAt(caller)}
				assert.Equal(t, forth.Standing(run), back.Standing(run), "request %d of caller %d", request, caller)
			}
		}
	})
}
