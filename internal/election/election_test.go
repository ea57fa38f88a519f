package election

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/coord/memory"
	"github.com/shalefork/shalefork/internal/owner"
)

// candidate returns the election as seen by one process.
func candidate(store *memory.Store, name string) *Election {
	count := 0
	return New(store, "cell/", name+":1", "process-"+name, func() string {
		count++
		return fmt.Sprintf("%s-%d", name, count)
	})
}

func TestOnlyOneCandidateIsElected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		first, second := candidate(store, "a"), candidate(store, "b")
		tenure, err := first.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, tenure.Leader.Term, owner.Term(1))
		_, err = second.Campaign(t.Context(), 0)
		assert.ErrorIs(t, err, ErrOtherLeader)
		leader, found, err := second.CurrentLeader(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, leader.Address, "a:1")
		assert.Equal(t, leader.Process, "process-a")
		tenure.Resign(t.Context())
		next, err := second.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, next.Leader.Term, owner.Term(2))
	})
}

func TestEndedLeaderIsReplacedBeforeLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		_, err := candidate(store, "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		other := candidate(store, "b")
		leader, _, err := other.CurrentLeader(t.Context())
		assert.NilError(t, err)
		_, err = other.Campaign(t.Context(), leader.Revision)
		assert.NilError(t, err)
		_, err = candidate(store, "c").Campaign(t.Context(), leader.Revision)
		assert.ErrorIs(t, err, ErrOtherLeader, "the key belongs to a later leader")
		time.Sleep(2 * LeaseTTL) // the lease of the first leader expires
	})
}

func TestLostResponseIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.LoseAnswers(1, 0)
		election := candidate(store, "a")
		election.store = memory.TimeoutStore{Store: store, CommitTimeout: time.Second}
		tenure, err := election.Campaign(t.Context(), 0)
		assert.NilError(t, err)
		leader, _, err := election.CurrentLeader(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, leader.Revision, tenure.Leader.Revision)
	})
}

// A commit that is applied after its process gave up must not replace the next leader. The term has
// increased by then, so its condition fails.
func TestDelayedCommitDoesNotReplaceNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.LoseAnswers(1, 3*time.Second)
		slow := candidate(store, "a")
		slow.store = memory.TimeoutStore{Store: store, CommitTimeout: time.Second}
		_, err := slow.Campaign(t.Context(), 0)
		assert.Assert(t, err != nil)
		tenure, err := candidate(store, "b").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		go tenure.KeepAlive(t.Context())
		time.Sleep(5 * time.Second)
		leader, found, err := slow.CurrentLeader(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, leader.Address, "b:1")
		tenure.Resign(t.Context())
		synctest.Wait()
	})
}

func TestAuthorityEndsBeforeLeaseInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		tenure, err := candidate(store, "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		go tenure.KeepAlive(t.Context())
		time.Sleep(5 * time.Second)
		assert.Assert(t, time.Now().Before(tenure.AuthorityUntil()), "renewed")
		store.SetDown(true)
		down := time.Now()
		time.Sleep(LeaseTTL)
		assert.Assert(t, !time.Now().Before(tenure.AuthorityUntil()))
		assert.Assert(t, tenure.AuthorityUntil().Sub(down) < LeaseTTL)
		store.SetDown(false)
		select {
		case <-tenure.Ended(): // the lease expired during the outage
		case <-time.After(3 * time.Second):
			t.Fatal("the end of the lease was not noticed")
		}
	})
}

// Guards against a fault seen on a test day of the deployment Tawila (trouble-1, seed 12): after the
// leader was cut off from the service, the processes that waited for another leader did not notice
// its end for 2.8 s, since the service had dropped their one long watch without notice.
func TestLeaderChangeIsNoticedAfterDroppedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		_, err := candidate(store, "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		waiting := candidate(store, "b")
		leader, _, err := waiting.CurrentLeader(t.Context())
		assert.NilError(t, err)
		noticed := make(chan time.Time, 1)
		go func() {
			assert.Check(t, waiting.AwaitLeaderChange(t.Context(), leader))
			noticed <- time.Now()
		}()
		synctest.Wait()
		store.SetWatchesSilent(true)
		time.Sleep(LeaseTTL)
		store.SetWatchesSilent(false)
		expired := time.Now()
		assert.Assert(t, (<-noticed).Sub(expired) < 1500*time.Millisecond)
	})
}

// Guards against a fault seen on a test day (trouble-1 of tlb-gateway-large): when the service had
// discarded the history since the leader's election, each watch ended at once, and 94 processes made
// 1,200 calls in two seconds.
func TestAwaitLeaderChangeSurvivesDiscardedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		tenure, err := candidate(store, "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		go tenure.KeepAlive(t.Context())
		waiting := candidate(store, "b")
		leader, _, err := waiting.CurrentLeader(t.Context())
		assert.NilError(t, err)
		_, err = store.Commit(t.Context(), coord.Txn{Puts: []coord.Put{{Key: "other", Value: []byte("x")}}})
		assert.NilError(t, err)
		store.ForgetHistory()
		noticed := make(chan bool, 1)
		go func() { noticed <- waiting.AwaitLeaderChange(t.Context(), leader) }()
		time.Sleep(7 * watchTimeout)
		synctest.Wait()
		select {
		case <-noticed:
			t.Fatal("the leader still leads")
		default:
		}
		assert.Assert(t, store.Calls["watch"]+store.Calls["list"] <= 10, "%v", store.Calls)
		tenure.Resign(t.Context())
		assert.Assert(t, <-noticed)
	})
}

// The lease expires while the leader's machine is suspended, although its monotonic clock does not
// advance.
func TestSuspensionEndsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenure, err := candidate(memory.New(), "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, clock.Now().Before(tenure.AuthorityUntil()))
		defer clock.SimulateSuspension(2 * LeaseTTL)()
		assert.Assert(t, clock.Now().After(tenure.AuthorityUntil()))
	})
}
