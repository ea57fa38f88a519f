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
	// narrowMbps is a machine's link, and narrowRate the same in bytes a second.
	narrowMbps = 10
	narrowRate = narrowMbps * bitsInMegabit / bitsInByte
	// window is how many bytes of one connection may wait in front of the link.
	window = 64 << 10
)

// narrow is a link that sends what all connections give it in the order in which it came.
type narrow struct {
	mu   sync.Mutex
	free time.Time
}

// connection is one of a link's; a write returns once its bytes are within the window, and
// end is when the last of them has crossed.
type connection struct {
	link *narrow
	end  time.Time
}

func (c *connection) Write(from []byte) (int, error) {
	c.link.mu.Lock()
	now := time.Now()
	if c.link.free.Before(now) {
		c.link.free = now
	}
	c.link.free = c.link.free.Add(time.Duration(float64(len(from)) / narrowRate * float64(time.Second)))
	c.end = c.link.free
	c.link.mu.Unlock()
	time.Sleep(time.Until(c.end) - time.Duration(float64(window)/narrowRate*float64(time.Second)))
	return len(from), nil
}

// smallBeside returns the sorted times that small answers of 2 kB take, 50 a second, beside
// five downloads of 540 kB that begin at once every 3 s.
func smallBeside(t *testing.T, turns *LinkShaper) (times []time.Duration, downloads time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		link, began := &narrow{}, time.Now()
		var wait sync.WaitGroup
		for round := range 4 {
			for range 5 {
				wait.Go(func() {
					time.Sleep(time.Duration(round) * 3 * time.Second)
					one := &connection{link: link}
					paced := turns.NewWriter(t.Context(), one)
					for range 540_000 / MaxSmall {
						_, _ = paced.Write(make([]byte, MaxSmall))
					}
					time.Sleep(time.Until(one.end))
				})
			}
		}
		wait.Go(func() {
			for time.Since(began) < 12*time.Second {
				one, sent := &connection{link: link}, time.Now()
				turns.RecordSent(2000)
				_, _ = one.Write(make([]byte, 2000))
				times = append(times, one.end.Sub(sent))
				time.Sleep(20 * time.Millisecond)
			}
		})
		wait.Wait()
		downloads = time.Since(began)
	})
	slices.Sort(times)
	return times, downloads
}

// Small answers find no long queue in front of the link: 99 of 100 wait for one slice or two
// in place of a window of each download. The last downloads end about a tenth later.
func TestSmallAnswersDoNotWaitBehindLargeOnes(t *testing.T) {
	before, endBefore := smallBeside(t, NewLinkShaper(0))
	after, endAfter := smallBeside(t, NewLinkShaper(narrowMbps))
	p99 := func(times []time.Duration) time.Duration { return times[len(times)*99/100] }
	t.Logf("p50 %s, p99 %s, all ends %s without turns; p50 %s, p99 %s, all ends %s with them",
		before[len(before)/2], p99(before), endBefore, after[len(after)/2], p99(after), endAfter)
	assert.Assert(t, p99(before) > 5*p99(after))
	assert.Assert(t, p99(after) < 25*time.Millisecond)
	assert.Assert(t, float64(endAfter) < 1.15*float64(endBefore))
}

// Each of several large bodies gets the same share of the link, but for the first slices, which
// wait for nobody.
func TestLargeBodiesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns, began := NewLinkShaper(narrowMbps), time.Now()
		var mu sync.Mutex
		var ends []time.Duration
		var wait sync.WaitGroup
		for range 3 {
			wait.Go(func() {
				paced := turns.NewWriter(t.Context(), io.Discard)
				_, _ = paced.Write(make([]byte, 30*sliceBytes))
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, time.Since(began))
			})
		}
		wait.Wait()
		slice := time.Second * sliceBytes / (linkShare * narrowRate)
		assert.Assert(t, slices.Max(ends)-slices.Min(ends) <= 5*slice, "%v", ends)
	})
}

func TestNobodyWaitsOnALinkOfUnknownWidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := NewLinkShaper(0).NewWriter(t.Context(), io.Discard).Write(make([]byte, 10<<20))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Small answers beyond what the link bears counted against large bodies without end: 10 s of them
// kept large bodies off a link that was idle afterwards for 12 s more.
func TestLargeBodiesWaitForNoMoreThanTheLinkHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := NewLinkShaper(narrowMbps)
		for range 1000 { // twice what the link bears, for 10 s
			turns.RecordSent(2 * narrowRate / 100)
			time.Sleep(10 * time.Millisecond)
		}
		began := time.Now()
		assert.Assert(t, turns.Await(t.Context(), sliceBytes))
		assert.Assert(t, time.Since(began) <= longestBacklog, "%s", time.Since(began))
	})
}
