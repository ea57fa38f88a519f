package quarantine

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testRecord returns the record of a suspect, or of a quarantined request.
func testRecord(number byte, quarantined bool) Record {
	one := Record{Attempt: attempt(number), Crashes: []Crash{{Worker: "w", At: at(1)}}}
	if quarantined {
		one.Crashes = []Crash{{Worker: "w", At: at(-5)}, {Worker: "x", At: at(-2)}, {Worker: "y", At: at(1)}}
		one.QuarantinedAt = at(2)
	}
	return one
}

func requestNumbers(records []Record) []byte {
	var numbers []byte
	for _, one := range records {
		numbers = append(numbers, one.Attempt.Request[0])
	}
	slices.Sort(numbers)
	return numbers
}

// A process that receives changes, a few at a time and through a relay, finally has the same
// records as the leader.
func TestChangesReplicateRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var leader, relay, follower ChangeLog
		var relayAt, followerAt uint64
		limit := rapid.IntRange(1, 3).Draw(t, "most")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var records []Record
			for number := range byte(8) {
				if rapid.Bool().Draw(t, "listed") {
					records = append(records, testRecord(number, rapid.Bool().Draw(t, "held")))
				}
			}
			leader.Set(records)
			relayAt = sendChanges(&leader, &relay, relayAt, limit)
			followerAt = sendChanges(&relay, &follower, followerAt, limit)
		}
		for range 8 {
			relayAt = sendChanges(&leader, &relay, relayAt, limit)
		}
		for range 16 {
			followerAt = sendChanges(&relay, &follower, followerAt, limit)
		}
		assert.DeepEqual(t, requestNumbers(follower.Records()), requestNumbers(leader.Records()))
		assert.Equal(t, relayAt, leader.Version())
		assert.Equal(t, followerAt, relay.Version())
	})
}

// sendChanges delivers one message, and returns the version that its changes lead up to.
func sendChanges(from, to *ChangeLog, version uint64, limit int) uint64 {
	if version == from.Version() {
		return version
	}
	changes, upTo := from.Since(at(3), version, limit)
	to.Apply(at(3), changes)
	return upTo
}

func TestChangeLogSince(t *testing.T) {
	var many []Record
	for number := range byte(10) {
		many = append(many, testRecord(number, number == 9))
	}
	for name, test := range map[string]struct {
		before, after    []Record
		version          uint64
		full             bool
		updated, removed int
	}{
		"all records for version zero":       {after: many, full: true, updated: 10},
		"empty list":                         {full: true},
		"no changes":                         {before: many, after: many, version: 10},
		"some records, and quarantined ones": {after: many, version: 1, updated: 5},
		"newly quarantined":                  {before: []Record{testRecord(1, false)}, after: []Record{testRecord(1, true)}, version: 2, updated: 1},
		"a cleared request":                  {before: []Record{testRecord(1, false)}, version: 2, removed: 1},
		"same record with other ages":        {before: []Record{testRecord(1, false)}, after: []Record{delayed(testRecord(1, false))}, version: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var log ChangeLog
			log.Set(test.before)
			log.Set(test.after)
			changes, _ := log.Since(at(3), test.version, 4)
			if test.version == 10 {
				changes, _ = log.Since(at(3), log.Version(), 4)
			}
			assert.Equal(t, changes.Full, test.full)
			assert.Equal(t, len(changes.Updated.Records), test.updated)
			assert.Equal(t, len(changes.Removed), test.removed)
		})
	}
}

// delayed returns a record with the times that another process derives from its ages.
func delayed(one Record) Record {
	one.Crashes = []Crash{{Worker: "w", At: at(1.01)}}
	return one
}

// A process whose version is older than the remembered removals receives all records.
func TestOldVersionReceivesAllRecords(t *testing.T) {
	var log ChangeLog
	log.Set(nil)
	version := log.Version()
	for number := range maxRemovals + 1 {
		one := Record{Attempt: Attempt{Request: Fingerprint{byte(number), byte(number >> 8)}}, Crashes: []Crash{{At: at(1)}}}
		log.Set([]Record{one})
	}
	log.Set(nil)
	changes, _ := log.Since(at(2), version, 4)
	assert.Assert(t, changes.Full)
	assert.Assert(t, len(log.entries) <= maxRemovals)
}
