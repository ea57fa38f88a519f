package peerlink

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/workers"
)

// suspectRecords returns records of requests that were in progress at crashes.
func suspectRecords(count int) []quarantine.Record {
	var records []quarantine.Record
	for number := range count {
		records = append(records, quarantine.Record{
			Attempt: quarantine.Attempt{
				Request: quarantine.Fingerprint{byte(number), byte(number >> 8)}, ID: fmt.Sprintf("9c41d07be2a3%04x", number), Route: "confirm",
			},
			Crashes: []quarantine.Crash{{Worker: workers.ID(fmt.Sprintf("i-%08x", number*7919)), At: time.Now()}},
		})
	}
	return records
}

// Many crashes within a second must not fill a link. When the whole list was sent at each change,
// it took 0.3 MB/s on each link while 512 requests became suspects.
func TestSuspectUpdatesStayWithinBandwidth(t *testing.T) {
	// A link may carry at most 20 KB/s of control traffic.
	const maxBytes = 20 << 10
	for name, acceptsChanges := range map[string]bool{"changes": true, "whole lists": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hub := newTestHub()
				l := &link{hello: Hello{SuspectChanges: acceptsChanges}}
				records := suspectRecords(512)
				hub.PublishSuspects(nil)
				sendSuspects(t, hub, l)
				sent, second := 0, 0
				for step := range 20 {
					hub.PublishSuspects(records[:min(len(records), 28*(step+1))])
					second += sendSuspects(t, hub, l)
					time.Sleep(100 * time.Millisecond)
					if step%10 == 9 {
						sent, second = max(sent, second), 0
					}
				}
				if acceptsChanges {
					assert.Assert(t, sent < maxBytes, "%d bytes in a second", sent)
				}
				time.Sleep(5 * time.Second)
				for range 10 {
					sendSuspects(t, hub, l)
					time.Sleep(suspectsInterval)
				}
				assert.Equal(t, l.suspectsVersion, hub.SuspectsVersion(), "everything was sent in the end")
			})
		})
	}
}

// sendSuspects sends the changes of suspects, and returns the size of the message in bytes.
func sendSuspects(t *testing.T, hub *Hub, l *link) int {
	var update Update
	hub.addSuspects(l, &update, time.Now())
	if len(update.Suspects)+len(update.SuspectChanges) == 0 {
		return 0
	}
	line, err := json.Marshal(update)
	assert.NilError(t, err)
	return len(line)
}

// A relay forwards the changes that it receives. A process of the previous version receives whole
// lists.
func TestSuspectsPassThroughRelay(t *testing.T) {
	for name, acceptsChanges := range map[string]bool{"changes": true, "whole lists": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader, relay, last := newTestHub(), newTestHub(), newTestHub()
				toRelay, toLast := &link{hello: Hello{SuspectChanges: true}}, &link{hello: Hello{SuspectChanges: acceptsChanges}}
				for count := range 3 {
					leader.PublishSuspects(suspectRecords(3 - count))
					transferSuspects(t, leader, toRelay, relay)
					assert.Equal(t, len(transferSuspects(t, relay, toLast, last)), 3-count)
					time.Sleep(suspectsInterval)
				}
			})
		})
	}
}

// transferSuspects sends one message, and returns all records that the receiver knows afterwards.
func transferSuspects(t *testing.T, from *Hub, over *link, to *Hub) []quarantine.Record {
	var update Update
	from.addSuspects(over, &update, time.Now())
	changes, included, err := update.DecodeSuspects()
	assert.NilError(t, err)
	assert.Assert(t, included)
	return to.ApplySuspects(changes)
}
