package experiment

import (
	"encoding/json"

	"github.com/shalefork/shalefork/internal/wire"
)

// Sizes that are added to the bodies, which are measured.
const (
	// exchangeOverhead is the HTTP headers of a request and its answer.
	exchangeOverhead = 360
	// heartbeatBytes is one heartbeat and its answer, with headers.
	heartbeatBytes = 600
	// followers of the leader, each of which gets every command.
	followers = 2
	// sampleEvery exchanges one is measured and counted for all of them.
	sampleEvery = 8
)

// controlTraffic counts the bytes of control, sent and received by the leader
// for each purpose, and received by each gateway.
type controlTraffic struct {
	// renewals are without load reports, which are counted in reports.
	renewals, reports, consensus, tables float64

	gateways  map[int]float64
	exchanges int
}

// exchange counts one renewal and its answer at the leader.
func (t *controlTraffic) exchange(request wire.RenewRequest, response wire.RenewResponse) {
	t.exchanges++
	t.renewals += exchangeOverhead
	if t.exchanges%sampleEvery != 0 {
		return
	}
	t.reports += sampleEvery * float64(jsonSize(response.Load))
	response.Load = wire.LoadReport{}
	t.renewals += sampleEvery * float64(jsonSize(request)+jsonSize(response))
}

// commit counts one command sent to the followers.
func (t *controlTraffic) commit(encoded string) {
	t.consensus += followers * float64(len(encoded))
}

// table counts one line to a gateway.
func (t *controlTraffic) table(gatewayIndex int, update wire.TableUpdate) {
	size := float64(jsonSize(update))
	t.tables += size
	if t.gateways == nil {
		t.gateways = map[int]float64{}
	}
	t.gateways[gatewayIndex] += size
}

func (c *control) countHeartbeats() {
	c.traffic.consensus += followers * heartbeatBytes
}

func jsonSize(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(Error.Wrap(err))
	}
	return len(encoded)
}
