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

// A body is judged by its progress, however long it takes as a whole.
func TestABodyIsJudgedByItsProgress(t *testing.T) {
	for name, c := range map[string]struct {
		pieces int
		bytes  int
		pause  time.Duration
		last   time.Duration
		ends   time.Duration
	}{
		"slow and steady":    {pieces: 60, bytes: 2 * MinRate, pause: time.Second, last: time.Hour},
		"long pauses":        {pieces: 5, bytes: 5 * MinRate, pause: 4 * time.Second, last: time.Hour},
		"silent":             {pieces: 1, bytes: 100 * MinRate, pause: time.Hour, last: 2 * time.Hour, ends: MaxStall},
		"below the floor":    {pieces: 60, bytes: MinRate / 2, pause: 900 * time.Millisecond, last: time.Hour, ends: 10500 * time.Millisecond},
		"beyond its request": {pieces: 60, bytes: 2 * MinRate, pause: time.Second, last: 7500 * time.Millisecond, ends: 7500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, caller := net.Pipe()
				go func() {
					for range c.pieces {
						_, _ = caller.Write(make([]byte, c.bytes))
						clock.Sleep(t.Context(), c.pause)
					}
					_ = caller.Close()
				}()
				began := time.Now()
				_, err := io.Copy(io.Discard, NewReader(ours, began.Add(c.last), ours))
				if c.ends == 0 {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
					assert.Equal(t, time.Since(began).Round(time.Millisecond), c.ends)
				}
				_ = ours.Close()
			})
		})
	}
}

// A caller who reads nothing for a while is given up; one that reads slowly is not.
func TestAReaderIsJudgedByItsProgress(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		fails bool
	}{"slow": {pause: time.Second}, "silent": {pause: time.Hour, fails: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, caller := net.Pipe()
				go func() {
					piece := make([]byte, 2*MinRate)
					for {
						if _, err := io.ReadFull(caller, piece); err != nil {
							return
						}
						clock.Sleep(t.Context(), c.pause)
					}
				}()
				to := NewWriter(ours, ours)
				var err error
				for range 20 {
					if _, err = to.Write(make([]byte, 2*MinRate)); err != nil {
						break
					}
				}
				assert.Equal(t, errors.Is(err, os.ErrDeadlineExceeded), c.fails)
				_ = ours.Close()
				_ = caller.Close()
			})
		})
	}
}

// A body waits for its worker too, and for its turn on the link: that is not held against its
// caller, who was cut as silent, though it sent and took at once.
func TestWhatTheRouterWaitsForIsNotHeldAgainstTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, caller := net.Pipe()
		go func() { _, _ = io.Copy(caller, caller) }()
		began := time.Now()
		from, to := NewReader(ours, began.Add(time.Hour), ours), NewWriter(ours, ours)
		piece := make([]byte, 1)
		for range 5 {
			time.Sleep(2 * MaxStall)
			_, err := to.Write(piece)
			assert.NilError(t, err)
			time.Sleep(2 * MaxStall)
			_, err = from.Read(piece)
			assert.NilError(t, err)
		}
		_ = ours.Close()
		_ = caller.Close()
	})
}
