package router

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/peerlink"
)

// hello returns this process's introduction to a leader.
func (r *Router) hello() peerlink.Hello {
	return peerlink.Hello{
		Node: r.settings.Node, Strength: r.hub.Strength, Address: r.settings.PeerListen, Zone: r.settings.Zone, Process: r.process,
		SuspectChanges: true,
	}
}

// report returns the report to the leader.
func (r *Router) report() peerlink.Report {
	report := r.meter.TakeReport()
	report.Followers = r.hub.Followers()
	r.hub.AddContact(&report, clock.Now())
	r.standby.AddToReport(&report)
	report.Evidence = r.proxy.Suspects.CollectEvidence(clock.Now())
	report.Quota = r.quotas.collectReports()
	report.Limits = r.limits.report()
	report.Leaving = r.leaving.report()
	return report
}

// reportToSelf passes this process's own measurements to it as the leader.
func (r *Router) reportToSelf(ctx context.Context) {
	ticker := time.NewTicker(selfReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.nodes.Store(int32(r.hub.Nodes()))
		if report := r.meter.TakeReport(); !report.Empty() {
			select {
			case r.reports <- report:
			default:
			}
		}
	}
}
