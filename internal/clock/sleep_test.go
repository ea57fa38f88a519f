package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleepEndsAfterDurationOrWithContext(t *testing.T) {
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

func TestBackoffDoublesUpToMax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backoff := Backoff{Initial: time.Second, Max: 3 * time.Second}
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

func TestBackoffDeductsDurationOfCall(t *testing.T) {
	for name, c := range map[string]struct{ elapsed, slept time.Duration }{
		"refused at once":        {slept: 3 * time.Second},
		"took part of the delay": {elapsed: 500 * time.Millisecond, slept: 2500 * time.Millisecond},
		"took most of the delay": {elapsed: 2500 * time.Millisecond, slept: time.Second},
		"took longer":            {elapsed: time.Minute, slept: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backoff := Backoff{Initial: time.Second, Max: 3 * time.Second}
				backoff.Sleep(t.Context())
				backoff.Sleep(t.Context())
				began := time.Now()
				backoff.SleepAfter(t.Context(), c.elapsed)
				assert.Equal(t, time.Since(began), c.slept)
			})
		})
	}
}
