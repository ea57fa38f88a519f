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

// candidate returns an election of one process.
func candidate(store *memory.Store, name string) *Election {
	count := 0
	return New(store, "cell/", name+":1", "process-"+name, func() string {
		count++
		return fmt.Sprintf("%s-%d", name, count)
	})
}

func TestOneOfTwoLeads(t *testing.T) {
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

func TestAnEndedLeaderIsReplacedBeforeItsLeaseEnds(t *testing.T) {
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
		assert.ErrorIs(t, err, ErrOtherLeader, "it replaced another leader's key")
		time.Sleep(2 * LeaseTTL) // the first one's lease ends
	})
}

func TestALostAnswerIsResolvedByReading(t *testing.T) {
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

// A commit that is done late wins nothing for a process that has given up: the
// term has moved on.
func TestALateCommitDoesNotUnseatTheNextLeader(t *testing.T) {
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

func TestAuthorityEndsBeforeTheLeaseInAnOutage(t *testing.T) {
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
		case <-tenure.Ended(): // the lease ran out meanwhile
		case <-time.After(3 * time.Second):
			t.Fatal("the end of the lease went unnoticed")
		}
	})
}

// Found on a day of Tawila (trouble-1, seed 12): the leader was cut from the service,
// and those who waited for another one heard nothing of it for 2.8 s: one long watch
// had been lost unseen.
func TestAnotherLeaderIsNoticedAlthoughAWatchWasLost(t *testing.T) {
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
		lapsed := time.Now()
		assert.Assert(t, (<-noticed).Sub(lapsed) < 1500*time.Millisecond)
	})
}

// Found on trouble-1 of tlb-gateway-large: the history between the leader's election and
// now was gone, so each wait ended at once, and 94 processes asked 1,200 times in two
// seconds.
func TestWaitingForAnotherLeaderOutlastsForgottenHistory(t *testing.T) {
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
		time.Sleep(7 * anotherWait)
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

// The lease goes on to end while a leader's machine is suspended, though its steady clock stands.
func TestASuspendedLeadersAuthorityEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenure, err := candidate(memory.New(), "a").Campaign(t.Context(), 0)
		assert.NilError(t, err)
		assert.Assert(t, clock.Now().Before(tenure.AuthorityUntil()))
		defer clock.Suspend(2 * LeaseTTL)()
		assert.Assert(t, clock.Now().After(tenure.AuthorityUntil()))
	})
}
