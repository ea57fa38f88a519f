package quarantine

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// record is a suspect, or a quarantined request.
func record(number byte, held bool) Record {
	one := Record{Attempt: attempt(number), Crashes: []Crash{{Worker: "w", At: at(1)}}}
	if held {
		one.Crashes = []Crash{{Worker: "w", At: at(-5)}, {Worker: "x", At: at(-2)}, {Worker: "y", At: at(1)}}
		one.QuarantinedAt = at(2)
	}
	return one
}

func requests(records []Record) []byte {
	var numbers []byte
	for _, one := range records {
		numbers = append(numbers, one.Attempt.Request[0])
	}
	slices.Sort(numbers)
	return numbers
}

// Whoever is told changes, a few at a time and over any number of relays, knows in the end what
// the leader knows.
func TestChangesLeadToTheSameRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leader, relay, follower ChangeLog
		var relayAt, followerAt uint64
		most := rapid.IntRange(1, 3).Draw(t, "most")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var records []Record
			for number := range byte(8) {
				if rapid.Bool().Draw(t, "listed") {
					records = append(records, record(number, rapid.Bool().Draw(t, "held")))
				}
			}
			leader.Set(records)
			relayAt = tell(&leader, &relay, relayAt, most)
			followerAt = tell(&relay, &follower, followerAt, most)
		}
		for range 8 {
			relayAt = tell(&leader, &relay, relayAt, most)
		}
		for range 16 {
			followerAt = tell(&relay, &follower, followerAt, most)
		}
		assert.DeepEqual(t, requests(follower.Records()), requests(leader.Records()))
		assert.Equal(t, relayAt, leader.Version())
		assert.Equal(t, followerAt, relay.Version())
	})
}

// tell brings one message, and returns up to which version it told.
func tell(from, to *ChangeLog, version uint64, most int) uint64 {
	if version == from.Version() {
		return version
	}
	changes, upTo := from.Since(at(3), version, most)
	to.Apply(at(3), changes)
	return upTo
}

func TestWhatALedgerTells(t *testing.T) {
	var many []Record
	for number := range byte(10) {
		many = append(many, record(number, number == 9))
	}
	for name, test := range map[string]struct {
		before, after []Record
		known         uint64
		whole         bool
		fresh, gone   int
	}{
		"all, to who knows nothing":        {after: many, whole: true, fresh: 10},
		"that there is nothing":            {whole: true},
		"nothing, if nothing has changed":  {before: many, after: many, known: 10},
		"a few, and what is quarantined":   {after: many, known: 1, fresh: 5},
		"one that is quarantined now":      {before: []Record{record(1, false)}, after: []Record{record(1, true)}, known: 2, fresh: 1},
		"what was cleared":                 {before: []Record{record(1, false)}, known: 2, gone: 1},
		"the same, whatever its ages said": {before: []Record{record(1, false)}, after: []Record{late(record(1, false))}, known: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger ChangeLog
			ledger.Set(test.before)
			ledger.Set(test.after)
			changes, _ := ledger.Since(at(3), test.known, 4)
			if test.known == 10 {
				changes, _ = ledger.Since(at(3), ledger.Version(), 4)
			}
			assert.Equal(t, changes.Full, test.whole)
			assert.Equal(t, len(changes.Updated.Records), test.fresh)
			assert.Equal(t, len(changes.Removed), test.gone)
		})
	}
}

// late is a record as another process reckons its times.
func late(one Record) Record {
	one.Crashes = []Crash{{Worker: "w", At: at(1.01)}}
	return one
}

// Who knows of a state that is older than what is remembered is told all.
func TestOldStatesAreToldWhole(t *testing.T) {
	var ledger ChangeLog
	ledger.Set(nil)
	known := ledger.Version()
	for number := range keptGone + 1 {
		one := Record{Attempt: Attempt{Request: Fingerprint{byte(number), byte(number >> 8)}}, Crashes: []Crash{{At: at(1)}}}
		ledger.Set([]Record{one})
	}
	ledger.Set(nil)
	changes, _ := ledger.Since(at(2), known, 4)
	assert.Assert(t, changes.Full)
	assert.Assert(t, len(ledger.entries) <= keptGone)
}
