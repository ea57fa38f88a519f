package peerlink

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/coord"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Error is the class of errors of this package.
var Error = errs.Class("peerlink")

// ErrNotLeading: the process does not lead.
var ErrNotLeading = errs.New("the process does not lead")

// RedirectError names the process to follow instead.
type RedirectError struct {
	Address string
}

// Error implements error.
func (e *RedirectError) Error() string { return "follow " + e.Address + " instead" }

// The pause between reports is reportInterval, and reportIntervalPerSibling for each process that reports
// to the same one: with many of them that one sees as much in a longer time, and gets
// fewer bytes.
const (
	reportInterval           = 180 * time.Millisecond
	reportIntervalPerSibling = 3 * time.Millisecond
	// minReportInterval is the least pause between reports.
	minReportInterval = 40 * time.Millisecond
	// emptyReportInterval is the pause after which a report is sent that tells nothing: who is silent
	// counts as lost.
	emptyReportInterval = reportSilence / 4
)

// Follower is the other processes' side.
type Follower struct {
	// Hello is how this process introduces itself.
	Hello Hello
	Table *keytable.Table
	// Take returns what was seen since it was last called.
	TakeReport func() Report
	// Urgent gets a token when TakeUrgent is to be sent before the next report is due; both
	// may be nil.
	Urgent           <-chan struct{}
	TakeUrgentReport func() Report
	// Nodes is set to the number of processes.
	Nodes *atomic.Int32
	// Applied is called once a change of a service's owners stands in the table.
	OnOwnersApplied func(service routing.ServiceName)
	// Stays reports whether a process goes on following a relay that says this.
	KeepFollowing func(Update) bool
	// Entries returns up to which revision the workers' entries were read.
	EntriesRevision func() coord.Revision
	// List returns the last worker of a list that was told in part, and as of which revision;
	// nil: nothing is ever told in part.
	ListPosition func() (after workers.ID, at coord.Revision)
	// Config returns the revision of the configuration that was read.
	ConfigRevision func() coord.Revision
	// Linked is called once the leader has told its owners.
	OnFirstUpdate func()
	// Heard is called with all else that the leader says.
	OnUpdate func(Update)
	// Doubted is called when the leader says that another may lead.
	OnLeadershipUncertain func()
}

// Follow follows the leader at an address until the link breaks or ctx ends.
func (f *Follower) Follow(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	hello := f.Hello
	hello.Entries, hello.Config = f.EntriesRevision(), f.ConfigRevision()
	if f.ListPosition != nil {
		hello.ListAfter, hello.ListAt = f.ListPosition()
	}
	if err := writeLine(conn, hello); err != nil {
		return Error.Wrap(err)
	}
	done := make(chan struct{})
	defer close(done)
	siblings := &atomic.Int32{}
	go f.report(conn, siblings, done)
	return f.receive(conn, siblings)
}

func (f *Follower) receive(conn net.Conn, siblings *atomic.Int32) error {
	reader := bufio.NewReader(idleTimeoutConn{Conn: conn, timeout: SilenceLimit})
	first := true
	for {
		var update Update
		if err := readLine(reader, &update); err != nil {
			return Error.Wrap(err)
		}
		switch {
		case update.Redirect != "":
			return &RedirectError{Address: update.Redirect}
		case !update.Leading && !update.Relayed:
			return ErrNotLeading
		case update.Relayed && !f.KeepFollowing(update):
			return ErrNotLeading
		}
		f.Nodes.Store(int32(update.Nodes))
		siblings.Store(int32(update.Links))
		f.OnUpdate(update)
		if update.LeadershipUncertain {
			f.OnLeadershipUncertain()
		}
		for _, owners := range update.Services {
			if !f.apply(update.Term, owners) {
				return Error.New("what the leader tells of the owners of %s can't be read", owners.Service)
			}
		}
		if first {
			first = false
			f.OnFirstUpdate()
		}
	}
}

func (f *Follower) apply(term owner.Term, changed ServiceOwners) bool {
	owners, ok := changed.Owners()
	if !ok {
		return false
	}
	f.Table.Apply(changed.Service, keytable.Change{
		Term: term, Version: changed.Version, Part: changed.Part, Whole: changed.Whole, Within: changed.Keys, Owners: owners,
	})
	f.OnOwnersApplied(changed.Service)
	return true
}

func (f *Follower) report(conn net.Conn, siblings *atomic.Int32, done <-chan struct{}) {
	due := time.NewTimer(reportInterval)
	defer due.Stop()
	sent := clock.Now()
	for {
		var report Report
		select {
		case <-done:
			return
		case <-f.Urgent:
			report = f.TakeUrgentReport()
		case <-due.C:
			report = f.TakeReport()
			due.Reset(reportInterval + time.Duration(siblings.Load())*reportIntervalPerSibling)
		}
		if report.Empty() && clock.Since(sent) < emptyReportInterval {
			continue
		}
		sent = clock.Now()
		if writeLine(conn, report) != nil {
			return
		}
		select {
		case <-done:
			return
		case <-time.After(minReportInterval):
		}
	}
}
