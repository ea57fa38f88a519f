package grantlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// slowWorkers take a second to reply to a grant.
type slowWorkers struct{ grants int }

func (s *slowWorkers) Grant(context.Context, owner.Target, owner.Grant) owner.Reply {
	s.grants++
	time.Sleep(time.Second)
	return owner.Reply{Outcome: owner.OutcomeDone}
}

func (s *slowWorkers) Release(context.Context, owner.Target, owner.KeyRange, owner.Fence) owner.Reply {
	return owner.Reply{Outcome: owner.OutcomeDone}
}

// The age of a grant counts from its end: until then the worker may accept it.
func TestAgeCountsFromTheEndOfAGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := New(&slowWorkers{})
		ask := func() map[workers.ID]time.Duration { return log.Ages(clock.Now(), []workers.ID{"w", "other"}) }
		assert.Equal(t, len(ask()), 0)
		go log.Grant(t.Context(), owner.Target{ID: "w"}, owner.Grant{})
		time.Sleep(500 * time.Millisecond)
		assert.DeepEqual(t, ask(), map[workers.ID]time.Duration{"w": 0})
		time.Sleep(2500 * time.Millisecond)
		assert.DeepEqual(t, ask(), map[workers.ID]time.Duration{"w": 2 * time.Second})
		log.Release(t.Context(), owner.Target{ID: "other"}, owner.KeyRange{}, 1)
		assert.Equal(t, len(ask()), 1, "a release gives a worker no keys")
	})
}

// A process that has told a later leader the ages of its grants must send no more of them.
func TestSupersededGrantsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := &slowWorkers{}
		log := New(sent)
		log.Supersede(3)
		reply := log.Grant(t.Context(), owner.Target{ID: "w"}, owner.Grant{Fence: owner.Term(3).FirstFence() - 1})
		assert.Equal(t, reply.Outcome, owner.OutcomeUnreachable)
		assert.Equal(t, sent.grants, 0)
		assert.Equal(t, len(log.Ages(clock.Now(), []workers.ID{"w"})), 0)
		reply = log.Grant(t.Context(), owner.Target{ID: "w"}, owner.Grant{Fence: owner.Term(3).FirstFence()})
		assert.Equal(t, reply.Outcome, owner.OutcomeDone)
	})
}

// refusingWorkers refuse connections, apart from the first one.
type refusingWorkers struct {
	slowWorkers
	acceptsFirst bool
}

func (r *refusingWorkers) Grant(ctx context.Context, to owner.Target, grant owner.Grant) owner.Reply {
	if r.acceptsFirst && r.grants == 0 {
		return r.slowWorkers.Grant(ctx, to, grant)
	}
	time.Sleep(time.Second)
	return owner.Reply{Outcome: owner.OutcomeUnreachable}
}

// Guards against a fault: grants that were refused connections counted as sent, so that under the next
// leader keys waited for the hold of a worker that had crashed before its first grant.
func TestRefusedGrantsHaveNoAge(t *testing.T) {
	for name, test := range map[string]struct {
		acceptsFirst bool
		ages         map[workers.ID]time.Duration
	}{
		"never reached": {ages: map[workers.ID]time.Duration{}},
		"reached once":  {acceptsFirst: true, ages: map[workers.ID]time.Duration{"w": 2 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := New(&refusingWorkers{acceptsFirst: test.acceptsFirst})
				for range 3 {
					log.Grant(t.Context(), owner.Target{ID: "w"}, owner.Grant{})
				}
				assert.DeepEqual(t, log.Ages(clock.Now(), []workers.ID{"w"}), test.ages)
			})
		})
	}
}

func TestOldGrantsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := New(&slowWorkers{})
		for _, worker := range []workers.ID{"a", "b"} {
			log.Grant(t.Context(), owner.Target{ID: worker}, owner.Grant{})
			time.Sleep(2 * retention)
		}
		assert.Equal(t, len(log.grants), 1)
	})
}
