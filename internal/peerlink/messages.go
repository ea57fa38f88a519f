// Package peerlink is what the router processes say to one another: the leader
// streams who owns which keys, the others report how often keys are asked for. Where
// there are many processes, one relay in each zone stands between (see Hub.RelayUpdate).
//
// Each message is one line of JSON over TCP. The side that dials sends a Hello
// and then Reports; the leader answers with Updates. A process that does not
// lead answers a Hello with an Update that says so and closes.
package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// Hello opens a link.
type Hello struct {
	// Node names the process that dials.
	Node string `json:"node"`
	// Ask says that only the answer to "do you lead?" is wanted.
	QueryOnly bool `json:"ask,omitempty"`
	// Term of the process that asks, if it leads: a leader of an earlier term
	// stops before it answers.
	Term owner.Term `json:"term,omitempty"`
	// Entries is the revision up to which the process has read the workers' entries.
	Entries coord.Revision `json:"entries,omitempty"`
	// ListAfter is the last worker of a list that the process was told in part, and ListAt is
	// the revision as of which it was: another process goes on from there.
	ListAfter workers.ID     `json:"list_after,omitempty"`
	ListAt    coord.Revision `json:"list_at,omitempty"`
	// Config is the revision of the configuration that the process has read.
	Config coord.Revision `json:"config,omitempty"`
	// Strength of the process's machine.
	Strength float64 `json:"strength,omitempty"`
	// Address at which the process answers questions, its Zone, and a name that is
	// unique to its life.
	Address string `json:"address,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Process string `json:"process,omitempty"`
	// Avoid is the address of a relay that the process has lost, and Followers is how
	// many processes follow it.
	Avoid     string `json:"avoid,omitempty"`
	Followers int    `json:"followers,omitempty"`
	// Changes says that the process takes changes of suspected requests.
	SuspectChanges bool `json:"changes,omitempty"`
	// Limits says that the answer is to tell the limits that workers name, and what else they say of
	// themselves.
	WorkerNotices bool `json:"limits,omitempty"`
	// Permits says that the process asks for permits on this link, and nothing else. Ask is set
	// too, so that a leader which knows no permits ends the link.
	Permits bool `json:"permits,omitempty"`
	// Nodes is how many processes there were when the process heard last, so that a new
	// leader knows before all are linked.
	Nodes int `json:"nodes,omitempty"`
}

// Update is what the leader says. An Update without services is a heartbeat.
type Update struct {
	// Leading is false in the answer of a process that does not lead.
	Leading bool `json:"l"`
	// Process is unique to the life of the process that answers.
	Process string     `json:"p,omitempty"`
	Term    owner.Term `json:"t"`
	// Relayed says that the sender is a relay, which passes on what a leader has told
	// it, AgeMillis ago; Leaderless that it has lost that leader.
	Relayed    bool  `json:"r,omitempty"`
	AgeMillis  int64 `json:"a,omitempty"`
	Leaderless bool  `json:"o,omitempty"`
	// Hops is how many processes have passed on what is said.
	Hops int `json:"j,omitempty"`
	// Redirect is the address of the process to follow instead; empty: none.
	Redirect string `json:"v,omitempty"`
	// Followed is the address of the leader that a process follows which does not lead.
	FollowedLeader string `json:"h,omitempty"`
	// Peers are addresses of some other processes.
	Peers []string `json:"i,omitempty"`
	// Links is how many processes are linked to the sender.
	Links int `json:"m,omitempty"`
	// Doubtful says that the leader does not reach the key-value service: another
	// may lead.
	LeadershipUncertain bool `json:"d,omitempty"`
	// Nodes is how many processes there are, the leader included.
	Nodes int `json:"n,omitempty"`
	// Known is what the leader has read from the key-value service, so that a
	// process whose watch was lost sees that it lags.
	ReadState ReadState `json:"k"`
	// Deaf says that the leader has not reached the key-value service lately: the
	// others look for changes themselves.
	StoreUnreachable bool `json:"f,omitempty"`
	// Strongest is the greatest strength of the linked processes' machines.
	Strongest float64 `json:"b,omitempty"`
	// Entries are changes of workers' entries, or a list of all that one message holds, and Page
	// is a part of a list that takes several.
	Entries *EntryChanges `json:"e,omitempty"`
	Page    *EntryChanges `json:"g,omitempty"`
	// Config is told when it is newer than what the process has.
	Config   *ConfigChanges  `json:"c,omitempty"`
	Services []ServiceOwners `json:"z,omitempty"`
	// Mandate is for a standby only.
	Mandate *Mandate `json:"y,omitempty"`
	// SuspectsChanged is what has changed of the requests that were under way at crashes,
	// packed. Suspects are all of them instead, for processes that take no changes.
	SuspectChanges []byte `json:"x,omitempty"`
	Suspects       []byte `json:"q,omitempty"`
	// Quota is what processes may have run of tenants' requests, for the receiver and for
	// those that it has told of.
	Quota []quota.Grant `json:"u,omitempty"`
	// Limits are what has become known of the limits that workers name.
	Limits []workerlimit.Message `json:"w,omitempty"`
	// Leaving are workers that say in their answers that they leave.
	Leaving []departure.Message `json:"s,omitempty"`
	// Backoffs are told to operators only.
	Backoffs []BackoffShare `json:"bo,omitempty"`
}

// Age is for how long a relay may not have heard what the leader knows.
func (u Update) Age() time.Duration { return time.Duration(u.AgeMillis) * time.Millisecond }

// Stale reports whether what a relay says is too old to rely on.
func (u Update) Stale() bool { return u.Age() > SilenceLimit }

// Mandate lets a standby renew what is held, should it lose the leader.
type Mandate struct {
	// Stamp is the last one of the standby's reports, and LeftMillis for how long
	// after it the leave lasts. The standby sent the stamp before, so its leave ends
	// no later than the leader reckons, however long this message took.
	Stamp           int64 `json:"t"`
	RemainingMillis int64 `json:"l"`
	// Services whose holds have changed.
	Services []ServiceHolds `json:"s,omitempty"`
}

// ServiceHolds are all that is held of a service.
type ServiceHolds struct {
	Service routing.ServiceName `json:"s"`
	Version uint64              `json:"v"`
	Workers []NamedWorker       `json:"i"`
	// Runs are packed rows of first key, last key, place of the worker, and fence.
	Runs []byte `json:"r"`
}

// EncodeHolds writes holds as a message.
func EncodeHolds(service routing.ServiceName, version uint64, holds []owner.Hold) ServiceHolds {
	described := ServiceHolds{Service: service, Version: version}
	runs := make([][4]int64, 0, len(holds))
	places := map[workers.ID]int{}
	for _, one := range holds {
		place, named := places[one.Target.ID]
		if !named {
			place = len(described.Workers)
			places[one.Target.ID] = place
			described.Workers = append(described.Workers, NamedWorker{ID: one.Target.ID, Address: one.Target.Address, Born: one.Target.Incarnation})
		}
		runs = append(runs, [4]int64{int64(one.Keys.From), int64(one.Keys.To), int64(place), int64(one.Fence)})
	}
	described.Runs = pack(runs)
	return described
}

// Holds returns the holds that the message describes; false if it can't be read, or
// names a worker that it has not introduced.
func (h ServiceHolds) Holds() ([]owner.Hold, bool) {
	var runs [][4]int64
	if unpack(h.Runs, &runs) != nil {
		return nil, false
	}
	holds := make([]owner.Hold, 0, len(runs))
	for _, run := range runs {
		if run[2] < 0 || run[2] >= int64(len(h.Workers)) {
			return nil, false
		}
		of := h.Workers[run[2]]
		holds = append(holds, owner.Hold{
			Keys: owner.KeyRange{From: int(run[0]), To: int(run[1])}, Target: owner.Target{ID: of.ID, Address: of.Address, Incarnation: of.Born},
			Fence: owner.Fence(run[3]),
		})
	}
	return holds, true
}

// ConfigChanges tells what the operators have written, as of a revision.
type ConfigChanges struct {
	Revision coord.Revision `json:"r"`
	// AgeMillis is for how long the first process has known that, and Undated that it cannot
	// tell since when any of it stands, since it has found it in a list.
	AgeMillis  int64 `json:"a,omitempty"`
	AgeUnknown bool  `json:"u,omitempty"`
	// Packed are the items that have changed since what the process has, and Keys are
	// those of all that stand.
	Packed []byte   `json:"p"`
	Keys   []string `json:"s"`
}

// Items returns the items that have changed.
func (c ConfigChanges) Items() ([]coord.Item, error) {
	var items []coord.Item
	err := unpack(c.Packed, &items)
	return items, err
}

// Since returns since when what is told may stand, as it is heard at a time; the zero time if
// that is not known.
func (c ConfigChanges) KnownSince(now time.Time) time.Time {
	if c.AgeUnknown {
		return time.Time{}
	}
	return now.Add(-time.Duration(max(0, c.AgeMillis)) * time.Millisecond)
}

// Known are the last changes that a process has read, by what they are of.
type ReadState struct {
	Config  coord.Revision `json:"c"`
	Workers coord.Revision `json:"w"`
	// SettleMillis is for how long entries that vanish may have lapsed only, since the
	// service was away.
	SettleMillis int64 `json:"s,omitempty"`
	// Steady says that the leader has reached the service for long enough: what it does not
	// know any longer is gone, also for a process that was cut off from the service itself.
	Settled bool `json:"y,omitempty"`
}

// ServiceOwners tells owners of one service.
type ServiceOwners struct {
	Service routing.ServiceName `json:"s"`
	// Version counts the leader's changes of the service's owners, and Part says that more of
	// that version is to come.
	Version uint64 `json:"v"`
	Part    bool   `json:"m,omitempty"`
	// Whole says that all owners of Keys are told, or of all keys if that is nil, not changes
	// only.
	Whole bool            `json:"w,omitempty"`
	Keys  *owner.KeyRange `json:"k,omitempty"`
	// Workers are numbered from 0, and Runs are rows of first key, last key, worker's number,
	// and 1 if it does not hold the keys yet, in the order of the keys. Packed are both
	// instead, where there are many.
	Workers []NamedWorker `json:"i,omitempty"`
	Runs    [][4]int      `json:"r,omitempty"`
	Packed  []byte        `json:"p,omitempty"`
}

// NamedWorker is a worker's name and address.
type NamedWorker struct {
	ID      workers.ID `json:"i"`
	Address string     `json:"a"`
	// Born is the life of the worker that is meant, where holds are told; zero if not known.
	Born workers.Born `json:"b,omitempty"`
}

// Report is what a process saw since its last report.
type Report struct {
	// Keys are, by service, key and count in turn.
	Keys map[routing.ServiceName][]int `json:"k,omitempty"`
	// Times are, by worker, the number of answers and the sum of their times in
	// milliseconds, of requests that did not wait.
	ResponseTimes map[workers.ID][2]int `json:"w,omitempty"`
	// Backoffs are, by worker, the number of times at which it asked for a backoff, and the sum of
	// those in milliseconds.
	Backoffs map[workers.ID][2]int `json:"b,omitempty"`
	// Stamp is a standby's time, in milliseconds since its start, and Heard are the
	// versions of the holds that it knows; both are for a standby only.
	Stamp        int64                          `json:"t,omitempty"`
	HoldVersions map[routing.ServiceName]uint64 `json:"v,omitempty"`
	// Followers is how many processes follow a relay, whose report adds up theirs.
	Followers int `json:"f,omitempty"`
	// Evidence is of requests that were under way at workers that crashed.
	Evidence *quarantine.Evidence `json:"q,omitempty"`
	// Quota is how much of tenants' limits is in use, at this process and at its followers.
	Quota []quota.Report `json:"u,omitempty"`
	// Limits are what this process, or one that follows it, has learned of workers' limits.
	Limits []workerlimit.Message `json:"l,omitempty"`
	// Leaving are workers that say in their answers that they leave.
	Leaving []departure.Message `json:"s,omitempty"`
}

// Empty reports whether nothing was seen and nothing is to be told.
func (r Report) Empty() bool {
	return len(r.Keys) == 0 && len(r.ResponseTimes) == 0 && r.Stamp == 0 && r.Followers == 0 && r.Evidence == nil &&
		len(r.Quota) == 0 && len(r.Limits) == 0 && len(r.Backoffs) == 0 && len(r.Leaving) == 0
}
