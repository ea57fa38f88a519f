package demo

import (
	"bytes"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
	"github.com/shalefork/shalefork/internal/wire"
)

func TestPortsInUseAreNamed(t *testing.T) {
	listener, err := net.Listen("tcp", host+":0")
	assert.NilError(t, err)
	defer listener.Close()
	used := listener.Addr().String()
	assert.ErrorContains(t, checkFree([]string{used}), "1 port is not free; choose another --base-port: in use are "+used)
	assert.NilError(t, checkFree(nil))
}

func TestExampleMovesToTheBasePort(t *testing.T) {
	config := Config{Example: "../../../examples/tawila", BasePort: 31000}
	moved, err := config.readBundle("bundle.yaml")
	assert.NilError(t, err)
	assert.Equal(t, moved.Services[0].Backends[0].Address, "127.0.0.1:31100")
	_, err = config.rebased("127.0.0.1:80")
	assert.ErrorContains(t, err, "not in the ports from 19000")
}

func TestImbalanceCountsIdleServers(t *testing.T) {
	rolled := bundle.Bundle{Team: "t", Services: []bundle.Service{{Name: "s", Backends: []bundle.Backend{{Name: "a"}, {Name: "b"}}}}}
	executions := []history.Execution{{Server: "t/s/a"}, {Server: "t/s/a"}, {Server: "t/s/a"}}
	assert.DeepEqual(t, imbalances(rolled, executions), []Imbalance{{Service: "t/s", MaxOverMean: 2}})
}

func TestSummaryTable(t *testing.T) {
	summary := Summary{
		Load: load.Report{
			Operations: 100, Succeeded: 99, Requests: 120, Pulls: 3, WholePulls: 3,
			Refusals:    []load.Refusal{{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonNoOwner, Count: 7}},
			Latency:     load.Latency{P50: 5 * time.Millisecond, P99: 40 * time.Millisecond},
			Unavailable: load.Unavailable{KeySeconds: 1.5, Longest: 900 * time.Millisecond, Keys: 4},
		},
		Steps:      []StepSummary{{Name: "steady", Begin: time.Second}, {Name: "kill", Begin: 2 * time.Second}},
		Imbalance:  []Imbalance{{Service: "t/s", MaxOverMean: 1.25}},
		Moves:      3,
		Slices:     56,
		Executions: 110,
	}
	summary.spread([]load.Span{{Key: "a", Begin: 1900 * time.Millisecond, End: 2100 * time.Millisecond}, {Key: "b", Begin: 2 * time.Second, End: 3 * time.Second}})
	assert.Assert(t, summary.succeeded())
	summary.Violations = []history.Violation{{Rule: history.RuleTwoOwners, Subject: "key-0", Detail: "two at once"}}
	assert.Assert(t, !summary.succeeded())
	assert.Assert(t, !Summary{}.succeeded())
	var written bytes.Buffer
	summary.write(&written)
	golden.Assert(t, written.String(), "summary.golden")
}
