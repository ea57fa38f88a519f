package peerlink

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/quota"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/traffic"
	"github.com/shalefork/shalefork/internal/workerlimit"
)

// Times of a link.
const (
	// heartbeat is the longest that the leader stays silent.
	heartbeat = 350 * time.Millisecond
	// SilenceLimit is the silence after which a leader counts as lost. Until then its
	// links know nothing of changes that it does not tell.
	SilenceLimit = 1100 * time.Millisecond
	// reportSilence is the same for a process that follows.
	reportSilence = 10 * SilenceLimit
	// helloTimeout bounds the wait for the first line.
	helloTimeout = 2 * time.Second
	// writeTimeout bounds the time in which a link takes nothing, and writePiece is how many
	// bytes are handed to it at once.
	writeTimeout = time.Second
	writePiece   = 4 << 10
	dialTimeout  = 500 * time.Millisecond
	maxLine      = 4 << 20
)

// Hub is the leader's side. A process keeps one Hub and opens it while it leads.
type Hub struct {
	// Strength of this process's machine.
	Strength float64
	// DirectNodes is up to how many processes the leader speaks with each of them.
	DirectNodes int
	// LinkRate is the bandwidth of this process's machine, in bytes a second; zero: not known.
	LinkRate float64
	// Traffic counts what is said to processes that follow this one; nil: nobody wants to know.
	Traffic *traffic.Counter
	// Limits are what this process knows of workers' limits, and tells its links; nil: nothing.
	Limits *facts.Table[workerlimit.Fact]
	// Leaving are the workers that say that they leave, as told to links; nil: none.
	Leaving *facts.Table[departure.Fact]

	mu      sync.Mutex
	leading bool
	// doubtful says that the leader's authority has ended for now.
	doubtful bool
	// superseded is closed once a leader of a later term has asked.
	superseded chan struct{}
	term       owner.Term
	openedAt   time.Time
	owners     map[routing.ServiceName]published
	stamps     uint64
	links      map[*link]struct{}
	// relays are the leader's, by zone; upstream is set while this process is one.
	relays   map[string]*link
	upstream *upstream
	// mostNodes is the greatest number of processes lately, as of mostNodesAt.
	mostNodes   int
	mostNodesAt time.Time
	reports     chan<- Report
	process     string
	known       func() ReadState
	entries     entryLog
	packed      packedEntries
	pages       entryPages
	bulk        bulk
	difference  ownerChanges
	config      configLog
	suspects    quarantine.ChangeLog
	deaf        bool
	standbys    standbys
	// asked is called with the term of a leader that asks; nil: nobody wants to know.
	asked func(term owner.Term)
	// reported is called with the reports of processes that follow this relay.
	reported func(Report)
	// evidence is called with what linked processes have seen of crashes.
	evidence func(quarantine.Evidence)
	quotas   quotaLinks
	// limitsTold and leavingTold are called with what linked processes have learned of workers, and
	// permit answers those that ask for permits.
	limitsTold  func([]workerlimit.Message)
	leavingTold func([]departure.Message)
	permit      func(PermitRequest) (Permit, bool)
	// backoffs are those that owners of keys have asked for, as operators are told.
	backoffs []BackoffShare
	// followed is the address of the leader that this process follows; empty: none.
	followed string
	// linked is called with the addresses of processes that follow this one; nil: nobody wants them.
	linked func(addresses ...string)
}

// published are the owners of a service as they are told.
type published struct {
	owners []owner.Owner
	// version counts the leader's changes of them, and part says that more of it is to come.
	version uint64
	part    bool
	// stamp differs for any two owners that were published here.
	stamp uint64
}

// NewHub returns a closed hub that passes reports on to a channel. process is
// unique to the life of this process; known returns what it has read.
func NewHub(process string, reports chan<- Report, known func() ReadState) *Hub {
	h := &Hub{
		process: process, owners: map[routing.ServiceName]published{}, links: map[*link]struct{}{},
		relays: map[string]*link{}, reports: reports, known: known,
	}
	h.standbys.reset()
	return h
}

// link is one connected process.
type link struct {
	conn net.Conn
	wake chan struct{}
	sent map[routing.ServiceName]sentOwners
	// term is that of the leader whose owners were sent, and since is when the link began.
	term  owner.Term
	since time.Time
	// followers is how many processes follow the link's process, and subRelay says that this
	// process, a relay, sends others to it.
	followers int
	subRelay  bool
	// entries is the revision up to which the link knows of workers' entries, and
	// entriesAt is when it was told last; config is the one that it has.
	entries   coord.Revision
	entriesAt time.Time
	config    coord.Revision
	// list is what the link was told of a list that has several pages.
	list listPosition
	// suspects is the version of the suspects that it was told, and suspectsAt is when.
	suspects   uint64
	suspectsAt time.Time
	// limits and leaving are what it was told of workers' limits, and of those that leave.
	limits, leaving factsTold
	// quota waits to be sent.
	quota []quota.Grant
	// hello is how the process introduced itself.
	hello Hello
	// stamp is the last one that it sent, and holds are the versions that it was sent,
	// if it is a standby.
	stamp   int64
	holds   map[routing.ServiceName]uint64
	holdsAt time.Time
	// peersAt is when the link was last told of other processes.
	peersAt time.Time
}

// Open begins to lead.
func (h *Hub) Open(term owner.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leading, h.term, h.doubtful, h.openedAt = true, term, false, clock.Now()
	h.upstream = nil
	h.superseded = make(chan struct{})
	clear(h.owners)
	clear(h.relays)
	h.standbys.reset()
}

// OnAsked sets what is called when a leader of a term asks whether this process leads,
// before it gets an answer.
func (h *Hub) OnLeaderQuery(call func(term owner.Term)) { h.asked = call }

// Superseded is closed once a leader of a later term has asked.
func (h *Hub) Superseded() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.superseded
}

// Leading reports whether this process leads and no later leader has asked.
func (h *Hub) Leading() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading
}

// SetDoubtful tells the links that another process may lead.
func (h *Hub) SetLeadershipUncertain(doubtful bool) { h.set(&h.doubtful, doubtful) }

// SetDeaf tells the links that this process does not reach the key-value service.
func (h *Hub) SetStoreUnreachable(deaf bool) { h.set(&h.deaf, deaf) }

// Deaf reports whether this process leads, and does not reach the key-value service.
func (h *Hub) StoreUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading && h.deaf
}

// set changes what the links are told.
func (h *Hub) set(flag *bool, to bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *flag == to {
		return
	}
	*flag = to
	h.wakeAll()
}

// Wake tells the links at once what this process knows.
func (h *Hub) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeAll()
}

func (h *Hub) wakeAll() {
	for one := range h.links {
		one.rouse()
	}
}

// rouse lets the link send what is new.
func (l *link) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends leading and drops all links.
func (h *Hub) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leading = false
	h.dropAll()
}

// dropAll ends all links. The caller holds mu.
func (h *Hub) dropAll() {
	for one := range h.links {
		_ = one.conn.Close()
	}
}

// Publish sets the owners of a service.
func (h *Hub) Publish(service routing.ServiceName, owners []owner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(service, published{owners: owners, version: h.owners[service].version + 1})
}

// publish sets the owners of a service as the links are to know them. The caller holds mu.
func (h *Hub) publish(service routing.ServiceName, now published) {
	h.stamps++
	now.stamp = h.stamps
	h.owners[service] = now
	h.wakeAll()
}

// Nodes returns how many processes there are, this one included.
func (h *Hub) Nodes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes(clock.Now())
}

// Serve accepts links until the listener closes.
func (h *Hub) Serve(listener net.Listener) {
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
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var hello Hello
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := readLine(reader, &hello); err != nil {
		return
	}
	conn.OnBytes(func(bytes int) { h.Traffic.Add(traffic.Peers, topology.Zone(hello.Zone), bytes) })
	if hello.Permits {
		if h.permit != nil {
			h.servePermits(conn, reader)
		}
		return
	}
	if h.asked != nil && hello.Term > 0 {
		h.asked(hello.Term)
	}
	h.mu.Lock()
	if h.leading && hello.Term > h.term {
		h.leading = false
		close(h.superseded)
	}
	leading, term := h.leading, h.term
	one := &link{
		conn: conn, wake: make(chan struct{}, 1),
		sent:    map[routing.ServiceName]sentOwners{},
		entries: hello.Entries, config: hello.Config, hello: hello, holds: map[routing.ServiceName]uint64{},
		list:  listPosition{after: hello.ListAfter, at: hello.ListAt},
		since: clock.Now(), followers: hello.Followers,
	}
	h.expectNodes(hello.Nodes, one.since)
	redirect := ""
	takes := !hello.QueryOnly && (leading || h.takesFollowers())
	switch {
	case takes && leading:
		redirect = h.relayFor(one, one.since)
	case takes:
		redirect = h.subRelayFor(one, one.since)
	}
	if takes = takes && redirect == ""; takes {
		h.links[one] = struct{}{}
	}
	followed := h.followed
	h.mu.Unlock()
	if !takes {
		answer := Update{Leading: leading, Term: term, Process: h.process, Redirect: redirect, FollowedLeader: followed}
		h.addNotices(hello, &answer, one.since)
		_ = writeLine(conn, answer)
		return
	}
	if h.linked != nil {
		h.linked(hello.Address)
	}
	defer h.drop(one)
	go h.receive(one, reader)
	h.send(one)
}
