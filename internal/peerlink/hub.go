package peerlink

import (
	"net"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/intake"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/traffic"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// Timeouts and limits of links.
const (
	// heartbeatInterval is the longest time for which the leader sends nothing.
	heartbeatInterval = 350 * time.Millisecond
	// SilenceLimit is the silence after which a leader is considered lost. Until then its followers
	// don't learn of changes that it does not send.
	SilenceLimit = 1100 * time.Millisecond
	// reportSilence is the silence after which a follower is considered lost.
	reportSilence = 10 * SilenceLimit
	// helloTimeout limits the wait for the first line.
	helloTimeout = 2 * time.Second
	// writeTimeout is how long a link may accept no bytes, and writeChunk is the number of bytes
	// that are written at once.
	writeTimeout = time.Second
	writeChunk   = 4 << 10
	dialTimeout  = 500 * time.Millisecond
	// maxLine is the maximum length in bytes of a message.
	maxLine = 4 << 20
)

// Hub is the leader's and the relay's side of links. A process keeps one Hub and opens it while it
// leads.
type Hub struct {
	// Strength is the relative strength of this process's machine.
	Strength float64
	// DirectNodes is the number of processes up to which the leader is linked with all of them
	// directly, without relays.
	DirectNodes int
	// LinkRate is the bandwidth of this process's machine in bytes per second, or zero if unknown.
	LinkRate float64
	// Traffic counts the bytes exchanged with processes that follow this one. It may be nil.
	Traffic *traffic.Counter
	// Limits are the known limits of workers, which are sent to the links. It may be nil.
	Limits *facts.Table[workerlimit.Fact]
	// Leaving are the workers that have announced their departure, which are sent to the links. It
	// may be nil.
	Leaving *facts.Table[departure.Fact]
	// Address is where this process accepts links.
	Address string
	// MaxLine is the maximum length in bytes of the messages of followers and callers; zero means
	// maxLine.
	MaxLine int
	// Contact returns whether this process reaches the workers. It may be nil.
	Contact func() Contact
	// GrantAges returns for how long this process has sent no grant to each of the given workers. If it
	// is nil, later leaders get no answer to that.
	GrantAges func(now time.Time, list []workers.ID) map[workers.ID]time.Duration

	mu      sync.Mutex
	leading bool
	// leadershipUncertain is set while the leader's authority has ended.
	leadershipUncertain bool
	// superseded is closed once a leader of a later term has sent a query.
	superseded chan struct{}
	term       owner.Term
	openedAt   time.Time
	// servingSince is when the process began to accept links.
	servingSince time.Time
	holdEnds     owner.HoldEnds
	owners       map[routing.ServiceName]publishedOwners
	lastStamp    uint64
	links        map[*link]struct{}
	// relays are the leader's relays by zone. upstream is set while this process is a relay.
	relays   map[string]*link
	upstream *upstream
	// maxNodes is the greatest recent number of processes, as of maxNodesAt.
	maxNodes         int
	maxNodesAt       time.Time
	reports          chan<- Report
	process          string
	readState        func() ReadState
	entries          entryLog
	packedEntries    packedEntries
	pages            entryPages
	bulkTransfers    bulkTransfers
	ownerChanges     ownerChangesCache
	config           configLog
	suspects         quarantine.ChangeLog
	storeUnreachable bool
	standbys         standbys
	// onLeaderQuery is called with the term of a leader that sends a query. It may be nil.
	onLeaderQuery func(term owner.Term)
	// onFollowerReport is called with the reports of processes that follow this relay.
	onFollowerReport func(Report)
	// onEvidence is called with the evidence of crashes that linked processes report.
	onEvidence  func(quarantine.Evidence)
	quotaRoutes quotaRoutes
	// onLimits and onLeaving are called with the limits and the departures of workers that linked
	// processes report, and answerPermit answers their permit requests.
	onLimits     func([]workerlimit.Message)
	onLeaving    func([]departure.Message)
	answerPermit func(PermitRequest) (Permit, bool)
	// answerSuspectPermit answers requests for permits to send suspected requests.
	answerSuspectPermit func(SuspectPermitRequest) *SuspectPermit
	// backoffs are the backoffs that owners of keys have requested, for operators.
	backoffs []BackoffShare
	// followedLeader is the address of the leader that this process follows, or empty if there is
	// none.
	followedLeader string
	// onLinked is called with the addresses of processes that follow this one. It may be nil.
	onLinked func(addresses ...string)
	// decodingLong is held while a long message is decoded.
	decodingLong sync.Mutex
	// serveForwarded serves connections over which other processes forward requests. It may be nil.
	serveForwarded func(net.Conn)
	// helpers are processes that reach the workers, as received from the followed process. offeredAt is
	// when this relay last told of such followers.
	helpers   receivedHelpers
	offeredAt time.Time
}

// publishedOwners are the owners of a service as they are sent to the links.
type publishedOwners struct {
	owners []owner.Owner
	// version counts the leader's changes of the owners. partial is set if the rest of this version
	// is still to come.
	version uint64
	partial bool
	// stamp is unique to each state of owners that was published by this hub.
	stamp uint64
}

// NewHub returns a closed hub that forwards reports to a channel. process is unique to this
// incarnation of the process; readState returns what the process has read from the key-value
// service.
func NewHub(process string, reports chan<- Report, readState func() ReadState) *Hub {
	h := &Hub{
		process: process, owners: map[routing.ServiceName]publishedOwners{}, links: map[*link]struct{}{},
		relays: map[string]*link{}, reports: reports, readState: readState,
	}
	h.standbys.reset()
	return h
}

// link is the connection with one process.
type link struct {
	conn       net.Conn
	wake       chan struct{}
	sentOwners map[routing.ServiceName]sentOwners
	// term is the term of the leader whose owners were sent, and since is when the link began.
	term  owner.Term
	since time.Time
	// followers is how many processes follow the link's process. subRelay is set if this process is
	// a relay and redirects others to the link's process.
	followers int
	subRelay  bool
	// entriesRevision is the revision up to which the link's process knows the workers' entries,
	// and entriesSentAt is when changes were last sent; configRevision is the revision of its
	// configuration.
	entriesRevision coord.Revision
	entriesSentAt   time.Time
	configRevision  coord.Revision
	// listPosition is how much of a list that takes several pages was sent.
	listPosition listPosition
	// suspectsVersion is the version of the suspects that was sent, and suspectsSentAt is when.
	suspectsVersion uint64
	suspectsSentAt  time.Time
	// limits and leaving track the sent facts on workers' limits and on workers that leave.
	limits, leaving factsSent
	// pendingGrants are quota grants that are to be sent.
	pendingGrants []quota.Grant
	// hello is the introduction of the process.
	hello Hello
	// For a standby, stamp is the last one that it sent, and holdVersions are the versions of the
	// holds that it was sent.
	stamp        int64
	holdVersions map[routing.ServiceName]uint64
	holdsSentAt  time.Time
	// peersSentAt is when addresses of other processes were last sent.
	peersSentAt time.Time
	// contact is what the process has reported of its contact with the workers.
	contact contactReport
}

// Open starts leading in a term.
func (h *Hub) Open(term owner.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leading, h.term, h.leadershipUncertain, h.openedAt = true, term, false, clock.Now()
	h.upstream = nil
	h.superseded = make(chan struct{})
	clear(h.owners)
	clear(h.relays)
	h.standbys.reset()
}

// OnLeaderQuery sets a function that is called when a leader queries whether this process leads,
// before the query is answered.
func (h *Hub) OnLeaderQuery(call func(term owner.Term)) { h.onLeaderQuery = call }

// Superseded returns a channel that is closed once a leader of a later term has sent a query.
func (h *Hub) Superseded() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.superseded
}

// Leading reports whether this process leads and no later leader has sent a query.
func (h *Hub) Leading() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading
}

// SetLeadershipUncertain sets whether another process may lead, and notifies the links.
func (h *Hub) SetLeadershipUncertain(uncertain bool) { h.setFlag(&h.leadershipUncertain, uncertain) }

// SetStoreUnreachable sets whether this process fails to reach the key-value service, and notifies
// the links.
func (h *Hub) SetStoreUnreachable(unreachable bool) { h.setFlag(&h.storeUnreachable, unreachable) }

// StoreUnreachable reports whether this process leads and does not reach the key-value service.
func (h *Hub) StoreUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading && h.storeUnreachable
}

// setFlag sets a flag that is part of updates, and notifies the links if it changes.
func (h *Hub) setFlag(flag *bool, to bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *flag == to {
		return
	}
	*flag = to
	h.wakeAll()
}

// Wake sends the current state to all links immediately.
func (h *Hub) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeAll()
}

func (h *Hub) wakeAll() {
	for l := range h.links {
		l.signal()
	}
}

// signal makes the link send an update without waiting for the next heartbeat.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close stops leading and closes all links.
func (h *Hub) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leading = false
	h.dropAll()
}

// dropAll closes all links. The caller holds mu.
func (h *Hub) dropAll() {
	for l := range h.links {
		_ = l.conn.Close()
	}
}

// Publish sets the owners of a service.
func (h *Hub) Publish(service routing.ServiceName, owners []owner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(service, publishedOwners{owners: owners, version: h.owners[service].version + 1})
}

// publish sets the owners of a service and notifies the links. The caller holds mu.
func (h *Hub) publish(service routing.ServiceName, owners publishedOwners) {
	h.lastStamp++
	owners.stamp = h.lastStamp
	h.owners[service] = owners
	h.wakeAll()
}

// Nodes returns the number of processes, including this one.
func (h *Hub) Nodes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes(clock.Now())
}

// Serve accepts links until the listener closes.
func (h *Hub) Serve(listener net.Listener) {
	listener = intake.Persistent(listener)
	h.mu.Lock()
	h.servingSince = clock.Now()
	h.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go h.handle(conn)
	}
}

func (h *Hub) handle(accepted net.Conn) {
	conn := &traffic.Conn{Conn: accepted}
	passedOn := false
	defer func() {
		if !passedOn {
			_ = conn.Close()
		}
	}()
	lines := h.newLineReader(conn)
	var hello Hello
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := lines.read(&hello); err != nil {
		return
	}
	conn.OnBytes(func(bytes int) { h.Traffic.Add(traffic.Peers, topology.Zone(hello.Zone), bytes) })
	if hello.Forwards {
		passedOn = h.acceptForwarding(conn, lines.reader)
		return
	}
	if hello.Permits {
		if h.answerPermit != nil {
			h.servePermits(conn, lines)
		}
		return
	}
	if h.onLeaderQuery != nil && hello.Term > 0 {
		h.onLeaderQuery(hello.Term)
	}
	h.mu.Lock()
	if h.leading && hello.Term > h.term {
		h.leading = false
		close(h.superseded)
	}
	leading, term := h.leading, h.term
	l := &link{
		conn: conn, wake: make(chan struct{}, 1),
		sentOwners:      map[routing.ServiceName]sentOwners{},
		entriesRevision: hello.Entries, configRevision: hello.Config, hello: hello, holdVersions: map[routing.ServiceName]uint64{},
		listPosition: listPosition{after: hello.ListAfter, revision: hello.ListAt},
		since:        clock.Now(), followers: hello.Followers,
	}
	h.noteNodeCount(hello.Nodes, l.since)
	redirect := ""
	follows := !hello.QueryOnly && (leading || h.acceptsFollowers())
	switch {
	case follows && leading:
		redirect = h.relayFor(l, l.since)
	case follows:
		redirect = h.subRelayFor(l, l.since)
	}
	if follows = follows && redirect == ""; follows {
		h.links[l] = struct{}{}
	}
	followed := h.followedLeader
	h.mu.Unlock()
	if !follows {
		answer := Update{Leading: leading, Term: term, Process: h.process, Redirect: redirect, FollowedLeader: followed}
		h.addWorkerNotices(hello, &answer, l.since)
		if hello.Term > 0 && h.GrantAges != nil {
			answer.Renewals = h.renewals(hello.Holders)
		}
		if hello.SuspectPermit != nil && h.answerSuspectPermit != nil {
			answer.SuspectPermit = h.answerSuspectPermit(*hello.SuspectPermit)
		}
		_ = writeLine(conn, answer)
		return
	}
	if h.onLinked != nil {
		h.onLinked(hello.Address)
	}
	defer h.drop(l)
	go h.receive(l, lines)
	h.send(l)
}
