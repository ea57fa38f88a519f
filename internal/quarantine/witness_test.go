package quarantine

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// attempt returns an attempt of a request for tests.
func attempt(request byte) Attempt { return Attempt{Request: Fingerprint{request}} }

func TestWitnessNamesWhatTheEndCutOff(t *testing.T) {
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	tests := map[string]struct {
		cut   map[byte]int // when each request broke off, in milliseconds
		ended int
		want  []Attempt
	}{
		"nothing under way":      {ended: 10},
		"under way":              {cut: map[byte]int{1: 5}, ended: 10, want: []Attempt{attempt(1)}},
		"broke off long before":  {cut: map[byte]int{1: 5}, ended: 1005},
		"broke off right before": {cut: map[byte]int{1: 6}, ended: 1005, want: []Attempt{attempt(1)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w CrashObserver
			for request, millis := range test.cut {
				assert.Assert(t, !w.RecordInterrupted(at(millis), attempt(request)))
			}
			requests, first := w.RecordEnd(at(test.ended))
			assert.Assert(t, first)
			assert.Assert(t, slices.Equal(requests, test.want), "%v", requests)
			_, first = w.RecordEnd(at(test.ended + 1))
			assert.Assert(t, !first, "a worker ends once")
			assert.Assert(t, w.RecordInterrupted(at(test.ended+5), attempt(9)), "cut off too, and noticed later")
			assert.Assert(t, !w.RecordInterrupted(at(test.ended+5000), attempt(9)), "too late to have been there")
		})
	}
}

// Sends that a full worker had cut off hid the one that was under way at its end.
func TestManySendsCutOffBeforeDoNotHideTheLast(t *testing.T) {
	for name, count := range map[string]int{"as many as are remembered": mostCut, "twice as many": 2 * mostCut} {
		t.Run(name, func(t *testing.T) {
			var w CrashObserver
			for index := range count {
				w.RecordInterrupted(start, Attempt{Request: Fingerprint{2, byte(index), byte(index >> 8)}})
			}
			w.RecordInterrupted(start, attempt(1))
			attempts, _ := w.RecordEnd(start.Add(100 * time.Millisecond))
			assert.Assert(t, slices.Contains(attempts, attempt(1)))
			assert.Equal(t, len(attempts), mostCut)
		})
	}
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := Request{Method: "GET", Host: "a.example", URI: "/x?y=1", Body: []byte("b"), Length: 1}
	tests := map[string]func(r *Request){
		"method": func(r *Request) { r.Method = "POST" },
		"host":   func(r *Request) { r.Host = "b.example" },
		"query":  func(r *Request) { r.URI = "/x?y=2" },
		"body":   func(r *Request) { r.Body = []byte("c") },
		"length": func(r *Request) { r.Length = 2 },
		"parts":  func(r *Request) { r.Host, r.URI = "a.example/", "x?y=1" },
	}
	assert.Equal(t, base.Fingerprint(), base.Fingerprint())
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			other := base
			change(&other)
			assert.Assert(t, other.Fingerprint() != base.Fingerprint())
		})
	}
	one, other := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	assert.Assert(t, base.Fingerprint().ForCaller(one) != base.Fingerprint().ForCaller(other))
	assert.Assert(t, base.Fingerprint().ForCaller(one) != base.Fingerprint())
	text, err := base.Fingerprint().MarshalText()
	assert.NilError(t, err)
	var read Fingerprint
	assert.NilError(t, read.UnmarshalText(text))
	assert.Equal(t, read, base.Fingerprint())
	assert.ErrorContains(t, read.UnmarshalText([]byte("abc")), "is no fingerprint")
}
