package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// holderNode is a process that holds grants: a server, or a gateway for the
// idempotency ledger.
type holderNode interface {
	on() *node
	serveRenewal(body []byte) []byte
	admits(entry wire.TableEntry) bool
}

// server is one simulated back end.
type server struct {
	*node
	server bundle.ServerName
	keyed  bool
	holder *lease.Holder
	// grants is the last set that was taken.
	grants []wire.SliceGrant
	// reportedTo is the term that got the last whole report, at reportedAt.
	reportedTo uint64
	reportedAt time.Duration
}

func (c *cell) addServer(machine int, keyed bool) {
	service := poolService
	if keyed {
		service = keyedService
	}
	on := c.newNode("server", machine, serverPort)
	name := bundle.ServerName(fmt.Sprintf("%s/%s/%s-%03d", c.team(), service, service, machine))
	made := &server{node: on, server: name, keyed: keyed, holder: lease.NewHolder(c.name, incarnationOf(on))}
	c.servers = append(c.servers, made)
	c.byName[name] = made
}

func (s *server) on() *node { return s.node }

func (s *server) serveRenewal(body []byte) []byte {
	request := decode[wire.RenewRequest](body)
	response := s.holder.Renew(s.now(), request)
	if request.Slices != nil && response.Refused == "" {
		s.grants = *request.Slices
	}
	_ = s.holder.Void(s.now())
	response.Load = s.reportTo(request.Term)
	return encode(response)
}

// reportEvery is as in package ownership.
const reportEvery = 2 * time.Second

// reportTo returns a whole report if the leader is new or its last one is old.
func (s *server) reportTo(term uint64) wire.LoadReport {
	now := s.cell.Now()
	if term == s.reportedTo && now < s.reportedAt+s.cell.shape.ReportEvery {
		return wire.LoadReport{Partial: true, InFlight: 2, Queued: 1}
	}
	s.reportedTo = term
	s.reportedAt = now
	return s.report()
}

// maxReported is as in package ownership.
const maxReported = 16

// report is as long as a busy server's: the busiest slices, each with its
// hottest hash.
func (s *server) report() wire.LoadReport {
	report := wire.LoadReport{InFlight: 2, Queued: 1}
	if !s.keyed {
		return report
	}
	for _, grant := range s.grants {
		report.Slices = append(report.Slices, s.sliceLoad(grant.Slice))
	}
	slices.SortFunc(report.Slices, func(a, b wire.SliceLoad) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Slice.String(), b.Slice.String()))
	})
	report.Slices = report.Slices[:min(len(report.Slices), maxReported)]
	s.sample(report)
	return report
}

// hotShare is the part of a slice's requests that its hottest key has.
const hotShare = 0.06

func (s *server) sliceLoad(slice keyspace.Slice) wire.SliceLoad {
	all := s.cell.shape.RequestRate * float64(s.cell.shape.Machines)
	rate := math.Round(all*s.cell.rates.share(slice.Range)*100) / 100
	return wire.SliceLoad{Slice: slice, Rate: rate, HotHash: slice.Range.First + 1<<40 - 1, HotShare: hotShare}
}

// sampleEvery report is measured by itself.
const sampleEvery = 16

func (s *server) sample(report wire.LoadReport) {
	c := s.cell
	if c.loadReports++; c.loadReports%sampleEvery == 0 {
		c.loadBytes += sampleEvery * len(encode(report))
	}
}

// admits reports whether a request under the entry would run here now.
func (s *server) admits(entry wire.TableEntry) bool {
	return s.alive && admits(s.cell, s.holder, s.node, entry)
}

func admits(c *cell, holder *lease.Holder, on *node, entry wire.TableEntry) bool {
	ticket, reason := holder.Admit(on.now(), c.name, entry.Slice, entry.Fence, entry.Bundle)
	if reason != "" {
		return false
	}
	holder.Finish(ticket)
	return true
}
