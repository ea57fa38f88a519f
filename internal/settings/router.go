package settings

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
	"github.com/shalefork/shalefork/internal/topology"
)

// Router settings: a process that takes clients' requests and may lead the cell.
type Router struct {
	// Node names the process in logs and towards the others.
	Node string `yaml:"node" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// Listen is the address for clients.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// ReadyListen is the address at which it is asked whether it is ready.
	ReadyListen string `yaml:"ready_listen" validate:"required,hostname_port"`
	// PeerListen is the address for the other routers.
	PeerListen string `yaml:"peer_listen" validate:"required,hostname_port"`
	// MetricsListen is the address of the metrics.
	MetricsListen string `yaml:"metrics_listen" validate:"required,hostname_port"`
	// Store is the address of the key-value service.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// MaxHold is the longest that workers take a grant for.
	MaxHold bundle.Duration `yaml:"max_hold"`
	// MinLease is the shortest lease that the key-value service takes.
	MinLease bundle.Duration `yaml:"min_lease"`
	// Grace is the time from SIGTERM until the process must have ended.
	Grace bundle.Duration `yaml:"grace"`
	// Retry bounds second sends over all routers together.
	Retry RetryLimits `yaml:"retry"`
	// Drain is how long workers that leave may get requests.
	Drain bundle.Duration `yaml:"drain"`
	// CatchUp is for how long after the end of an outage or cut a router may act by what it
	// knew before.
	CatchUp bundle.Duration `yaml:"catch_up"`
	// Evacuate is how long workers of an evacuated zone may get requests.
	Evacuate bundle.Duration `yaml:"evacuate"`
	// Regions are those of the zones; empty: all zones are near to one another.
	Regions map[string]string `yaml:"regions"`
	// Quota bounds what counts as within a tenant's limit, over all routers together.
	Quota QuotaLimits `yaml:"quota"`
	// Revocation says what becomes of callers with API keys while this process cannot know
	// whether their keys still hold.
	Revocation Revocation `yaml:"revocation" validate:"oneof=lenient strict"`
	// RevokeWithin is after how long without news such callers are refused where revocation
	// is strict.
	RevokeWithin bundle.Duration `yaml:"revoke_within"`
	// FirstStart says that the whole system starts for the first time, so that nothing
	// is stored yet.
	FirstStart bool `yaml:"first_start"`
	// Machine that the process runs on; stronger ones lead first.
	Machine Machine `yaml:"machine"`
	// DirectRouters is up to how many routers the leader speaks with each of them; where
	// there are more, it speaks with one relay in each zone.
	DirectRouters int `yaml:"direct_routers" validate:"gte=0"`
	// Operators who may change bundles. Where there are any, the router follows
	// the teams' bundles, and not a configuration of the platform's.
	Operators []Operator `yaml:"operators" validate:"dive"`
}

// Machine is what a process may use. Zero: not known.
type Machine struct {
	// Cores is the share of processor cores, such as 0.5.
	Cores float64 `yaml:"cores" validate:"gte=0"`
	// LinkMbps is the bandwidth of its link, in megabits a second.
	LinkMbps float64 `yaml:"link_mbps" validate:"gte=0"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `yaml:"memory_mb" validate:"gte=0"`
}

// Revocation is how strictly API keys are taken away.
type Revocation string

// Ways to take API keys away.
const (
	// RevocationLenient serves callers by the configuration that is known, however old.
	RevocationLenient Revocation = "lenient"
	// RevocationStrict refuses callers once the configuration may be out of date.
	RevocationStrict Revocation = "strict"
)

// MinRevokeWithin is how old what a router is told may be without a fault: what a leader tells
// may be 2.2 s old before it says that it does not reach the store, and a request that is let in
// takes a moment to its worker. With less, each caller with a key would be refused always.
const MinRevokeWithin = 2400 * time.Millisecond

// QuotaLimits say what is still within a tenant's limit: in each window, its rate times the
// window and its burst, a share of both beyond that, and a fixed number of requests.
type QuotaLimits struct {
	Window    bundle.Duration `yaml:"window"`
	Overshoot float64         `yaml:"overshoot" validate:"gte=0,lte=1"`
	Slack     float64         `yaml:"slack" validate:"gte=0"`
}

// What a strong machine has.
const (
	strongCores    = 0.5
	strongLinkMbps = 100
)

// Places returns which regions the zones belong to.
func (r Router) Topology() topology.Map {
	regions := map[topology.Zone]topology.Region{}
	for zone, region := range r.Regions {
		regions[topology.Zone(zone)] = topology.Region(region)
	}
	return topology.New(regions)
}

// LinkBytes is the bandwidth of the machine's link, in bytes a second; zero: not known.
func (m Machine) LinkBytes() float64 { return m.LinkMbps * 1e6 / 8 }

// Strength is from 0 to 1, which is strong enough to lead. A machine of which nothing
// is known is taken to be strong.
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

// Operator is one person who may change bundles.
type Operator struct {
	Name string `yaml:"name" validate:"required"`
	// PublicKey is the ed25519 public key, base64.
	PublicKey string `yaml:"public_key" validate:"required,base64"`
	// Teams that the operator may change; empty means all.
	Teams []bundle.TeamName `yaml:"teams"`
}

// RetryLimits bound second sends within a window: ratio of the requests, and a
// fixed number beyond it.
type RetryLimits struct {
	Ratio  float64         `yaml:"ratio" validate:"gte=0,lte=1"`
	Slack  float64         `yaml:"slack" validate:"gte=0"`
	Window bundle.Duration `yaml:"window"`
}

// ReadRouter reads a router's settings, fills in the defaults and checks them.
// The error is Problems.
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
	for _, one := range periods {
		if one.period <= 0 {
			problems = append(problems, problem(one.field, "a duration above zero"))
		}
	}
	if router.Revocation == RevocationStrict && router.RevokeWithin.Std() <= MinRevokeWithin {
		problems = append(problems, problem("revoke_within", "a duration above "+MinRevokeWithin.String()))
	}
	if _, named := router.Regions[router.Zone]; len(router.Regions) > 0 && !named {
		problems = append(problems, problem("regions", "the region of zone "+router.Zone))
	}
	fields := []struct{ name, address string }{
		{"listen", router.Listen}, {"ready_listen", router.ReadyListen},
		{"peer_listen", router.PeerListen}, {"metrics_listen", router.MetricsListen},
	}
	seen := map[string]string{}
	for _, one := range fields {
		if other, twice := seen[one.address]; twice && one.address != "" {
			problems = append(problems, problem(one.name, "another address than "+other))
		}
		seen[one.address] = one.name
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
