// Package peerlink implements the links between router processes: the leader streams which worker
// owns which keys, and the other processes report how often keys are requested. With many
// processes, one relay in each zone connects the leader with the others (see Hub.RelayUpdate).
//
// Each message is one line of JSON over TCP. The side that dials sends a Hello and then Reports;
// the leader answers with Updates. A process that does not lead and is no relay answers a Hello
// with one Update, in which Leading is false, and closes the connection.
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

// Hello is the first message of a link.
type Hello struct {
	// Node is the name of the dialing process.
	Node string `json:"node"`
	// QueryOnly asks only whether the receiver leads; the link ends with the answer.
	QueryOnly bool `json:"ask,omitempty"`
	// Forwards asks to forward requests over this connection.
	Forwards bool `json:"fw,omitempty"`
	// Term is the term of the dialing process if it leads. A leader of an earlier term stops
	// leading before it answers.
	Term owner.Term `json:"term,omitempty"`
	// Entries is the revision up to which the process has read the workers' entries.
	Entries coord.Revision `json:"entries,omitempty"`
	// ListAfter is the last worker of a list that the process has received in part, and ListAt is
	// the list's revision. The receiver continues the list from there.
	ListAfter workers.ID     `json:"list_after,omitempty"`
	ListAt    coord.Revision `json:"list_at,omitempty"`
	// Config is the revision of the configuration that the process has read.
	Config coord.Revision `json:"config,omitempty"`
	// Strength is the relative strength of the process's machine.
	Strength float64 `json:"strength,omitempty"`
	// Address is where the process accepts links, Zone is its zone, and Process is a name that is
	// unique to its incarnation.
	Address string `json:"address,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Process string `json:"process,omitempty"`
	// Avoid is the address of a relay that the dialing process has lost, and Followers is how many
	// processes follow the dialing process.
	Avoid     string `json:"avoid,omitempty"`
	Followers int    `json:"followers,omitempty"`
	// SuspectChanges is set if the process accepts changes of suspected requests instead of whole
	// lists.
	SuspectChanges bool `json:"changes,omitempty"`
	// WorkerNotices requests the limits of workers, and what else workers announce about
	// themselves, in the answer.
	WorkerNotices bool `json:"limits,omitempty"`
	// Permits dedicates the link to permit requests. QueryOnly is set too, so that a leader that
	// doesn't support permits ends the link.
	Permits bool `json:"permits,omitempty"`
	// Holders requests, in a query of a leader, when grants were last sent to these workers.
	Holders []workers.ID `json:"holders,omitempty"`
	// SuspectPermit requests a permit for an attempt of a suspected request.
	SuspectPermit *SuspectPermitRequest `json:"sp,omitempty"`
	// Nodes is the last number of processes that the process has received. It lets a new leader
	// know the number before all are linked.
	Nodes int `json:"nodes,omitempty"`
}

// Update is a message from the leader or a relay. An Update without services is a heartbeat.
type Update struct {
	// Leading is false if the sender does not lead.
	Leading bool `json:"l"`
	// Process is unique to the incarnation of the process that answers.
	Process string     `json:"p,omitempty"`
	Term    owner.Term `json:"t"`
	// Relayed is set if the sender is a relay. AgeMillis is the age of the leader's state that it
	// forwards, and Leaderless is set if the relay has lost the leader.
	Relayed    bool  `json:"r,omitempty"`
	AgeMillis  int64 `json:"a,omitempty"`
	Leaderless bool  `json:"o,omitempty"`
	// Hops is the number of processes that have forwarded the leader's state.
	Hops int `json:"j,omitempty"`
	// Redirect is the address of the process to follow instead, or empty if there is none.
	Redirect string `json:"v,omitempty"`
	// FollowedLeader is the address of the leader that the sender follows, if it does not lead
	// itself.
	FollowedLeader string `json:"h,omitempty"`
	// Peers are addresses of some other processes.
	Peers []string `json:"i,omitempty"`
	// Helpers are addresses of processes that reach the workers. They are sent to processes that are cut
	// off from them, or whose followers are.
	Helpers []string `json:"hp,omitempty"`
	// Forwards is set in the answer to a Hello that asks to forward requests, if these are taken.
	Forwards bool `json:"fw,omitempty"`
	// Links is the number of processes that are linked to the sender.
	Links int `json:"m,omitempty"`
	// LeadershipUncertain is set while the leader does not reach the key-value service, so that
	// another process may lead.
	LeadershipUncertain bool `json:"d,omitempty"`
	// Nodes is the number of processes, including the leader.
	Nodes int `json:"n,omitempty"`
	// ReadState is what the leader has read from the key-value service. It lets a process whose
	// watch was lost notice that it lags.
	ReadState ReadState `json:"k"`
	// StoreUnreachable is set if the leader has not reached the key-value service recently. The
	// other processes then look for changes themselves.
	StoreUnreachable bool `json:"f,omitempty"`
	// Strongest is the greatest known strength of the processes' machines.
	Strongest float64 `json:"b,omitempty"`
	// Entries are changes of the workers' entries, or the list of all entries if it fits in one
	// message. Page is a part of a list that takes several messages.
	Entries *EntryChanges `json:"e,omitempty"`
	Page    *EntryChanges `json:"g,omitempty"`
	// Config is sent if it is newer than the receiver's configuration.
	Config   *ConfigChanges  `json:"c,omitempty"`
	Services []ServiceOwners `json:"z,omitempty"`
	// Delegation is sent to standbys only.
	Delegation *Delegation `json:"y,omitempty"`
	// SuspectChanges are the packed changes of requests that were in progress at crashes. Suspects
	// is the packed list of all of them, for processes that don't accept changes.
	SuspectChanges []byte `json:"x,omitempty"`
	Suspects       []byte `json:"q,omitempty"`
	// Quota grants shares of the tenants' limits to the receiver and to the processes whose use it
	// has reported.
	Quota []quota.Grant `json:"u,omitempty"`
	// Limits are new facts on the limits that workers announce.
	Limits []workerlimit.Message `json:"w,omitempty"`
	// Leaving are workers that announce their departure in their responses.
	Leaving []departure.Message `json:"s,omitempty"`
	// Backoffs are sent to operators only.
	Backoffs []BackoffShare `json:"bo,omitempty"`
	// HoldsLeftMillis is for how much longer holds may last that leaders before Term granted; zero if
	// that is over, or not known.
	HoldsLeftMillis int64 `json:"hl,omitempty"`
	// Renewals are sent in answers to a leader only.
	Renewals *Renewals `json:"rn,omitempty"`
	// SuspectPermit is sent in answers to requests for one only.
	SuspectPermit *SuspectPermit `json:"sp,omitempty"`
}

// Age returns how old the leader's state that a relay forwards may be.
func (u Update) Age() time.Duration { return time.Duration(u.AgeMillis) * time.Millisecond }

// Stale reports whether the state that a relay forwards is too old to rely on.
func (u Update) Stale() bool { return u.Age() > SilenceLimit }

// Delegation permits a standby to renew holds if it loses the leader.
type Delegation struct {
	// Stamp is taken from the standby's last report, and RemainingMillis is how long after that
	// stamp the delegation lasts. As the standby sent the stamp earlier, its delegation ends no
	// later than the leader assumes, however long this message takes.
	Stamp           int64 `json:"t"`
	RemainingMillis int64 `json:"l"`
	// Services contains the services whose holds have changed.
	Services []ServiceHolds `json:"s,omitempty"`
}

// ServiceHolds contains all holds of a service.
type ServiceHolds struct {
	Service routing.ServiceName `json:"s"`
	Version uint64              `json:"v"`
	Workers []NamedWorker       `json:"i"`
	// Runs are packed rows of first key, last key, index of the worker, and fence.
	Runs []byte `json:"r"`
}

// EncodeHolds converts holds to their message form.
func EncodeHolds(service routing.ServiceName, version uint64, holds []owner.Hold) ServiceHolds {
	described := ServiceHolds{Service: service, Version: version}
	runs := make([][4]int64, 0, len(holds))
	indexes := map[workers.ID]int{}
	for _, hold := range holds {
		index, known := indexes[hold.Target.ID]
		if !known {
			index = len(described.Workers)
			indexes[hold.Target.ID] = index
			described.Workers = append(described.Workers, NamedWorker{ID: hold.Target.ID, Address: hold.Target.Address, StartTime: hold.Target.StartTime})
		}
		runs = append(runs, [4]int64{int64(hold.Keys.From), int64(hold.Keys.To), int64(index), int64(hold.Fence)})
	}
	described.Runs = pack(runs)
	return described
}

// Holds decodes the holds. It returns false if the message is malformed or refers to a worker that
// it does not list.
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
		worker := h.Workers[run[2]]
		holds = append(holds, owner.Hold{
			Keys: owner.KeyRange{From: int(run[0]), To: int(run[1])}, Target: owner.Target{ID: worker.ID, Address: worker.Address, StartTime: worker.StartTime},
			Fence: owner.Fence(run[3]),
		})
	}
	return holds, true
}

// ConfigChanges contains the changes of the operators' configuration as of a revision.
type ConfigChanges struct {
	Revision coord.Revision `json:"r"`
	// AgeMillis is for how long the first process has known this revision. AgeUnknown is set if the
	// process has read it in a list, and does not know since when it has been in force.
	AgeMillis  int64 `json:"a,omitempty"`
	AgeUnknown bool  `json:"u,omitempty"`
	// Packed contains the items that have changed since the receiver's revision, and Keys are the
	// keys of all items that exist.
	Packed []byte   `json:"p"`
	Keys   []string `json:"s"`
}

// Items returns the items that have changed.
func (c ConfigChanges) Items() ([]coord.Item, error) {
	var items []coord.Item
	err := unpack(c.Packed, &items)
	return items, err
}

// KnownSince returns since when the configuration may have been in force, if the message was
// received at now. It returns the zero time if that is unknown.
func (c ConfigChanges) KnownSince(now time.Time) time.Time {
	if c.AgeUnknown {
		return time.Time{}
	}
	return now.Add(-time.Duration(max(0, c.AgeMillis)) * time.Millisecond)
}

// ReadState contains the last revisions that a process has read of the configuration and of the
// workers.
type ReadState struct {
	Config  coord.Revision `json:"c"`
	Workers coord.Revision `json:"w"`
	// SettleMillis is for how long entries that vanish may merely have expired, because the service
	// was unreachable.
	SettleMillis int64 `json:"s,omitempty"`
	// Settled is set once the leader has reached the service for long enough that an entry which it
	// no longer knows belongs to a worker that has left. This also holds for a process that was
	// itself cut off from the service.
	Settled bool `json:"y,omitempty"`
}

// ServiceOwners contains owners of the keys of one service.
type ServiceOwners struct {
	Service routing.ServiceName `json:"s"`
	// Version counts the leader's changes of the service's owners. Partial is set if the rest of
	// that version is still to come.
	Version uint64 `json:"v"`
	Partial bool   `json:"m,omitempty"`
	// Full is set if the message contains all owners of Keys, or of all keys if Keys is nil, and
	// not only changes.
	Full bool            `json:"w,omitempty"`
	Keys *owner.KeyRange `json:"k,omitempty"`
	// Workers are indexed from 0. Runs are rows of first key, last key, index of the worker, and 1
	// if the worker does not hold the keys yet, in the order of the keys. Packed replaces both if
	// there are many.
	Workers []NamedWorker `json:"i,omitempty"`
	Runs    [][4]int      `json:"r,omitempty"`
	Packed  []byte        `json:"p,omitempty"`
}

// NamedWorker is a worker's name and address.
type NamedWorker struct {
	ID      workers.ID `json:"i"`
	Address string     `json:"a"`
	// StartTime identifies the incarnation of the worker that holds refer to; zero if unknown.
	StartTime workers.StartTime `json:"b,omitempty"`
}

// Report contains what a process has counted and learned since its last report.
type Report struct {
	// Keys are the requests by service, as alternating keys and counts.
	Keys map[routing.ServiceName][]int `json:"k,omitempty"`
	// ResponseTimes are, by worker, the number of responses and the sum of their times in
	// milliseconds. Requests that waited at the worker are not counted. A worker that only rejected
	// requests has zeros.
	ResponseTimes map[workers.ID][2]int `json:"w,omitempty"`
	// Backoffs are, by worker, the number of backoffs that it requested and their sum in
	// milliseconds.
	Backoffs map[workers.ID][2]int `json:"b,omitempty"`
	// Stamp is a standby's time in milliseconds since its start, and HoldVersions are the versions
	// of the holds that it knows. Both are sent by standbys only.
	Stamp        int64                          `json:"t,omitempty"`
	HoldVersions map[routing.ServiceName]uint64 `json:"v,omitempty"`
	// Followers is how many processes follow a relay, whose report contains the sum of theirs.
	Followers int `json:"f,omitempty"`
	// Contact tells whether the process reaches the workers. SeeksHelp is set if followers of the process
	// don't, and Offers are addresses of followers that do.
	Contact   Contact  `json:"ct,omitempty"`
	SeeksHelp bool     `json:"sh,omitempty"`
	Offers    []string `json:"of,omitempty"`
	// Evidence is about requests that were in progress at workers that crashed.
	Evidence *quarantine.Evidence `json:"q,omitempty"`
	// Quota is the use of the tenants' limits at this process and its followers.
	Quota []quota.Report `json:"u,omitempty"`
	// Limits are the limits of workers that this process or one of its followers has learned.
	Limits []workerlimit.Message `json:"l,omitempty"`
	// Leaving are workers that announce their departure in their responses.
	Leaving []departure.Message `json:"s,omitempty"`
}

// Empty reports whether the report contains nothing that needs to be sent. That the process reaches the
// workers can wait for a report that contains more.
func (r Report) Empty() bool {
	return r.Contact != CutOff && !r.SeeksHelp && len(r.Offers) == 0 && len(r.Keys) == 0 && len(r.ResponseTimes) == 0 && r.Stamp == 0 && r.Followers == 0 && r.Evidence == nil &&
		len(r.Quota) == 0 && len(r.Limits) == 0 && len(r.Backoffs) == 0 && len(r.Leaving) == 0
}
