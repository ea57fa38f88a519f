package settings

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
	"github.com/shalefork/shalefork/internal/topology"
)

// Router holds the settings of a router, a process that serves clients' requests and may lead the
// cell.
type Router struct {
	// Node identifies the process in logs and to other processes.
	Node string `yaml:"node" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for clients.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// ReadyListen is the address of the readiness probe.
	ReadyListen string `yaml:"ready_listen" validate:"required,hostname_port"`
	// PeerListen is the address for the other routers.
	PeerListen string `yaml:"peer_listen" validate:"required,hostname_port"`
	// MetricsListen is the address of the metrics.
	MetricsListen string `yaml:"metrics_listen" validate:"required,hostname_port"`
	// Store is the address of the key-value service.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// MaxHold is the longest hold that workers accept in a grant.
	MaxHold bundle.Duration `yaml:"max_hold"`
	// MinLease is the shortest lease that the key-value service accepts.
	MinLease bundle.Duration `yaml:"min_lease"`
	// Grace is the time from SIGTERM until the process must have ended.
	Grace bundle.Duration `yaml:"grace"`
	// Retry limits the sends of requests after the first, over all routers together.
	Retry RetryLimits `yaml:"retry"`
	// Drain is how long leaving workers may get requests.
	Drain bundle.Duration `yaml:"drain"`
	// CatchUp is how long after the end of an outage or partition a router may act on outdated
	// state.
	CatchUp bundle.Duration `yaml:"catch_up"`
	// Evacuate is how long workers of an evacuated zone may get requests.
	Evacuate bundle.Duration `yaml:"evacuate"`
	// Regions maps zones to their regions; if empty, all zones are close to one another.
	Regions map[string]string `yaml:"regions"`
	// Quota defines which requests are within a tenant's limit, over all routers together.
	Quota QuotaLimits `yaml:"quota"`
	// Revocation determines whether callers with API keys are served while this process can't
	// know whether their keys are still valid.
	Revocation Revocation `yaml:"revocation" validate:"oneof=lenient strict"`
	// RevokeWithin is the time without updates after which such callers are refused, where
	// revocation is strict.
	RevokeWithin bundle.Duration `yaml:"revoke_within"`
	// FirstStart is set if the whole system starts for the first time, so that nothing
	// is stored yet.
	FirstStart bool `yaml:"first_start"`
	// Machine describes the machine of the process. Processes on stronger machines are preferred
	// as leader.
	Machine Machine `yaml:"machine"`
	// DirectRouters is the maximum number of routers with which the leader communicates directly.
	// If there are more, it communicates with one relay in each zone.
	DirectRouters int `yaml:"direct_routers" validate:"gte=0"`
	// Operators are the operators who may change bundles. If there are any, the router follows
	// the teams' bundles instead of the platform's configuration.
	Operators []Operator `yaml:"operators" validate:"dive"`
}

// Machine holds the resources that a process may use. Zero means unknown.
type Machine struct {
	// Cores is the number of processor cores, which may be a fraction such as 0.5.
	Cores float64 `yaml:"cores" validate:"gte=0"`
	// LinkMbps is the bandwidth of the machine's link, in megabits per second.
	LinkMbps float64 `yaml:"link_mbps" validate:"gte=0"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB float64 `yaml:"memory_mb" validate:"gte=0"`
	// Descriptors is the number of descriptors that the process may use, if that is less than the limit of
	// the operating system.
	Descriptors int `yaml:"descriptors" validate:"gte=0"`
}

// Revocation is how strictly the revocation of API keys is enforced.
type Revocation string

// Modes of revocation.
const (
	// RevocationLenient serves callers by the last known configuration, regardless of its age.
	RevocationLenient Revocation = "lenient"
	// RevocationStrict refuses callers once the configuration may be out of date.
	RevocationStrict Revocation = "strict"
)

// MinRevokeWithin is how old a router's information may be without a fault; RevokeWithin must be
// longer. A leader's updates may be 2.2 s old before the leader reports that the store is
// unreachable, and an admitted request takes a moment to reach its worker. With a shorter time,
// all callers with keys would always be refused.
const MinRevokeWithin = 2400 * time.Millisecond

// QuotaLimits define how many requests are within a tenant's limit in each window: its rate times
// the window plus its burst, a share of both beyond that, and a fixed number of requests.
type QuotaLimits struct {
	Window bundle.Duration `yaml:"window"`
	// Overshoot is the share, and Slack the fixed number.
	Overshoot float64 `yaml:"overshoot" validate:"gte=0,lte=1"`
	Slack     float64 `yaml:"slack" validate:"gte=0"`
}

// Resources of a machine that counts as strong.
const (
	strongCores    = 0.5
	strongLinkMbps = 100
)

// Topology returns the map from zones to regions.
func (r Router) Topology() topology.Map {
	regions := map[topology.Zone]topology.Region{}
	for zone, region := range r.Regions {
		regions[topology.Zone(zone)] = topology.Region(region)
	}
	return topology.New(regions)
}

// LinkBytes returns the bandwidth of the machine's link, in bytes per second; zero if unknown.
func (m Machine) LinkBytes() float64 { return m.LinkMbps * 1e6 / 8 }

// Strength returns the strength of the machine, from 0 to 1; 1 is strong enough to lead. A machine
// with unknown resources counts as strong.
func (m Machine) Strength() float64 {
	strength := 1.0
	if m.Cores > 0 {
		strength = min(strength, m.Cores/strongCores)
	}
	if m.LinkMbps > 0 {
		strength = min(strength, m.LinkMbps/strongLinkMbps)
	}
	return strength
}

// Operator is a person who may change bundles.
type Operator struct {
	Name string `yaml:"name" validate:"required"`
	// PublicKey is the ed25519 public key, in base64.
	PublicKey string `yaml:"public_key" validate:"required,base64"`
	// Teams are the teams whose bundles the operator may change; empty means all.
	Teams []bundle.TeamName `yaml:"teams"`
}

// RetryLimits limit the sends of requests after the first within a window: Ratio times the number
// of requests, plus Slack.
type RetryLimits struct {
	Ratio  float64         `yaml:"ratio" validate:"gte=0,lte=1"`
	Slack  float64         `yaml:"slack" validate:"gte=0"`
	Window bundle.Duration `yaml:"window"`
}

// ReadRouter reads a router's settings, applies the defaults and checks them.
// The error is of type Problems.
func ReadRouter(file string, data []byte, overrides []Override) (Router, error) {
	read := defaultRouter()
	check := func() []strictyaml.Problem {
		problems := append(validate.Check(read), checkRouter(read)...)
		return append(problems, checkOperators(read.Operators)...)
	}
	err := decode(file, data, overrides, &read, check)
	return read, err
}

func checkRouter(router Router) []strictyaml.Problem {
	var problems []strictyaml.Problem
	periods := []struct {
		field  string
		period bundle.Duration
	}{{"max_hold", router.MaxHold}, {"grace", router.Grace}, {"drain", router.Drain}, {"catch_up", router.CatchUp}, {"evacuate", router.Evacuate},
		{"retry.window", router.Retry.Window}, {"quota.window", router.Quota.Window}, {"revoke_within", router.RevokeWithin}}
	for _, setting := range periods {
		if setting.period <= 0 {
			problems = append(problems, problem(setting.field, "a duration above zero"))
		}
	}
	if router.Revocation == RevocationStrict && router.RevokeWithin.Std() <= MinRevokeWithin {
		problems = append(problems, problem("revoke_within", "a duration above "+MinRevokeWithin.String()))
	}
	if _, hasRegion := router.Regions[router.Zone]; len(router.Regions) > 0 && !hasRegion {
		problems = append(problems, problem("regions", "the region of zone "+router.Zone))
	}
	fields := []struct{ name, address string }{
		{"listen", router.Listen}, {"ready_listen", router.ReadyListen},
		{"peer_listen", router.PeerListen}, {"metrics_listen", router.MetricsListen},
	}
	seen := map[string]string{}
	for _, field := range fields {
		if other, duplicate := seen[field.address]; duplicate && field.address != "" {
			problems = append(problems, problem(field.name, "another address than "+other))
		}
		seen[field.address] = field.name
	}
	return problems
}

func defaultRouter() Router {
	return Router{
		DirectRouters: DefaultDirectRouters,

		MaxHold:  bundle.Duration(DefaultMaxHold),
		Grace:    bundle.Duration(DefaultGrace),
		Drain:    bundle.Duration(DefaultDrain),
		CatchUp:  bundle.Duration(DefaultCatchUp),
		Evacuate: bundle.Duration(DefaultEvacuate),
		Retry:    RetryLimits{Ratio: DefaultRetryRatio, Slack: DefaultRetrySlack, Window: bundle.Duration(DefaultRetryWindow)},
		Quota:    QuotaLimits{Window: bundle.Duration(DefaultQuotaWindow), Overshoot: DefaultQuotaOvershoot, Slack: DefaultQuotaSlack},

		Revocation:   RevocationLenient,
		RevokeWithin: bundle.Duration(DefaultRevokeWithin),
	}
}
