package quarantine

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

var start = time.Unix(1_000_000, 0)

// at returns a time of a test, in seconds.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// step is one event of a test: a crash of a worker with requests under way, or a run that
// ended well.
type step struct {
	at       float64
	worker   workers.ID
	requests []byte
	finished byte
}

func play(b *Tracker, steps []step) {
	for _, one := range steps {
		for _, request := range one.requests {
			b.RecordCrash(at(one.at), attempt(request), Crash{Worker: one.worker, At: at(one.at)})
		}
		if one.finished != 0 {
			b.RecordSuccess(at(one.at), attempt(one.finished).run())
		}
	}
}

func TestBookTellsTheGuiltyFromTheRest(t *testing.T) {
	tests := map[string]struct {
		steps []step
		now   float64
		want  map[byte]Standing
	}{
		"nothing":   {now: 1, want: map[byte]Standing{1: Unsuspected}},
		"one crash": {steps: []step{{at: 0, worker: "a", requests: []byte{1, 2}}}, now: 2, want: map[byte]Standing{1: Suspect, 2: Suspect, 3: Unsuspected}},
		"three crashes, others there once": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1, 2}}, {at: 3, worker: "b", requests: []byte{1, 3}},
				{at: 6, worker: "c", requests: []byte{1, 4}},
			},
			now: 6, want: map[byte]Standing{1: Quarantined, 2: Suspect, 3: Suspect, 4: Suspect},
		},
		"a good run in between": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 4, finished: 1}, {at: 6, worker: "c", requests: []byte{1}},
			},
			now: 6, want: map[byte]Standing{1: Suspect},
		},
		"a good run of one that was quarantined": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 6, worker: "c", requests: []byte{1}}, {at: 6.1, finished: 1},
			},
			now: 7, want: map[byte]Standing{1: Unsuspected},
		},
		"one worker, reported thrice": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 2, worker: "a", requests: []byte{1}},
				{at: 4, worker: "a", requests: []byte{1}},
			},
			now: 9, want: map[byte]Standing{1: Suspect},
		},
		"a rack that ends, with a question that many ask": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0.1, worker: "b", requests: []byte{1}},
				{at: 0.2, worker: "c", requests: []byte{1}}, {at: 0.2, worker: "d", requests: []byte{2}},
			},
			now: 5, want: map[byte]Standing{1: Suspect},
		},
		"sent at once, and nothing else ends": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0.1, worker: "b", requests: []byte{1, 2}},
				{at: 0.2, worker: "c", requests: []byte{1}},
			},
			now: 1.3, want: map[byte]Standing{1: Quarantined, 2: Suspect},
		},
		"a series with less than a moment between two crashes, beside others": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0.6, worker: "b", requests: []byte{1, 2}},
				{at: 0.7, worker: "x", requests: []byte{3}}, {at: 1.2, worker: "c", requests: []byte{1}},
			},
			now: 1.2, want: map[byte]Standing{1: Quarantined, 2: Suspect, 3: Suspect},
		},
		"two at once, one later": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0, worker: "b", requests: []byte{1}},
				{at: 3, worker: "c", requests: []byte{1}},
			},
			now: 3, want: map[byte]Standing{1: Quarantined},
		},
		"a crash is forgotten": {
			steps: []step{{at: 0, worker: "a", requests: []byte{1}}},
			now:   suspectMemory.Seconds(), want: map[byte]Standing{1: Unsuspected},
		},
		"quarantine lasts": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 6, worker: "c", requests: []byte{1}},
			},
			now: holdTime.Seconds(), want: map[byte]Standing{1: Quarantined},
		},
		"and ends": {
			steps: []step{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 6, worker: "c", requests: []byte{1}},
			},
			now: holdTime.Seconds() + 6, want: map[byte]Standing{1: Unsuspected},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewTracker()
			play(b, test.steps)
			b.Evaluate(at(test.now))
			for request, want := range test.want {
				assert.Equal(t, b.Standing(attempt(request).run()), want, "request %d", request)
			}
		})
	}
}

// callerAt returns one of several callers.
func callerAt(number byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, number}) }

// callerStep is a crash of a worker with the request of a caller under way, or a run of it that
// ended well.
type callerStep struct {
	at       float64
	worker   workers.ID
	caller   byte
	finished bool
}

func TestBookAddsUpCallersUntilARunOfAnotherEndsWell(t *testing.T) {
	for name, test := range map[string]struct {
		steps []callerStep
		want  map[byte]Standing
	}{
		"three callers": {
			steps: []callerStep{{at: 0, worker: "a", caller: 1}, {at: 3, worker: "b", caller: 2}, {at: 6, worker: "c", caller: 3}},
			want:  map[byte]Standing{1: Quarantined, 2: Quarantined, 9: Quarantined},
		},
		"three callers, one worker": {
			steps: []callerStep{{at: 0, worker: "a", caller: 1}, {at: 1.5, worker: "a", caller: 2}, {at: 3, worker: "a", caller: 3}},
			want:  map[byte]Standing{1: Suspect, 9: Suspect},
		},
		"one caller's run ends well": {
			steps: []callerStep{
				{at: 0, worker: "a", caller: 1}, {at: 3, worker: "b", caller: 2}, {at: 4, caller: 9, finished: true},
				{at: 6, worker: "c", caller: 3},
			},
			want: map[byte]Standing{1: Suspect, 2: Suspect, 3: Suspect, 9: Suspect},
		},
		"harmful as one caller asks it": {
			steps: []callerStep{
				{at: 0, worker: "a", caller: 1}, {at: 1, caller: 9, finished: true}, {at: 3, worker: "b", caller: 1},
				{at: 4, caller: 9, finished: true}, {at: 6, worker: "c", caller: 1}, {at: 7, caller: 9, finished: true},
			},
			want: map[byte]Standing{1: Quarantined, 2: Unsuspected, 9: Unsuspected},
		},
		"another caller's run ends well once it is quarantined": {
			steps: []callerStep{
				{at: 0, worker: "a", caller: 1}, {at: 3, worker: "b", caller: 1}, {at: 6, worker: "c", caller: 1},
				{at: 6.1, caller: 9, finished: true},
			},
			want: map[byte]Standing{1: Quarantined, 9: Unsuspected},
		},
		"its own run ends well": {
			steps: []callerStep{
				{at: 0, worker: "a", caller: 1}, {at: 1, caller: 9, finished: true}, {at: 3, worker: "b", caller: 1},
				{at: 4, caller: 1, finished: true}, {at: 6, worker: "c", caller: 1},
			},
			want: map[byte]Standing{1: Suspect, 9: Suspect},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTracker()
			for _, one := range test.steps {
				request := attempt(1)
				request.Caller = callerAt(one.caller)
				if one.finished {
					b.RecordSuccess(at(one.at), request.run())
					continue
				}
				b.RecordCrash(at(one.at), request, Crash{Worker: one.worker, At: at(one.at)})
			}
			told := NewTracker()
			told.Merge(at(8), NewSnapshot(at(8), b.Records()).Received(at(8)))
			for caller, want := range test.want {
				run := CallerRequest{Request: attempt(1).Request, Caller: callerAt(caller)}
				assert.Equal(t, b.Standing(run), want, "caller %d", caller)
				assert.Equal(t, told.Standing(run), want, "caller %d, as told", caller)
			}
		})
	}
}

func TestBookIsBounded(t *testing.T) {
	b := NewTracker()
	play(b, []step{
		{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}}, {at: 6, worker: "c", requests: []byte{1}},
	})
	for index := range 2 * mostRecords {
		one := Attempt{Request: Fingerprint{2, byte(index), byte(index >> 8)}}
		b.RecordCrash(at(10+float64(index)), one, Crash{Worker: "d", At: at(10 + float64(index))})
	}
	assert.Assert(t, len(b.Records()) <= mostRecords)
	assert.Equal(t, b.Standing(attempt(1).run()), Quarantined, "suspects make room, not what is quarantined")
	assert.Equal(t, b.Standing(CallerRequest{Request: Fingerprint{2, 0, 0}}), Unsuspected)
}

// What is stored is read by processes that start later, maybe with another time of day.
func TestSnapshotOutlastsItsWriter(t *testing.T) {
	b := NewTracker()
	play(b, []step{
		{at: 0, worker: "a", requests: []byte{1, 2}}, {at: 3, worker: "b", requests: []byte{1}}, {at: 6, worker: "c", requests: []byte{1}},
	})
	stored := NewSnapshot(at(10), b.Records()).Encode()
	tests := map[string]float64{"at once": 10, "a minute later": 70, "a clock that is behind": 4}
	for name, now := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot, err := DecodeSnapshot(stored)
			assert.NilError(t, err)
			later := NewTracker()
			later.Merge(at(now), snapshot.Stored(at(now)))
			later.Evaluate(at(now))
			assert.Equal(t, later.Standing(attempt(1).run()), Quarantined)
			assert.Equal(t, later.Standing(attempt(2).run()), Suspect)
			assert.Equal(t, later.Records()[0].Attempt.Request, attempt(1).Request)
		})
	}
	_, err := DecodeSnapshot([]byte("{"))
	assert.ErrorContains(t, err, "quarantine")
}

func TestViewTellsUntilALeaderKnows(t *testing.T) {
	follower, leader := NewView(), NewView()
	assert.Assert(t, !follower.AnyRestricted())
	assert.Assert(t, follower.CollectEvidence(at(0)) == nil)
	follower.RecordCrash(at(0), attempt(1), Crash{Worker: "a", At: at(0)})
	assert.Assert(t, follower.AnyRestricted())
	first := follower.CollectEvidence(at(0.2))
	assert.Equal(t, len(first.Crashes), 1)
	assert.Equal(t, first.Crashes[0].Crash.AgeMillis, int64(200))
	assert.Assert(t, follower.CollectEvidence(at(0.4)) == nil, "it is on its way")
	assert.Equal(t, len(follower.CollectEvidence(at(1.3)).Crashes), 1, "nobody has confirmed it")

	other, _ := leader.Snapshot(at(1.4))
	follower.HandleUpdate(at(1.4), other.Received(at(1.4)))
	assert.Equal(t, follower.Standing(attempt(1).run()), Suspect, "a leader that has not heard of it takes nothing away")
	leader.HandleEvidence(at(1.5), *first)
	leader.HandleEvidence(at(1.6), *first)
	snapshot, _ := leader.Snapshot(at(1.6))
	assert.Equal(t, len(snapshot.Records), 1)
	assert.Equal(t, len(snapshot.Records[0].Crashes), 1)
	follower.HandleUpdate(at(1.6), snapshot.Received(at(1.6)))
	assert.Assert(t, follower.CollectEvidence(at(5)) == nil, "a leader knows")

	follower.RecordSuccess(at(6), attempt(1).run())
	assert.Assert(t, !follower.AnyRestricted())
	leader.HandleEvidence(at(6), *follower.CollectEvidence(at(6)))
	assert.Assert(t, !leader.AnyRestricted(), "a good run clears it everywhere")
	follower.RecordSuccess(at(7), attempt(1).run())
	assert.Assert(t, follower.CollectEvidence(at(7)) == nil)
}

func TestViewGivesUpTellingInTheEnd(t *testing.T) {
	v := NewView()
	v.RecordCrash(at(0), attempt(1), Crash{Worker: "a", At: at(0)})
	assert.Equal(t, len(v.CollectEvidence(at(1)).Crashes), 1)
	assert.Assert(t, v.CollectEvidence(at(1+tellFor.Seconds())) == nil)
}

func TestViewNamesWhatBecomesQuarantined(t *testing.T) {
	leader, follower := NewView(), NewView()
	for index, worker := range []workers.ID{"a", "b", "c"} {
		seconds := float64(3 * index)
		held := leader.HandleEvidence(at(seconds), Evidence{Crashes: []CrashReport{{Attempt: attempt(1), Crash: SnapshotCrash{Worker: worker}}}})
		assert.Equal(t, len(held), index/2, "the third crash does it")
		snapshot, _ := leader.Snapshot(at(seconds))
		assert.Equal(t, len(follower.HandleUpdate(at(seconds), snapshot.Received(at(seconds)))), index/2)
		assert.Equal(t, len(follower.HandleUpdate(at(seconds), snapshot.Received(at(seconds)))), 0, "told before")
	}
	suspects, quarantined := follower.Count()
	assert.Equal(t, suspects, 0)
	assert.Equal(t, quarantined, 1)
}

// A worker that starts again under its ID after each crash counted as one, so a request that
// crashed it again and again was never held.
func TestEachLifeThatCrashesCounts(t *testing.T) {
	for name, test := range map[string]struct {
		lives []workers.StartTime
		held  bool
	}{
		"three lives":                {lives: []workers.StartTime{1, 2, 3}, held: true},
		"one life, told three times": {lives: []workers.StartTime{1, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTracker()
			for index, born := range test.lives {
				seconds := 10 * float64(index)
				crash := Crash{Worker: "w", Born: born, At: at(seconds)}
				b.RecordCrash(at(seconds), attempt(1), crash.describe(at(seconds)).crashAt(at(seconds)))
			}
			assert.Equal(t, b.Standing(attempt(1).run()) == Quarantined, test.held)
		})
	}
}
