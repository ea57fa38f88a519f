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

// limited is a fact on a worker's limit.
func limited(id workers.ID, perSecond float64) workerlimit.Fact {
	return workerlimit.Fact{Worker: workers.Life{ID: id}, Rate: perSecond, At: time.Now()}
}

// dialLink opens a link as a process that follows.
func dialLink(t *testing.T, address string, hello Hello) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, writeLine(conn, hello))
	return conn, bufio.NewReader(conn)
}

func TestFirstUpdateContainsAllLimits(t *testing.T) {
	hub, _, address := leading(t, 3)
	hub.Limits = workerlimit.NewTable().Table
	for index := range 200 {
		hub.Limits.Merge(limited(workers.ID(fmt.Sprint("w", index)), 2.5))
	}
	conn, reader := dialLink(t, address, Hello{Node: "n"})
	defer func() { _ = conn.Close() }()
	var first Update
	assert.NilError(t, readLine(reader, &first))
	assert.Equal(t, len(first.Limits), 200)
	hub.Limits.Merge(limited("w7", 9))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var update Update
		if err := readLine(reader, &update); err != nil {
			return poll.Error(err)
		}
		if len(update.Limits) == 0 {
			return poll.Continue("no news")
		}
		assert.Equal(t, len(update.Limits), 1, "changes alone are told")
		assert.Equal(t, update.Limits[0].PerSecond, 9.0)
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

func TestOnlyLeaderReturnsWorkerNotices(t *testing.T) {
	hub, _, address := leading(t, 3)
	hub.Limits = workerlimit.NewTable().Table
	hub.Limits.Merge(limited("w", 2.5))
	hub.Leaving = facts.NewTable[departure.Fact]()
	hub.Leaving.Merge(departure.Fact{Worker: workers.Life{ID: "v"}, Since: time.Now()})
	hub.SetBackoffs([]BackoffShare{{Worker: "u", Share: 0.5, RemainingMillis: 900}})
	told, err := QueryNotices(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, len(told.Limits), 1)
	assert.Equal(t, told.Limits[0].PerSecond, 2.5)
	assert.Equal(t, len(told.Leaving), 1)
	assert.Equal(t, told.Leaving[0].Worker, workers.ID("v"))
	assert.DeepEqual(t, told.Backoffs, []BackoffShare{{Worker: "u", Share: 0.5, RemainingMillis: 900}})
	hub.Close()
	_, err = QueryNotices(t.Context(), address)
	assert.ErrorIs(t, err, ErrNotLeading)
}

func TestPermitResponsesMatchRequests(t *testing.T) {
	hub, _, address := leading(t, 3)
	hub.OnPermit(func(ask PermitRequest) (Permit, bool) {
		return Permit{Number: ask.Number, Granted: ask.Limit.PerSecond > 1, WaitMillis: ask.MaxWaitMillis}, true
	})
	var l PermitClient
	var asking sync.WaitGroup
	for index := range 100 {
		asking.Go(func() {
			ask := PermitRequest{Limit: workerlimit.Message{Worker: "w", PerSecond: float64(index % 3)}, MaxWaitMillis: int64(index)}
			permit, err := l.Request(t.Context(), address, ask)
			assert.Check(t, err)
			assert.Check(t, permit.WaitMillis == int64(index) && permit.Granted == (index%3 > 1))
		})
	}
	asking.Wait()
}

func TestPermitRequestTimesOutWithoutResponse(t *testing.T) {
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
	hub, _, other := leading(t, 3)
	hub.OnPermit(func(PermitRequest) (Permit, bool) { return Permit{}, false })
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = nobody.Close()
	for name, address := range map[string]string{
		"silent": silent.Addr().String(), "does not lead": other, "not there": nobody.Addr().String(),
	} {
		t.Run(name, func(t *testing.T) {
			var l PermitClient
			bounded, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := l.Request(bounded, address, PermitRequest{})
			assert.ErrorContains(t, err, "")
			assert.Assert(t, err != nil)
		})
	}
	conn := <-accepted
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err, "a connection that is silent is given up")
}

func TestPermitClientReconnectsToNewLeader(t *testing.T) {
	var l PermitClient
	for number := range 3 {
		hub, _, address := leading(t, 3)
		hub.OnPermit(func(ask PermitRequest) (Permit, bool) {
			return Permit{Number: ask.Number, WaitMillis: int64(number)}, true
		})
		permit, err := l.Request(t.Context(), address, PermitRequest{})
		assert.NilError(t, err)
		assert.Equal(t, permit.WaitMillis, int64(number))
	}
}
