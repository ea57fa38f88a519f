package quarantine

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

var start = time.Unix(1_000_000, 0)

// at returns a time in seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// testEvent is a crash of a worker with requests in progress, or the success of a request.
type testEvent struct {
	at        float64
	worker    workers.ID
	requests  []byte
	succeeded byte
}

func play(tracker *Tracker, events []testEvent) {
	for _, one := range events {
		for _, request := range one.requests {
			tracker.RecordCrash(at(one.at), attempt(request), Crash{Worker: one.worker, At: at(one.at)})
		}
		if one.succeeded != 0 {
			tracker.RecordSuccess(at(one.at), attempt(one.succeeded).callerRequest())
		}
	}
}

func TestHarmfulRequestIsDistinguished(t *testing.T) {
	tests := map[string]struct {
		events []testEvent
		now    float64
		want   map[byte]Standing
	}{
		"nothing":   {now: 1, want: map[byte]Standing{1: Unsuspected}},
		"one crash": {events: []testEvent{{at: 0, worker: "a", requests: []byte{1, 2}}}, now: 2, want: map[byte]Standing{1: Suspect, 2: Suspect, 3: Unsuspected}},
		"three crashes, others there once": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1, 2}}, {at: 3, worker: "b", requests: []byte{1, 3}},
				{at: 6, worker: "c", requests: []byte{1, 4}},
			},
			now: 6, want: map[byte]Standing{1: Quarantined, 2: Suspect, 3: Suspect, 4: Suspect},
		},
		"success in between": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 4, succeeded: 1}, {at: 6, worker: "c", requests: []byte{1}},
			},
			now: 6, want: map[byte]Standing{1: Suspect},
		},
		"success of a quarantined request": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 6, worker: "c", requests: []byte{1}}, {at: 6.1, succeeded: 1},
			},
			now: 7, want: map[byte]Standing{1: Unsuspected},
		},
		"one worker, reported three times": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 2, worker: "a", requests: []byte{1}},
				{at: 4, worker: "a", requests: []byte{1}},
			},
			now: 9, want: map[byte]Standing{1: Suspect},
		},
		"crash of a rack, with a common request": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0.1, worker: "b", requests: []byte{1}},
				{at: 0.2, worker: "c", requests: []byte{1}}, {at: 0.2, worker: "d", requests: []byte{2}},
			},
			now: 5, want: map[byte]Standing{1: Suspect},
		},
		"sent to several workers at once, no other crashes": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0.1, worker: "b", requests: []byte{1, 2}},
				{at: 0.2, worker: "c", requests: []byte{1}},
			},
			now: 1.3, want: map[byte]Standing{1: Quarantined, 2: Suspect},
		},
		"series with less than clusterWindow between crashes, with others": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0.6, worker: "b", requests: []byte{1, 2}},
				{at: 0.7, worker: "x", requests: []byte{3}}, {at: 1.2, worker: "c", requests: []byte{1}},
			},
			now: 1.2, want: map[byte]Standing{1: Quarantined, 2: Suspect, 3: Suspect},
		},
		"two at the same time, one later": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 0, worker: "b", requests: []byte{1}},
				{at: 3, worker: "c", requests: []byte{1}},
			},
			now: 3, want: map[byte]Standing{1: Quarantined},
		},
		"expiry of a crash": {
			events: []testEvent{{at: 0, worker: "a", requests: []byte{1}}},
			now:    suspectRetention.Seconds(), want: map[byte]Standing{1: Unsuspected},
		},
		"before expiry of the quarantine": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 6, worker: "c", requests: []byte{1}},
			},
			now: quarantineDuration.Seconds(), want: map[byte]Standing{1: Quarantined},
		},
		"expiry of the quarantine": {
			events: []testEvent{
				{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}},
				{at: 6, worker: "c", requests: []byte{1}},
			},
			now: quarantineDuration.Seconds() + 6, want: map[byte]Standing{1: Unsuspected},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			play(tracker, test.events)
			tracker.Evaluate(at(test.now))
			for request, want := range test.want {
				assert.Equal(t, tracker.Standing(attempt(request).callerRequest()), want, "request %d", request)
			}
		})
	}
}

// callerAt returns one of several callers.
func callerAt(number byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, number}) }

// callerEvent is a crash of a worker with the request of a caller in progress, or its success.
type callerEvent struct {
	at        float64
	worker    workers.ID
	caller    byte
	succeeded bool
}

func TestCrashesOfCallersAddUpUntilAnotherSucceeds(t *testing.T) {
	for name, test := range map[string]struct {
		events []callerEvent
		want   map[byte]Standing
	}{
		"three callers": {
			events: []callerEvent{{at: 0, worker: "a", caller: 1}, {at: 3, worker: "b", caller: 2}, {at: 6, worker: "c", caller: 3}},
			want:   map[byte]Standing{1: Quarantined, 2: Quarantined, 9: Quarantined},
		},
		"three callers, one worker": {
			events: []callerEvent{{at: 0, worker: "a", caller: 1}, {at: 1.5, worker: "a", caller: 2}, {at: 3, worker: "a", caller: 3}},
			want:   map[byte]Standing{1: Suspect, 9: Suspect},
		},
		"another caller succeeds in between": {
			events: []callerEvent{
				{at: 0, worker: "a", caller: 1}, {at: 3, worker: "b", caller: 2}, {at: 4, caller: 9, succeeded: true},
				{at: 6, worker: "c", caller: 3},
			},
			want: map[byte]Standing{1: Suspect, 2: Suspect, 3: Suspect, 9: Suspect},
		},
		"harmful for one caller only": {
			events: []callerEvent{
				{at: 0, worker: "a", caller: 1}, {at: 1, caller: 9, succeeded: true}, {at: 3, worker: "b", caller: 1},
				{at: 4, caller: 9, succeeded: true}, {at: 6, worker: "c", caller: 1}, {at: 7, caller: 9, succeeded: true},
			},
			want: map[byte]Standing{1: Quarantined, 2: Unsuspected, 9: Unsuspected},
		},
		"another caller succeeds after the quarantine": {
			events: []callerEvent{
				{at: 0, worker: "a", caller: 1}, {at: 3, worker: "b", caller: 1}, {at: 6, worker: "c", caller: 1},
				{at: 6.1, caller: 9, succeeded: true},
			},
			want: map[byte]Standing{1: Quarantined, 9: Unsuspected},
		},
		"the same caller succeeds": {
			events: []callerEvent{
				{at: 0, worker: "a", caller: 1}, {at: 1, caller: 9, succeeded: true}, {at: 3, worker: "b", caller: 1},
				{at: 4, caller: 1, succeeded: true}, {at: 6, worker: "c", caller: 1},
			},
			want: map[byte]Standing{1: Suspect, 9: Suspect},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, one := range test.events {
				request := attempt(1)
				request.Caller = callerAt(one.caller)
				if one.succeeded {
					tracker.RecordSuccess(at(one.at), request.callerRequest())
					continue
				}
				tracker.RecordCrash(at(one.at), request, Crash{Worker: one.worker, At: at(one.at)})
			}
			received := NewTracker()
			received.Merge(at(8), NewSnapshot(at(8), tracker.Records()).ReceivedRecords(at(8)))
			for caller, want := range test.want {
				run := CallerRequest{Request: attempt(1).Request, Caller: callerAt(caller)}
				assert.Equal(t, tracker.Standing(run), want, "caller %d", caller)
				assert.Equal(t, received.Standing(run), want, "caller %d, from the snapshot", caller)
			}
		})
	}
}

func TestTrackerIsBounded(t *testing.T) {
	tracker := NewTracker()
	play(tracker, []testEvent{
		{at: 0, worker: "a", requests: []byte{1}}, {at: 3, worker: "b", requests: []byte{1}}, {at: 6, worker: "c", requests: []byte{1}},
	})
	for index := range 2 * maxRecords {
		one := Attempt{Request: Fingerprint{2, byte(index), byte(index >> 8)}}
		tracker.RecordCrash(at(10+float64(index)), one, Crash{Worker: "d", At: at(10 + float64(index))})
	}
	assert.Assert(t, len(tracker.Records()) <= maxRecords)
	assert.Equal(t, tracker.Standing(attempt(1).callerRequest()), Quarantined, "suspects are evicted, quarantined requests are not")
	assert.Equal(t, tracker.Standing(CallerRequest{Request: Fingerprint{2, 0, 0}}), Unsuspected)
}

// A stored snapshot is read by processes that start later and whose clocks may differ.
func TestStoredSnapshotRestoresRecords(t *testing.T) {
	tracker := NewTracker()
	play(tracker, []testEvent{
		{at: 0, worker: "a", requests: []byte{1, 2}}, {at: 3, worker: "b", requests: []byte{1}}, {at: 6, worker: "c", requests: []byte{1}},
	})
	stored := NewSnapshot(at(10), tracker.Records()).Encode()
	tests := map[string]float64{"without delay": 10, "a minute later": 70, "a clock that is behind": 4}
	for name, now := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot, err := DecodeSnapshot(stored)
			assert.NilError(t, err)
			later := NewTracker()
			later.Merge(at(now), snapshot.StoredRecords(at(now)))
			later.Evaluate(at(now))
			assert.Equal(t, later.Standing(attempt(1).callerRequest()), Quarantined)
			assert.Equal(t, later.Standing(attempt(2).callerRequest()), Suspect)
			assert.Equal(t, later.Records()[0].Attempt.Request, attempt(1).Request)
		})
	}
	_, err := DecodeSnapshot([]byte("{"))
	assert.ErrorContains(t, err, "quarantine")
}

func TestViewReportsUntilLeaderConfirms(t *testing.T) {
	follower, leader := NewView(), NewView()
	assert.Assert(t, !follower.AnyRestricted())
	assert.Assert(t, follower.CollectEvidence(at(0)) == nil)
	follower.RecordCrash(at(0), attempt(1), Crash{Worker: "a", At: at(0)})
	assert.Assert(t, follower.AnyRestricted())
	first := follower.CollectEvidence(at(0.2))
	assert.Equal(t, len(first.Crashes), 1)
	assert.Equal(t, first.Crashes[0].Crash.AgeMillis, int64(200))
	assert.Assert(t, follower.CollectEvidence(at(0.4)) == nil, "already reported")
	assert.Equal(t, len(follower.CollectEvidence(at(1.3)).Crashes), 1, "not confirmed, so reported again")

	other, _ := leader.Snapshot(at(1.4))
	follower.HandleUpdate(at(1.4), other.ReceivedRecords(at(1.4)))
	assert.Equal(t, follower.Standing(attempt(1).callerRequest()), Suspect, "an update without it does not remove it")
	leader.HandleEvidence(at(1.5), *first)
	leader.HandleEvidence(at(1.6), *first)
	snapshot, _ := leader.Snapshot(at(1.6))
	assert.Equal(t, len(snapshot.Records), 1)
	assert.Equal(t, len(snapshot.Records[0].Crashes), 1)
	follower.HandleUpdate(at(1.6), snapshot.ReceivedRecords(at(1.6)))
	assert.Assert(t, follower.CollectEvidence(at(5)) == nil, "confirmed by the leader")

	follower.RecordSuccess(at(6), attempt(1).callerRequest())
	assert.Assert(t, !follower.AnyRestricted())
	leader.HandleEvidence(at(6), *follower.CollectEvidence(at(6)))
	assert.Assert(t, !leader.AnyRestricted(), "the success clears it at the leader too")
	follower.RecordSuccess(at(7), attempt(1).callerRequest())
	assert.Assert(t, follower.CollectEvidence(at(7)) == nil)
}

func TestViewStopsReportingAfterReportDuration(t *testing.T) {
	v := NewView()
	v.RecordCrash(at(0), attempt(1), Crash{Worker: "a", At: at(0)})
	assert.Equal(t, len(v.CollectEvidence(at(1)).Crashes), 1)
	assert.Assert(t, v.CollectEvidence(at(1+reportDuration.Seconds())) == nil)
}

func TestViewReturnsNewlyQuarantined(t *testing.T) {
	leader, follower := NewView(), NewView()
	for index, worker := range []workers.ID{"a", "b", "c"} {
		seconds := float64(3 * index)
		quarantined := leader.HandleEvidence(at(seconds), Evidence{Crashes: []CrashReport{{Attempt: attempt(1), Crash: SnapshotCrash{Worker: worker}}}})
		assert.Equal(t, len(quarantined), index/2, "the third crash quarantines it")
		snapshot, _ := leader.Snapshot(at(seconds))
		assert.Equal(t, len(follower.HandleUpdate(at(seconds), snapshot.ReceivedRecords(at(seconds)))), index/2)
		assert.Equal(t, len(follower.HandleUpdate(at(seconds), snapshot.ReceivedRecords(at(seconds)))), 0, "received before")
	}
	suspects, quarantined := follower.Count()
	assert.Equal(t, suspects, 0)
	assert.Equal(t, quarantined, 1)
}

// Guards against counting the crashes of a worker that restarts under the same ID as one: a request
// that crashed it repeatedly was never quarantined.
func TestCrashOfEachIncarnationCounts(t *testing.T) {
	for name, test := range map[string]struct {
		incarnations []workers.StartTime
		quarantined  bool
	}{
		"three incarnations":                    {incarnations: []workers.StartTime{1, 2, 3}, quarantined: true},
		"one incarnation, reported three times": {incarnations: []workers.StartTime{1, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for index, startTime := range test.incarnations {
				seconds := 10 * float64(index)
				crash := Crash{Worker: "w", StartTime: startTime, At: at(seconds)}
				tracker.RecordCrash(at(seconds), attempt(1), crash.toSnapshot(at(seconds)).crash(at(seconds)))
			}
			assert.Equal(t, tracker.Standing(attempt(1).callerRequest()) == Quarantined, test.quarantined)
		})
	}
}
