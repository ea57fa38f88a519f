// Package bundle defines the configuration that operators write for a team: which zones may hold
// which keys, which back ends serve them, and how requests are routed to them.
//
// A bundle is YAML, which is parsed strictly. Each team has one sequence of versions. Names are
// scoped by the team, so teams never wait for one another.
package bundle

import "time"

// CellName is the name of a cell: a set of back ends behind the routers of one store.
type CellName string

// TeamName is the name of a team, the scope of a sequence of bundle versions.
type TeamName string

// Version counts the bundles of one team, from 1.
type Version uint64

// Zone is the name of a zone, in which processes run and keys may be held.
type Zone string

// ServerName is the scoped name of a back end, "team/service/backend".
type ServerName string

// PartitionName is the name of a partition of a service.
type PartitionName string

// ScopedName is the name of a service or tenant within its team, such as "team/service".
type ScopedName string

// Kind determines how the back end of a service's request is chosen.
type Kind string

// Kinds of services.
const (
	// KindKeyed: each key of the service is owned by one back end.
	KindKeyed Kind = "keyed"
	// KindPool: any back end serves any request.
	KindPool Kind = "pool"
)

// Bundle is one version of a team's configuration.
type Bundle struct {
	Team     TeamName  `yaml:"team" json:"team" validate:"required"`
	Version  Version   `yaml:"version" json:"version" validate:"required"`
	Cell     CellName  `yaml:"cell" json:"cell" validate:"required"`
	Zones    []Zone    `yaml:"zones" json:"zones" validate:"required,min=1,unique"`
	Services []Service `yaml:"services" json:"services" validate:"required,min=1,dive"`
	// Tenants are the tenants whose callers send API keys to the team's services; if empty, callers
	// need no key.
	Tenants []Tenant `yaml:"tenants,omitempty" json:"tenants,omitempty" validate:"dive"`
}

// Service is one named service of a team.
type Service struct {
	Name  string `yaml:"name" json:"name" validate:"required"`
	Kind  Kind   `yaml:"kind" json:"kind" validate:"required,oneof=keyed pool"`
	Route Route  `yaml:"route" json:"route"`
	// Key is the location of the key in a keyed service's requests.
	Key *KeySource `yaml:"key,omitempty" json:"key,omitempty"`
	// Repeatable is set if it is safe to send a request more than once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// Public is set if callers need no API key although the bundle has tenants.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Regions are the only regions in which requests may be served; if empty, all are allowed.
	Regions []Region `yaml:"regions,omitempty" json:"regions,omitempty" validate:"unique"`
	// Bodies is the class of the service's bodies, by size and direction; empty means small.
	Bodies Bodies `yaml:"bodies,omitempty" json:"bodies,omitempty" validate:"omitempty,oneof=small bulk-up bulk-down"`
	// Limits apply to each request and to the router's queue.
	Limits Limits `yaml:"limits" json:"limits"`
	// Partitions are those of a keyed service; one with an empty prefix is required.
	Partitions []Partition `yaml:"partitions,omitempty" json:"partitions,omitempty" validate:"dive"`
	// Placement configures the moves of keys of a keyed service.
	Placement Placement `yaml:"placement,omitempty" json:"placement,omitempty"`
	Backends  []Backend `yaml:"backends" json:"backends" validate:"required,min=1,dive"`
}

// Route determines which requests belong to a service. The most specific matching
// route wins: one with a host before one without, then the longest prefix.
type Route struct {
	Host       string `yaml:"host,omitempty" json:"host,omitempty"`
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
}

// KeySource is the location of the key in a request. Exactly one field is set.
type KeySource struct {
	// PathSegment is the number of the path's segment, counted from 1.
	PathSegment int    `yaml:"path_segment,omitempty" json:"path_segment,omitempty"`
	Query       string `yaml:"query,omitempty" json:"query,omitempty"`
	Header      string `yaml:"header,omitempty" json:"header,omitempty"`
}

// Limits are the limits of one request and of the router's queue for the service.
type Limits struct {
	// Deadline is the time for a request, unless the caller requests a shorter one. Zero
	// means no deadline, for streams that may last hours.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// MaxBodyBytes is the maximum size of a request's body. Zero means 1 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty" validate:"gte=0"`
	// Queue is the maximum number of requests that wait in one router. Zero means 256.
	Queue int `yaml:"queue,omitempty" json:"queue,omitempty" validate:"gte=0"`
	// HedgeAfter is the delay before a hedged copy of a repeatable request is sent. Zero means
	// never.
	HedgeAfter Duration `yaml:"hedge_after,omitempty" json:"hedge_after,omitempty"`
	// RetryRatio is the retry budget: the number of retries per request. Zero means 0.1.
	RetryRatio float64 `yaml:"retry_ratio,omitempty" json:"retry_ratio,omitempty" validate:"gte=0,lte=1"`
}

// Partition is the placement rule for the keys with a prefix. The longest matching prefix wins.
type Partition struct {
	Name   PartitionName `yaml:"name" json:"name" validate:"required"`
	Prefix string        `yaml:"prefix" json:"prefix"`
	// Zones are the only zones that may hold these keys.
	Zones []Zone `yaml:"zones" json:"zones" validate:"required,min=1,unique"`
}

// Placement weighs the balance of load against the number of moves of ownership.
type Placement struct {
	// ChurnWeight is from 0 to 1. With 0, keys move for any gain in balance that exceeds the
	// cost of the move; with 1, they never move for balance. Moves from a lost or draining
	// server are always made.
	ChurnWeight float64 `yaml:"churn_weight,omitempty" json:"churn_weight,omitempty" validate:"gte=0,lte=1"`
	// MovesPerMinute is the maximum rate of moves for balance. Zero means 12.
	MovesPerMinute int `yaml:"moves_per_minute,omitempty" json:"moves_per_minute,omitempty" validate:"gte=0"`
}

// Backend is one server of a service.
type Backend struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"required,hostname_port"`
	Zone    Zone   `yaml:"zone" json:"zone" validate:"required"`
	// Slots is the number of requests that it processes concurrently.
	Slots int `yaml:"slots" json:"slots" validate:"required,gte=1"`
	// Connections is the maximum number of connections that it accepts from all routers together.
	Connections int `yaml:"connections" json:"connections" validate:"required,gte=1"`
	// Leaving is set if the back end gets no new work.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// Duration is a time.Duration written as "250ms" in YAML and JSON.
type Duration time.Duration

// ServiceName returns the scoped name of the team's service.
func (b Bundle) ServiceName(service Service) ScopedName {
	return ScopedName(string(b.Team) + "/" + service.Name)
}

// ServerName returns the scoped name of the service's back end.
func (b Bundle) ServerName(service Service, backend Backend) ServerName {
	return ServerName(string(b.Team) + "/" + service.Name + "/" + backend.Name)
}

// PartitionOf returns the partition with the longest prefix that matches the key. The second
// result is false if none matches.
func (s Service) PartitionOf(key string) (Partition, bool) {
	found := false
	var best Partition
	for _, partition := range s.Partitions {
		if !matches(partition, key) {
			continue
		}
		if !found || len(partition.Prefix) > len(best.Prefix) {
			best = partition
			found = true
		}
	}
	return best, found
}

func matches(partition Partition, key string) bool {
	return len(key) >= len(partition.Prefix) && key[:len(partition.Prefix)] == partition.Prefix
}
