package load

import (
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
)

// slowAnswer is how long an answer takes at least for its key to count as
// unavailable meanwhile. A gateway holds requests while a key has no owner, so
// failures alone would hide most of that time.
const slowAnswer = 100 * time.Millisecond

// Unavailable is the time in which keys were not served, as callers saw it: from
// a request that failed or took slowAnswer, or from the key's last answer if
// that came later, to the next answer for the key.
type Unavailable struct {
	// KeySeconds adds up the times of all keys.
	KeySeconds float64 `json:"key_seconds"`
	// Longest such time of one key.
	Longest time.Duration `json:"longest"`
	// Keys that had such a time.
	Keys int `json:"keys"`
}

// serviceKey is a key of one service.
type serviceKey struct {
	service keyspace.ServiceName
	key     string
}

// keyTimes is what is known of one key, on the clock of history.Now.
type keyTimes struct {
	// lastAnswer is when the key was last served.
	lastAnswer time.Duration
	// failing says that requests have failed since failingSince.
	failing      bool
	failingSince time.Duration
	// counted says that the key is in Unavailable.Keys.
	counted bool
}

// darkness follows all keys. It is not safe for concurrent use.
type darkness struct {
	keys map[serviceKey]*keyTimes
	sum  Unavailable
}

func newDarkness() *darkness {
	return &darkness{keys: map[serviceKey]*keyTimes{}}
}

// follow takes the end of one request for a key.
func (d *darkness) follow(call history.Call, succeeded bool) {
	id := serviceKey{call.Service, call.Key}
	times := d.keys[id]
	if times == nil {
		times = &keyTimes{}
		d.keys[id] = times
	}
	begin := max(call.Sent, times.lastAnswer)
	if times.failing {
		begin = min(begin, times.failingSince)
	}
	if !succeeded {
		times.failing = true
		times.failingSince = begin
		return
	}
	slow := call.Answered-call.Sent >= slowAnswer
	if times.failing || slow {
		d.add(times, call.Answered-begin)
	}
	times.failing = false
	times.lastAnswer = max(times.lastAnswer, call.Answered)
}

// add counts one time of a key. It is zero or less if another answer for the
// key came in the meantime.
func (d *darkness) add(times *keyTimes, unavailable time.Duration) {
	if unavailable <= 0 {
		return
	}
	if !times.counted {
		times.counted = true
		d.sum.Keys++
	}
	d.sum.KeySeconds += unavailable.Seconds()
	d.sum.Longest = max(d.sum.Longest, unavailable)
}

// finish ends the times of keys that still fail at now.
func (d *darkness) finish(now time.Duration) Unavailable {
	for _, times := range d.keys {
		if times.failing {
			d.add(times, now-times.failingSince)
		}
	}
	return d.sum
}
