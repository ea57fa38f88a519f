package estimate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoffShare(t *testing.T) {
	now := time.Unix(1000, 0)
	var b Backoffs
	assert.Equal(t, b.Share(now, 10), 0.0)
	assert.Assert(t, !b.IsRecent(now))
	b.Add(now, 2, 6*time.Second)
	b.Add(now.Add(time.Second), 3, 3*time.Second)
	assert.Equal(t, b.Share(now.Add(time.Second), 10), 0.5)
	assert.Equal(t, b.Share(now.Add(2500*time.Millisecond), 10), 0.2)
	assert.Equal(t, b.Share(now.Add(4*time.Second), 10), 0.0)
	assert.Assert(t, b.IsRecent(now.Add(4*time.Second)), "most workers ask for another backoff")
	assert.Assert(t, !b.IsRecent(now.Add(9*time.Second)))
	assert.Equal(t, len(b.ends), 0)
}

func TestBackoffShareIsAtMostOne(t *testing.T) {
	var b Backoffs
	now := time.Unix(1000, 0)
	b.Add(now, 30, time.Minute)
	assert.Equal(t, b.Share(now, 10), 1.0)
	assert.Equal(t, b.Share(now, 0), 1.0)
	b.Add(now, 0, time.Minute)
	b.Add(now, 1, 0)
	assert.Equal(t, b.Share(now, 60), 0.5)
}
