package owner

import (
	"testing"
	"time"
)

// FuzzLoad checks that a leader survives any stored record. Otherwise each leader after it would
// crash on the same record.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"spans":[{"from":0,"to":65535}],"workers":[{"id":"w1","address":"x"}]}`))
	f.Add([]byte(`{"Spans":[{"From":5,"To":-1,"Owner":7,"Formers":[{"Worker":9}]}],"Doubts":[{"Worker":0,"From":9,"To":70000}]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		now := time.Unix(1000, 0)
		_, _, _ = DecodeOwners(value)
		ledger := NewLedger(DefaultConfig(10*time.Second), 3)
		if ledger.Load(now, value, now.Add(time.Second)) != nil {
			return
		}
		ledger.Due(now, false)
		ledger.Due(now.Add(20*time.Second), false)
		ledger.Assignment()
		ledger.Holds()
	})
}

// A report of keys that do not exist must not crash the leader.
func TestLoadsOfInvalidKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	loads := NewLoads(now)
	for index := range 100 {
		loads.Add(now.Add(time.Duration(index)*100*time.Millisecond), map[int]int{-5: 10, 70000: 10, 1 << 40: -3})
	}
}
