package bodies

import (
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// testMbps is the bandwidth of the link in megabits per second, testBytesPerSecond the same in
	// bytes per second.
	testMbps           = 10
	testBytesPerSecond = testMbps * bitsInMegabit / bitsInByte
	// window is the number of bytes of one connection that may be queued in front of the link.
	window = 64 << 10
)

// slowLink simulates a link that sends the data of all connections in the order of their writes.
type slowLink struct {
	mu     sync.Mutex
	idleAt time.Time
}

// linkConn is a connection over a slowLink. A write returns once at most window bytes are queued;
// end is when the last byte has been transferred.
type linkConn struct {
	link *slowLink
	end  time.Time
}

func (c *linkConn) Write(from []byte) (int, error) {
	c.link.mu.Lock()
	now := time.Now()
	if c.link.idleAt.Before(now) {
		c.link.idleAt = now
	}
	c.link.idleAt = c.link.idleAt.Add(time.Duration(float64(len(from)) / testBytesPerSecond * float64(time.Second)))
	c.end = c.link.idleAt
	c.link.mu.Unlock()
	time.Sleep(time.Until(c.end) - time.Duration(float64(window)/testBytesPerSecond*float64(time.Second)))
	return len(from), nil
}

// measureSmallAnswers returns the sorted transfer times of small answers of 2 kB, sent 50 times per
// second, while five downloads of 540 kB start together every 3 s. It also returns the time until
// all transfers have ended.
func measureSmallAnswers(t *testing.T, shaper *LinkShaper) (latencies []time.Duration, downloads time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		link, began := &slowLink{}, time.Now()
		var group sync.WaitGroup
		for round := range 4 {
			for range 5 {
				group.Go(func() {
					time.Sleep(time.Duration(round) * 3 * time.Second)
					conn := &linkConn{link: link}
					writer := shaper.NewWriter(t.Context(), conn)
					for range 540_000 / MaxSmall {
						_, _ = writer.Write(make([]byte, MaxSmall))
					}
					time.Sleep(time.Until(conn.end))
				})
			}
		}
		group.Go(func() {
			for time.Since(began) < 12*time.Second {
				conn, sent := &linkConn{link: link}, time.Now()
				shaper.RecordSent(2000)
				_, _ = conn.Write(make([]byte, 2000))
				latencies = append(latencies, conn.end.Sub(sent))
				time.Sleep(20 * time.Millisecond)
			}
		})
		group.Wait()
		downloads = time.Since(began)
	})
	slices.Sort(latencies)
	return latencies, downloads
}

// Small answers do not wait in a long queue: 99 of 100 wait for one or two slices instead of a
// window of each download. The last downloads end about a tenth later.
func TestSmallAnswersDoNotWaitBehindLargeOnes(t *testing.T) {
	without, endWithout := measureSmallAnswers(t, NewLinkShaper(0))
	with, endWith := measureSmallAnswers(t, NewLinkShaper(testMbps))
	p99 := func(latencies []time.Duration) time.Duration { return latencies[len(latencies)*99/100] }
	t.Logf("without shaping: p50 %s, p99 %s, end after %s; with shaping: p50 %s, p99 %s, end after %s",
		without[len(without)/2], p99(without), endWithout, with[len(with)/2], p99(with), endWith)
	assert.Assert(t, p99(without) > 5*p99(with))
	assert.Assert(t, p99(with) < 25*time.Millisecond)
	assert.Assert(t, float64(endWith) < 1.15*float64(endWithout))
}

// Several large bodies get equal shares of the link, except for the first slices, which are sent
// without waiting.
func TestLargeBodiesShareLinkEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shaper, began := NewLinkShaper(testMbps), time.Now()
		var mu sync.Mutex
		var ends []time.Duration
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() {
				writer := shaper.NewWriter(t.Context(), io.Discard)
				_, _ = writer.Write(make([]byte, 30*sliceSize))
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, time.Since(began))
			})
		}
		group.Wait()
		slice := time.Second * sliceSize / (linkShare * testBytesPerSecond)
		assert.Assert(t, slices.Max(ends)-slices.Min(ends) <= 5*slice, "%v", ends)
	})
}

func TestUnknownBandwidthIsNotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := NewLinkShaper(0).NewWriter(t.Context(), io.Discard).Write(make([]byte, 10<<20))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Small answers beyond the capacity of the link delay large bodies only up to maxBacklog. They
// counted without a limit: after 10 s of them, large bodies waited 12 s more for a link that was
// idle.
func TestSmallBodiesDelayLargeOnesByAtMostMaxBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shaper := NewLinkShaper(testMbps)
		for range 1000 { // twice the capacity of the link, for 10 s
			shaper.RecordSent(2 * testBytesPerSecond / 100)
			time.Sleep(10 * time.Millisecond)
		}
		began := time.Now()
		assert.Assert(t, shaper.Await(t.Context(), sliceSize))
		assert.Assert(t, time.Since(began) <= maxBacklog, "%s", time.Since(began))
	})
}
