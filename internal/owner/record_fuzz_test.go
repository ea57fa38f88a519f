package owner

import (
	"testing"
	"time"
)

// FuzzLoad shows that whatever a leader finds stored, it goes on: each leader after it would else
// end on the same record.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"spans":[{"from":0,"to":65535}],"workers":[{"id":"w1","address":"x"}]}`))
	f.Add([]byte(`{"Spans":[{"From":5,"To":-1,"Owner":7,"Formers":[{"Worker":9}]}],"Doubts":[{"Worker":0,"From":9,"To":70000}]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		now := time.Unix(1000, 0)
		_, _, _ = DecodeOwners(value)
		b := NewLedger(DefaultConfig(10*time.Second), 3)
		if b.Load(now, value, now.Add(time.Second)) != nil {
			return
		}
		b.Due(now, false)
		b.Due(now.Add(20*time.Second), false)
		b.Assignment()
		b.Holds()
	})
}

// A router's report of keys that do not exist must not end the leader.
func TestLoadsOfKeysThatDoNotExist(t *testing.T) {
	now := time.Unix(1000, 0)
	loads := NewLoads(now)
	for index := range 100 {
		loads.Add(now.Add(time.Duration(index)*100*time.Millisecond), map[int]int{-5: 10, 70000: 10, 1 << 40: -3})
	}
}
