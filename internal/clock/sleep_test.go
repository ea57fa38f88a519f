package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.Assert(t, Sleep(t.Context(), time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !Sleep(ctx, time.Minute))
		assert.Equal(t, time.Since(began), 2*time.Second)
	})
}

func TestBackoffDoublesUpToItsLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backoff := Backoff{First: time.Second, Longest: 3 * time.Second}
		slept := func() time.Duration {
			began := time.Now()
			assert.Assert(t, backoff.Sleep(t.Context()))
			return time.Since(began)
		}
		for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
			assert.Equal(t, slept(), want)
		}
		backoff.Reset()
		assert.Equal(t, slept(), time.Second)
	})
}
