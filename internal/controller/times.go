package controller

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/settings"
)

// Periods that need no setting.
const (
	// ticksPerHeartbeat is how often the loop lets time pass for the pure
	// packages; consensus asks for at least four.
	ticksPerHeartbeat = 4
	// platformTimeout bounds one call of the platform's service.
	platformTimeout = 2 * time.Second
	// presenceTTL is the life of a controller's presence without renewal. Whoever
	// picks a controller by its presence asks it first, so that a presence which
	// outlives its process costs one question. Only a cell's first group is formed
	// without asking; it replaces a member that it never heard.
	presenceTTL = 30 * time.Second
	// settledPoll and unsettledPoll are the periods at which the group record
	// is read, with and without a leader. A settled controller needs no reading
	// to react: a member hears of a change from the log, a chosen standby from the
	// leader's first message, and whoever loses its leader or its stream is
	// unsettled at once.
	settledPoll   = 20 * time.Second
	unsettledPoll = 500 * time.Millisecond
	// machinePoll is the period at which the leader reads the machine list.
	machinePoll = time.Second
	// checkpointEvery is the shortest time between two checkpoints.
	checkpointEvery = time.Second
	// tableHeartbeat is the period of heartbeat lines in a table stream.
	tableHeartbeat = time.Second
	// planEvery is the longest time between two plans of a leader.
	planEvery = 100 * time.Millisecond
	// shutdownTimeout bounds the end of open requests at a planned stop.
	shutdownTimeout = 5 * time.Second
	// rollRetry is the period at which the leader looks at the heads again.
	rollRetry = time.Second
)

// times are the settings' times with defaults filled in.
type times struct {
	grant        time.Duration
	renew        time.Duration
	poolGrant    time.Duration
	poolRenew    time.Duration
	heartbeat    time.Duration
	electionMin  time.Duration
	electionMax  time.Duration
	lease        time.Duration
	driftMargin  time.Duration
	replaceAfter time.Duration
	reformAfter  time.Duration
}

func newTimes(from settings.Times) times {
	fallback := settings.DefaultTimes()
	t := times{
		grant:        orDefault(from.Grant, fallback.Grant),
		renew:        orDefault(from.Renew, fallback.Renew),
		poolGrant:    orDefault(from.PoolGrant, fallback.PoolGrant),
		poolRenew:    orDefault(from.PoolRenew, fallback.PoolRenew),
		heartbeat:    orDefault(from.Heartbeat, fallback.Heartbeat),
		electionMin:  orDefault(from.ElectionMin, fallback.ElectionMin),
		electionMax:  orDefault(from.ElectionMax, fallback.ElectionMax),
		lease:        orDefault(from.LeaderLease, fallback.LeaderLease),
		driftMargin:  orDefault(from.DriftMargin, fallback.DriftMargin),
		replaceAfter: orDefault(from.ReplaceAfter, fallback.ReplaceAfter),
		reformAfter:  orDefault(from.ReformAfter, fallback.ReformAfter),
	}
	t.reformAfter = max(t.reformAfter, electionsBeforeReform*t.electionMax)
	return t
}

// electionsBeforeReform is how many elections a group may try before it can be
// replaced. With less, each generation would end in its first election.
const electionsBeforeReform = 3

func orDefault(value, fallback bundle.Duration) time.Duration {
	if value == 0 {
		return fallback.Std()
	}
	return value.Std()
}

// oldGrantsEnd is how long after the last proof that a generation ended its
// grants can still run. A lost member may have acknowledged the old leader just
// before it was lost, so the leadership lease counts from then, and a grant
// from the end of that lease at the latest.
func (t times) oldGrantsEnd() time.Duration {
	return t.lease + t.grant + 2*t.driftMargin
}
