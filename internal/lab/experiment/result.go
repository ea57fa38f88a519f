package experiment

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/wire"
)

// Measures are the results of one run. docs/MEASURES.md defines them.
type Measures struct {
	// Imbalance is the mean over windows of the highest load of a server of
	// the keyed service over the mean of its live servers.
	Imbalance   float64     `json:"imbalance"`
	Churn       Churn       `json:"churn"`
	Unavailable Unavailable `json:"unavailable"`
	Services    []Service   `json:"services"`
	// Hedges counts second tries beside a first, CutByPlannedStop requests
	// that ran on a server when it was stopped on purpose.
	Hedges           int     `json:"hedges"`
	CutByPlannedStop int     `json:"cut_by_planned_stop"`
	Control          Control `json:"control_bytes_per_second"`
}

// Control is bytes a second of the system's own protocols.
type Control struct {
	// The leader's, sent and received, by purpose.
	Renewals    float64 `json:"leader_renewals"`
	LoadReports float64 `json:"leader_load_reports"`
	Consensus   float64 `json:"leader_consensus"`
	Tables      float64 `json:"leader_tables"`
	// Gateway is what the gateway receives that gets most.
	Gateway float64 `json:"gateway"`
}

// Leader is all of the leader's.
func (c Control) Leader() float64 {
	return c.Renewals + c.LoadReports + c.Consensus + c.Tables
}

// Churn is the share of the key traffic that got another owner, summed over
// the run: 1 is as much as all traffic once.
type Churn struct {
	// Planned moves leave a server that lives and stays; all others are forced.
	Planned float64 `json:"planned"`
	Forced  float64 `json:"forced"`
}

// Unavailable counts key-seconds: a key that was asked in a second counts, and
// is unavailable if no request of that second was answered.
type Unavailable struct {
	KeySeconds      int `json:"key_seconds"`
	AskedKeySeconds int `json:"asked_key_seconds"`
}

// Service holds the measures of one service.
type Service struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	// Unfinished requests were under way when the run ended.
	Unfinished int     `json:"unfinished"`
	Latency    Latency `json:"latency_ms"`
	Endings    []Count `json:"endings,omitempty"`
}

// Latency holds percentiles of answered requests, in milliseconds, as the
// caller sees them.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Count is how many requests ended without an answer in one way.
type Count struct {
	Outcome wire.Outcome `json:"outcome"`
	Reason  wire.Reason  `json:"reason"`
	Count   int          `json:"count"`
}

// result returns the measures at the end of a run.
func (m *measures) result() Measures {
	for _, interval := range m.keySeconds {
		if interval.start+m.patience() < m.world.Now() {
			m.judged.add(interval)
		}
	}
	made := Measures{
		Imbalance:        m.balance.sum / float64(max(1, m.balance.windows)),
		Churn:            m.churn,
		Unavailable:      m.judged,
		Hedges:           m.hedges,
		CutByPlannedStop: m.cut,
	}
	for _, described := range m.world.deployment.workloads {
		made.Services = append(made.Services, m.services[described.name].result(described.name))
	}
	made.Control = m.world.control.traffic.result(m.world.Now().Seconds())
	return made
}

func (t controlTraffic) result(seconds float64) Control {
	made := Control{
		Renewals:    t.renewals / seconds,
		LoadReports: t.reports / seconds,
		Consensus:   t.consensus / seconds,
		Tables:      t.tables / seconds,
	}
	for _, received := range t.gateways {
		made.Gateway = max(made.Gateway, received/seconds)
	}
	return made
}

func (s *serviceMeasures) result(name string) Service {
	made := Service{Name: name, Requests: s.requests, Answered: s.answered, Unfinished: s.requests - s.answered}
	milliseconds := func(quantile float64) float64 {
		return float64(s.latency.ValueAtQuantile(quantile)) / 1000
	}
	made.Latency = Latency{
		P50:  milliseconds(50),
		P90:  milliseconds(90),
		P99:  milliseconds(99),
		P999: milliseconds(99.9),
	}
	for how, count := range s.endings {
		made.Unfinished -= count
		made.Endings = append(made.Endings, Count{Outcome: how.outcome, Reason: how.reason, Count: count})
	}
	slices.SortFunc(made.Endings, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return made
}
