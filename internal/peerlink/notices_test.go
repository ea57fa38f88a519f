package peerlink

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// limitFact returns a fact on a worker's limit.
func limitFact(id workers.ID, perSecond float64) workerlimit.Fact {
	return workerlimit.Fact{Worker: workers.Incarnation{ID: id}, Rate: perSecond, At: time.Now()}
}

// dialLink opens a link as a following process does.
func dialLink(t *testing.T, address string, hello Hello) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, writeLine(conn, hello))
	return conn, bufio.NewReader(conn)
}

func TestFirstUpdateContainsAllLimits(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	hub.Limits = workerlimit.NewTable().Table
	for index := range 200 {
		hub.Limits.Merge(limitFact(workers.ID(fmt.Sprint("w", index)), 2.5))
	}
	conn, reader := dialLink(t, address, Hello{Node: "n"})
	defer func() { _ = conn.Close() }()
	var first Update
	assert.NilError(t, readLine(reader, &first))
	assert.Equal(t, len(first.Limits), 200)
	hub.Limits.Merge(limitFact("w7", 9))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var update Update
		if err := readLine(reader, &update); err != nil {
			return poll.Error(err)
		}
		if len(update.Limits) == 0 {
			return poll.Continue("no limits yet")
		}
		assert.Equal(t, len(update.Limits), 1, "only changes are sent")
		assert.Equal(t, update.Limits[0].PerSecond, 9.0)
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func TestOnlyLeaderReturnsWorkerNotices(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	hub.Limits = workerlimit.NewTable().Table
	hub.Limits.Merge(limitFact("w", 2.5))
	hub.Leaving = facts.NewTable[departure.Fact]()
	hub.Leaving.Merge(departure.Fact{Worker: workers.Incarnation{ID: "v"}, Since: time.Now()})
	hub.SetBackoffs([]BackoffShare{{Worker: "u", Share: 0.5, RemainingMillis: 900}})
	notices, err := QueryNotices(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, len(notices.Limits), 1)
	assert.Equal(t, notices.Limits[0].PerSecond, 2.5)
	assert.Equal(t, len(notices.Leaving), 1)
	assert.Equal(t, notices.Leaving[0].Worker, workers.ID("v"))
	assert.DeepEqual(t, notices.Backoffs, []BackoffShare{{Worker: "u", Share: 0.5, RemainingMillis: 900}})
	hub.Close()
	_, err = QueryNotices(t.Context(), address)
	assert.ErrorIs(t, err, ErrNotLeading)
}

func TestPermitResponsesMatchRequests(t *testing.T) {
	hub, _, address := newLeadingHub(t, 3)
	hub.OnPermit(func(request PermitRequest) (Permit, bool) {
		return Permit{Number: request.Number, Granted: request.Limit.PerSecond > 1, WaitMillis: request.MaxWaitMillis}, true
	})
	var client PermitClient
	var requests sync.WaitGroup
	for index := range 100 {
		requests.Go(func() {
			request := PermitRequest{Limit: workerlimit.Message{Worker: "w", PerSecond: float64(index % 3)}, MaxWaitMillis: int64(index)}
			permit, err := client.Request(t.Context(), address, request)
			assert.Check(t, err)
			assert.Check(t, permit.WaitMillis == int64(index) && permit.Granted == (index%3 > 1))
		})
	}
	requests.Wait()
}

func TestPermitRequestFailsWithoutAnswer(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := silent.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	hub, _, other := newLeadingHub(t, 3)
	hub.OnPermit(func(PermitRequest) (Permit, bool) { return Permit{}, false })
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = closed.Close()
	for name, address := range map[string]string{
		"silent": silent.Addr().String(), "does not lead": other, "not listening": closed.Addr().String(),
	} {
		t.Run(name, func(t *testing.T) {
			var client PermitClient
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := client.Request(ctx, address, PermitRequest{})
			assert.ErrorContains(t, err, "")
			assert.Assert(t, err != nil)
		})
	}
	conn := <-accepted
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err, "a silent connection is closed")
}

func TestPermitClientReconnectsToNewLeader(t *testing.T) {
	var client PermitClient
	for number := range 3 {
		hub, _, address := newLeadingHub(t, 3)
		hub.OnPermit(func(request PermitRequest) (Permit, bool) {
			return Permit{Number: request.Number, WaitMillis: int64(number)}, true
		})
		permit, err := client.Request(t.Context(), address, PermitRequest{})
		assert.NilError(t, err)
		assert.Equal(t, permit.WaitMillis, int64(number))
	}
}
