package controller

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of a controller.
type Metrics struct {
	Elections         prometheus.Counter
	CommandsApplied   prometheus.Counter
	CommandsRejected  prometheus.Counter
	ProposalsSent     prometheus.Counter
	RenewalsSent      prometheus.Counter
	RenewalsFailed    prometheus.Counter
	MessagesSent      prometheus.Counter
	MessagesDropped   prometheus.Counter
	MessagesReceived  prometheus.Counter
	PlatformFailures  prometheus.Counter
	Checkpoints       prometheus.Counter
	MembersReplaced   prometheus.Counter
	GenerationsFormed prometheus.Counter
	BundlesRefused    prometheus.Counter
	PeersRefused      prometheus.Counter
	OperatorsRefused  prometheus.Counter
	TableStreams      prometheus.Gauge
	Leading           prometheus.Gauge
	LeaderlessSeconds prometheus.Gauge
	AppliedIndex      prometheus.Gauge
	CheckpointIndex   prometheus.Gauge
	GroupVoters       prometheus.Gauge
	LoopSeconds       prometheus.Histogram
}

// NewMetrics makes the counters and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		Elections:         counter("elections_total", "Times this process became leader."),
		CommandsApplied:   counter("commands_applied_total", "Committed commands that changed the state."),
		CommandsRejected:  counter("commands_rejected_total", "Committed commands that changed nothing."),
		ProposalsSent:     counter("proposals_total", "Commands proposed as leader."),
		RenewalsSent:      counter("renewals_total", "Renewals sent to servers."),
		RenewalsFailed:    counter("renewals_failed_total", "Renewals without an answer."),
		MessagesSent:      counter("messages_sent_total", "Consensus messages sent."),
		MessagesDropped:   counter("messages_dropped_total", "Consensus messages dropped: queue full or peer unreachable."),
		MessagesReceived:  counter("messages_received_total", "Consensus messages received."),
		PlatformFailures:  counter("platform_failures_total", "Calls of the platform's service that failed."),
		Checkpoints:       counter("checkpoints_total", "Checkpoints written to the platform's service."),
		MembersReplaced:   counter("members_replaced_total", "Members removed from the group after a standby took their place."),
		GenerationsFormed: counter("generations_formed_total", "Generations that this process formed."),
		BundlesRefused:    counter("bundles_refused_total", "Rolled bundles that the cell cannot serve."),
		PeersRefused:      counter("peers_refused_total", "Requests without the cell's token."),
		OperatorsRefused:  counter("operators_refused_total", "Writes by unknown operators, with wrong signatures or stale."),
		TableStreams:      gauge("table_streams", "Open table streams."),
		Leading:           gauge("leading", "1 while this process leads its group."),
		LeaderlessSeconds: gauge("leaderless_seconds", "Time since this member last knew a leader."),
		AppliedIndex:      gauge("applied_index", "Last log index applied."),
		CheckpointIndex:   gauge("checkpoint_index", "Last log index saved in the platform's service."),
		GroupVoters:       gauge("group_voters", "Voters in the control group."),
		LoopSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "loop_seconds",
			Help:    "Time that the loop takes for one event.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
	}
	m.register(registerer)
	return m
}

const (
	metricsNamespace = "shalefork"
	metricsSubsystem = "controller"
)

func (m *Metrics) register(registerer prometheus.Registerer) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(
		m.Elections, m.CommandsApplied, m.CommandsRejected, m.ProposalsSent,
		m.RenewalsSent, m.RenewalsFailed, m.MessagesSent, m.MessagesDropped,
		m.MessagesReceived, m.PlatformFailures, m.Checkpoints,
		m.MembersReplaced, m.GenerationsFormed, m.BundlesRefused,
		m.PeersRefused, m.OperatorsRefused, m.TableStreams, m.Leading,
		m.LeaderlessSeconds, m.AppliedIndex, m.CheckpointIndex, m.GroupVoters,
		m.LoopSeconds,
	)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}
