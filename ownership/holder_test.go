package ownership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const hold = 3 * time.Second

var all = Keys{From: 0, To: KeyCount - 1}

func TestGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		before  []Grant
		grant   Grant
		want    Outcome
		holdsAt map[time.Duration]bool
	}{
		"first": {
			grant: Grant{Keys: all, Fence: 1, Hold: hold}, want: Taken,
			holdsAt: map[time.Duration]bool{0: true, hold - 1: true, hold: false},
		},
		"again renews": {
			before: []Grant{{Keys: all, Fence: 1, Hold: hold / 2}},
			grant:  Grant{Keys: all, Fence: 1, Hold: hold}, want: Taken,
			holdsAt: map[time.Duration]bool{hold - 1: true},
		},
		"shorter hold than before": {
			before: []Grant{{Keys: all, Fence: 1, Hold: hold}},
			grant:  Grant{Keys: all, Fence: 2, Hold: time.Second}, want: Taken,
			holdsAt: map[time.Duration]bool{time.Second: false},
		},
		"lower than the fence of one key": {
			before: []Grant{{Keys: Keys{From: 7, To: 7}, Fence: 5, Hold: hold}},
			grant:  Grant{Keys: all, Fence: 4, Hold: hold}, want: Fenced,
			holdsAt: map[time.Duration]bool{0: true},
		},
		"empty range":         {grant: Grant{Keys: Keys{From: 7, To: 6}, Fence: 1, Hold: hold}, want: Invalid},
		"beyond":              {grant: Grant{Keys: Keys{From: 7, To: KeyCount}, Fence: 1, Hold: hold}, want: Invalid},
		"no duration":         {grant: Grant{Keys: all, Fence: 1}, want: Invalid},
		"range without key 7": {grant: Grant{Keys: Keys{From: 8, To: 9}, Fence: 1, Hold: hold}, want: Taken, holdsAt: map[time.Duration]bool{0: false}},
	} {
		t.Run(name, func(t *testing.T) {
			holder := NewHolder()
			for _, earlier := range test.before {
				assert.Equal(t, holder.Grant(now, earlier), Taken)
			}
			assert.Equal(t, holder.Grant(now, test.grant), test.want)
			for after, held := range test.holdsAt {
				assert.Equal(t, holder.Holds(now.Add(after), 7), held, after.String())
			}
		})
	}
}

func TestReleaseWaitsForWorkAndRaisesTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := NewHolder()
		assert.Equal(t, holder.Grant(time.Now(), Grant{Keys: all, Fence: 1, Hold: hold}), Taken)
		work, held := holder.Begin(time.Now(), 7)
		assert.Assert(t, held)
		began := time.Now()
		time.AfterFunc(time.Second, work.End)
		assert.NilError(t, holder.Release(t.Context(), Keys{From: 0, To: 6}, 9))
		assert.Equal(t, time.Since(began), time.Duration(0), "release must not wait for work on other keys")
		assert.NilError(t, holder.Release(t.Context(), Keys{From: 7, To: 8}, 9))
		assert.Equal(t, time.Since(began), time.Second)
		_, held = holder.Begin(time.Now(), 7)
		assert.Assert(t, !held)
		assert.Equal(t, holder.Grant(time.Now(), Grant{Keys: Keys{From: 8, To: 8}, Fence: 8, Hold: hold}), Fenced, "a delayed grant is rejected")
	})
}

func TestReleaseReturnsWhenContextEnds(t *testing.T) {
	holder := NewHolder()
	now := time.Now()
	holder.Grant(now, Grant{Keys: all, Fence: 1, Hold: time.Hour})
	_, held := holder.Begin(now, 7)
	assert.Assert(t, held)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, errors.Is(holder.Release(ctx, all, 2), context.Canceled))
	assert.Assert(t, !holder.Holds(now, 7), "the keys are released nevertheless")
	assert.NilError(t, holder.Release(t.Context(), Keys{From: 9, To: 8}, 3))
}

// The effect of work must be discarded if the hold expired or the key was granted again with another
// fence while the work was in progress, such as during a pause of the process or a move of the key.
func TestWorkIsNotStillHeldAfterGrantEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := NewHolder()
	holder.Grant(now, Grant{Keys: all, Fence: 1, Hold: hold})
	work, _ := holder.Begin(now, 7)
	assert.Assert(t, work.StillHeld(now))
	assert.Assert(t, !work.StillHeld(now.Add(hold)), "the grant has expired")
	holder.Grant(now, Grant{Keys: all, Fence: 2, Hold: hold})
	assert.Assert(t, !work.StillHeld(now), "the key is held with another fence")
	work.End()
	work.End()
	assert.NilError(t, holder.Release(t.Context(), all, 3))
}
