// Package settings holds what one process is told at its start: a YAML file,
// overridden by flags, checked whole before anything starts.
package settings

import (
	"github.com/shalefork/shalefork/internal/bundle"
)

// Common settings of every process.
type Common struct {
	Cell bundle.CellName `yaml:"cell" validate:"required"`
	Zone bundle.Zone     `yaml:"zone" validate:"required"`
	// Machine is the IP number by which the machine list knows this machine.
	Machine string `yaml:"machine" validate:"required,ip"`
	// Token admits the system's own processes to each other's ports. It never
	// reaches a log.
	Token string `yaml:"token" validate:"required,min=16"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level" validate:"omitempty,oneof=debug info warn error"`
}

// Gateway settings.
type Gateway struct {
	Common `yaml:",inline"`
	// Listen is the address for callers.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// PeerListen is the address for controllers and other gateways; it serves
	// also health and metrics.
	PeerListen string `yaml:"peer_listen" validate:"required,hostname_port"`
	// Controllers to take the table from, the nearest first.
	Controllers []string `yaml:"controllers" validate:"required,min=1,dive,hostname_port"`
	// StaleAfter is how long the gateway routes without hearing a controller.
	// Zero means without end: stale tables are harmless.
	StaleAfter bundle.Duration `yaml:"stale_after"`
	// LedgerEntries bounds the idempotency records held. Zero means 200000.
	LedgerEntries int `yaml:"ledger_entries" validate:"gte=0"`
	// LedgerRetention is how long a finished record is kept. Zero means 24h.
	LedgerRetention bundle.Duration `yaml:"ledger_retention"`
	// LedgerDoubt is how long, after two gateways were lost at once, keys are
	// refused that may have been among the lost records. Zero means as long as
	// such a record could live. With a shorter time, a caller who repeats a key
	// later than that may have its request run twice.
	LedgerDoubt bundle.Duration `yaml:"ledger_doubt"`
}

// Controller settings.
type Controller struct {
	Common `yaml:",inline"`
	// Listen is the address for controllers, gateways and operators.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Platform is the base URL of the platform's key-value service and
	// machine list.
	Platform string `yaml:"platform" validate:"required,url"`
	// Replicas in the control group: 3 or 5.
	Replicas int `yaml:"replicas" validate:"oneof=3 5"`
	// Operators who may write through the admin API.
	Operators []Operator `yaml:"operators" validate:"required,min=2,dive"`
	Times     Times      `yaml:"times"`
}

// Operator is one person who may change bundles.
type Operator struct {
	Name string `yaml:"name" validate:"required"`
	// PublicKey is the ed25519 public key, base64.
	PublicKey string `yaml:"public_key" validate:"required,base64"`
	// Teams that the operator may change; empty means all.
	Teams []bundle.TeamName `yaml:"teams"`
}

// Times are the periods of the control group. All have defaults.
type Times struct {
	Grant       bundle.Duration `yaml:"grant"`            // 600ms
	Renew       bundle.Duration `yaml:"renew"`            // 200ms
	PoolGrant   bundle.Duration `yaml:"pool_grant"`       // 3s
	PoolRenew   bundle.Duration `yaml:"pool_renew"`       // 1s
	Heartbeat   bundle.Duration `yaml:"heartbeat"`        // 100ms
	ElectionMin bundle.Duration `yaml:"election_min"`     // 240ms
	ElectionMax bundle.Duration `yaml:"election_max"`     // 320ms
	LeaderLease bundle.Duration `yaml:"leadership_lease"` // 200ms
	DriftMargin bundle.Duration `yaml:"drift_margin"`     // 10ms
	// ReplaceAfter is how long a member is silent before a standby takes its
	// place.
	ReplaceAfter bundle.Duration `yaml:"replace_after"` // 2s
	// ReformAfter is how long a group has no leader before the rest look for
	// proof that it ended.
	ReformAfter bundle.Duration `yaml:"reform_after"` // 2s
}
