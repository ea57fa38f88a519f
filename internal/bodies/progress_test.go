package bodies

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

// A body may take any total time up to the deadline of its request, as long as it makes progress.
func TestReaderFailsOnlyBelowMinimumProgress(t *testing.T) {
	for name, c := range map[string]struct {
		pieces     int
		bytes      int
		pause      time.Duration
		deadline   time.Duration
		failsAfter time.Duration
	}{
		"slow and steady":        {pieces: 60, bytes: 2 * MinRate, pause: time.Second, deadline: time.Hour},
		"long pauses":            {pieces: 5, bytes: 5 * MinRate, pause: 4 * time.Second, deadline: time.Hour},
		"silent":                 {pieces: 1, bytes: 100 * MinRate, pause: time.Hour, deadline: 2 * time.Hour, failsAfter: MaxStall},
		"below the minimum rate": {pieces: 60, bytes: MinRate / 2, pause: 900 * time.Millisecond, deadline: time.Hour, failsAfter: 10500 * time.Millisecond},
		"beyond the deadline":    {pieces: 60, bytes: 2 * MinRate, pause: time.Second, deadline: 7500 * time.Millisecond, failsAfter: 7500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routerConn, callerConn := net.Pipe()
				go func() {
					for range c.pieces {
						_, _ = callerConn.Write(make([]byte, c.bytes))
						clock.Sleep(t.Context(), c.pause)
					}
					_ = callerConn.Close()
				}()
				began := time.Now()
				_, err := io.Copy(io.Discard, NewReader(routerConn, began.Add(c.deadline), routerConn))
				if c.failsAfter == 0 {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
					assert.Equal(t, time.Since(began).Round(time.Millisecond), c.failsAfter)
				}
				_ = routerConn.Close()
			})
		})
	}
}

// Writing fails if the caller reads nothing for too long, but not if it reads slowly.
func TestWriterFailsOnlyIfClientStalls(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		fails bool
	}{"slow": {pause: time.Second}, "silent": {pause: time.Hour, fails: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routerConn, callerConn := net.Pipe()
				go func() {
					piece := make([]byte, 2*MinRate)
					for {
						if _, err := io.ReadFull(callerConn, piece); err != nil {
							return
						}
						clock.Sleep(t.Context(), c.pause)
					}
				}()
				to := NewWriter(routerConn, routerConn)
				var err error
				for range 20 {
					if _, err = to.Write(make([]byte, 2*MinRate)); err != nil {
						break
					}
				}
				assert.Equal(t, errors.Is(err, os.ErrDeadlineExceeded), c.fails)
				_ = routerConn.Close()
				_ = callerConn.Close()
			})
		})
	}
}

// The time that a body spends waiting for its worker or for the link does not count as a stall of
// the caller. It did, so that callers that sent and read at once were disconnected as stalled.
func TestTimeBetweenReadsAndWritesDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routerConn, callerConn := net.Pipe()
		go func() { _, _ = io.Copy(callerConn, callerConn) }()
		began := time.Now()
		from, to := NewReader(routerConn, began.Add(time.Hour), routerConn), NewWriter(routerConn, routerConn)
		piece := make([]byte, 1)
		for range 5 {
			time.Sleep(2 * MaxStall)
			_, err := to.Write(piece)
			assert.NilError(t, err)
			time.Sleep(2 * MaxStall)
			_, err = from.Read(piece)
			assert.NilError(t, err)
		}
		_ = routerConn.Close()
		_ = callerConn.Close()
	})
}
