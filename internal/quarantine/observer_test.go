package quarantine

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// attempt returns an attempt of a numbered request.
func attempt(request byte) Attempt { return Attempt{Request: Fingerprint{request}} }

func TestCrashObserver(t *testing.T) {
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	tests := map[string]struct {
		interrupted map[byte]int // when each request was interrupted, in milliseconds
		ended       int
		want        []Attempt
	}{
		"nothing in progress":      {ended: 10},
		"in progress":              {interrupted: map[byte]int{1: 5}, ended: 10, want: []Attempt{attempt(1)}},
		"interrupted long before":  {interrupted: map[byte]int{1: 5}, ended: 1005},
		"interrupted right before": {interrupted: map[byte]int{1: 6}, ended: 1005, want: []Attempt{attempt(1)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o CrashObserver
			for request, millis := range test.interrupted {
				assert.Assert(t, !o.RecordInterrupted(at(millis), attempt(request)))
			}
			attempts, first := o.RecordEnd(at(test.ended))
			assert.Assert(t, first)
			assert.Assert(t, slices.Equal(attempts, test.want), "%v", attempts)
			_, first = o.RecordEnd(at(test.ended + 1))
			assert.Assert(t, !first, "already recorded")
			assert.Assert(t, o.RecordInterrupted(at(test.ended+5), attempt(9)), "interrupted by the end, and detected later")
			assert.Assert(t, !o.RecordInterrupted(at(test.ended+5000), attempt(9)), "too late to be interrupted by the end")
		})
	}
}

// Guards against attempts that an overloaded worker interrupted: they must not hide the one that
// was in progress at its end.
func TestManyInterruptedAttemptsDoNotHideTheLast(t *testing.T) {
	for name, count := range map[string]int{"as many as maxInterrupted": maxInterrupted, "twice maxInterrupted": 2 * maxInterrupted} {
		t.Run(name, func(t *testing.T) {
			var o CrashObserver
			for index := range count {
				o.RecordInterrupted(start, Attempt{Request: Fingerprint{2, byte(index), byte(index >> 8)}})
			}
			o.RecordInterrupted(start, attempt(1))
			attempts, _ := o.RecordEnd(start.Add(100 * time.Millisecond))
			assert.Assert(t, slices.Contains(attempts, attempt(1)))
			assert.Equal(t, len(attempts), maxInterrupted)
		})
	}
}

func TestFingerprint(t *testing.T) {
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
