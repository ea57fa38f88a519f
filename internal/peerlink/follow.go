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

// ErrNotLeading is returned if the process does not lead, or is a relay that must not be followed.
var ErrNotLeading = errs.New("the process does not lead")

// RedirectError is returned if another process is to be followed instead.
type RedirectError struct {
	Address string
}

// Error implements error.
func (e *RedirectError) Error() string { return "follow " + e.Address + " instead" }

// Reports are sent every reportInterval plus reportIntervalPerSibling for each process that reports
// to the same receiver. With many siblings the receiver still sees as much in the longer interval,
// and receives fewer bytes.
const (
	reportInterval           = 180 * time.Millisecond
	reportIntervalPerSibling = 3 * time.Millisecond
	// minReportInterval is the shortest pause between reports.
	minReportInterval = 40 * time.Millisecond
	// emptyReportInterval is the pause after which an empty report is sent, since a silent process
	// is considered lost.
	emptyReportInterval = reportSilence / 4
)

// Follower is the following side of a link: it receives updates and sends reports.
type Follower struct {
	// Hello introduces this process.
	Hello Hello
	Table *keytable.Table
	// TakeReport returns what was counted since the last call.
	TakeReport func() Report
	// Urgent receives a token when TakeUrgentReport is to be sent before the next report is due.
	// Both may be nil.
	Urgent           <-chan struct{}
	TakeUrgentReport func() Report
	// Nodes is set to the number of processes.
	Nodes *atomic.Int32
	// OnOwnersApplied is called after a change of a service's owners was applied to the table.
	OnOwnersApplied func(service routing.ServiceName)
	// KeepFollowing reports whether to continue to follow a relay that has sent this update.
	KeepFollowing func(Update) bool
	// EntriesRevision returns the revision up to which the workers' entries were read.
	EntriesRevision func() coord.Revision
	// ListPosition returns the last worker of a list that was received in part, and the list's
	// revision. It may be nil if partial lists are not supported.
	ListPosition func() (after workers.ID, at coord.Revision)
	// ConfigRevision returns the revision of the configuration that was read.
	ConfigRevision func() coord.Revision
	// OnFirstUpdate is called after the first update was received and its owners were applied.
	OnFirstUpdate func()
	// OnUpdate is called with each update, before its owners are applied.
	OnUpdate func(Update)
	// OnLeadershipUncertain is called when the leader reports that another process may lead.
	OnLeadershipUncertain func()
}

// Follow follows the process at an address until the link breaks or ctx ends.
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
				return Error.New("invalid owners of service %s received; closing the link", owners.Service)
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
		Term: term, Version: changed.Version, Partial: changed.Partial, Full: changed.Full, Range: changed.Keys, Owners: owners,
	})
	f.OnOwnersApplied(changed.Service)
	return true
}

func (f *Follower) report(conn net.Conn, siblings *atomic.Int32, done <-chan struct{}) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	sent := clock.Now()
	for {
		var report Report
		select {
		case <-done:
			return
		case <-f.Urgent:
			report = f.TakeUrgentReport()
		case <-timer.C:
			report = f.TakeReport()
			timer.Reset(reportInterval + time.Duration(siblings.Load())*reportIntervalPerSibling)
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
