// Package bundle defines what operators write: which places may hold which
// keys, which back ends serve them, and how requests reach them.
//
// A bundle is YAML, read strictly. Each team has one line of versions; names
// are scoped by the team, so teams never wait for one another.
package bundle

import "time"

// CellName names a cell: a set of back ends behind the routers of one store.
type CellName string

// TeamName names a team: the scope of a line of bundle versions.
type TeamName string

// Version counts the bundles of one team, from 1.
type Version uint64

// Zone names the place where a process runs and where keys may be held.
type Zone string

// ServerName names a back end as "team/service/backend".
type ServerName string

// PartitionName names a partition of a service.
type PartitionName string

// ScopedName names a service within its team, as "team/service".
type ScopedName string

// Kind says how a service's requests find their back end.
type Kind string

// Kinds of services.
const (
	// KindKeyed services own keys: each slice has one owner.
	KindKeyed Kind = "keyed"
	// KindPool services serve any request on any back end.
	KindPool Kind = "pool"
)

// Bundle is one version of a team's configuration.
type Bundle struct {
	Team     TeamName  `yaml:"team" json:"team" validate:"required"`
	Version  Version   `yaml:"version" json:"version" validate:"required"`
	Cell     CellName  `yaml:"cell" json:"cell" validate:"required"`
	Zones    []Zone    `yaml:"zones" json:"zones" validate:"required,min=1,unique"`
	Services []Service `yaml:"services" json:"services" validate:"required,min=1,dive"`
	// Tenants whose callers show API keys to the team's services; none: callers need no key.
	Tenants []Tenant `yaml:"tenants,omitempty" json:"tenants,omitempty" validate:"dive"`
}

// Service is one named service of a team.
type Service struct {
	Name  string `yaml:"name" json:"name" validate:"required"`
	Kind  Kind   `yaml:"kind" json:"kind" validate:"required,oneof=keyed pool"`
	Route Route  `yaml:"route" json:"route"`
	// Key says where a keyed service's key stands in a request.
	Key *KeySource `yaml:"key,omitempty" json:"key,omitempty"`
	// Repeatable requests may be sent again without harm.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// Public services need no API key in a bundle with tenants.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// Regions are the only ones in which requests may be served; none: any.
	Regions []Region `yaml:"regions,omitempty" json:"regions,omitempty" validate:"unique"`
	// Bodies says how large the bodies are, and which way they go; empty: small.
	Bodies Bodies `yaml:"bodies,omitempty" json:"bodies,omitempty" validate:"omitempty,oneof=small bulk-up bulk-down"`
	// Limits of one request and of the router's queue.
	Limits Limits `yaml:"limits" json:"limits"`
	// Partitions of a keyed service; one with an empty prefix is required.
	Partitions []Partition `yaml:"partitions,omitempty" json:"partitions,omitempty" validate:"dive"`
	// Placement of a keyed service.
	Placement Placement `yaml:"placement,omitempty" json:"placement,omitempty"`
	Backends  []Backend `yaml:"backends" json:"backends" validate:"required,min=1,dive"`
}

// Route says which requests belong to a service. The most specific matching
// route wins: one with a host before one without, then the longest prefix.
type Route struct {
	Host       string `yaml:"host,omitempty" json:"host,omitempty"`
	PathPrefix string `yaml:"path_prefix,omitempty" json:"path_prefix,omitempty"`
}

// KeySource says where the key is. Exactly one field is set.
type KeySource struct {
	// PathSegment counts the segments of the path from 1.
	PathSegment int    `yaml:"path_segment,omitempty" json:"path_segment,omitempty"`
	Query       string `yaml:"query,omitempty" json:"query,omitempty"`
	Header      string `yaml:"header,omitempty" json:"header,omitempty"`
}

// Limits bound one request and the router's queue for the service.
type Limits struct {
	// Deadline of a request, if the caller names none that is shorter. Zero
	// means no deadline, for streams that may last hours.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// MaxBodyBytes of a request. Zero means 1 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty" validate:"gte=0"`
	// Queue is the most requests that wait in one router. Zero means 256.
	Queue int `yaml:"queue,omitempty" json:"queue,omitempty" validate:"gte=0"`
	// HedgeAfter starts a second try of a repeatable request. Zero: never.
	HedgeAfter Duration `yaml:"hedge_after,omitempty" json:"hedge_after,omitempty"`
	// RetryRatio is the retry budget: retries per first try. Zero means 0.1.
	RetryRatio float64 `yaml:"retry_ratio,omitempty" json:"retry_ratio,omitempty" validate:"gte=0,lte=1"`
}

// Partition gives the keys with a prefix a placement rule of their own. The
// longest matching prefix wins.
type Partition struct {
	Name   PartitionName `yaml:"name" json:"name" validate:"required"`
	Prefix string        `yaml:"prefix" json:"prefix"`
	// Zones that may hold these keys. They never leave them.
	Zones []Zone `yaml:"zones" json:"zones" validate:"required,min=1,unique"`
}

// Placement weighs balance of load against moves of ownership.
type Placement struct {
	// ChurnWeight in 0..1: 0 moves for any gain of balance that repays, 1 never
	// moves for balance. Moves off a lost or draining server are always made.
	ChurnWeight float64 `yaml:"churn_weight,omitempty" json:"churn_weight,omitempty" validate:"gte=0,lte=1"`
	// MovesPerMinute bounds planned moves for balance. Zero means 12.
	MovesPerMinute int `yaml:"moves_per_minute,omitempty" json:"moves_per_minute,omitempty" validate:"gte=0"`
}

// Backend is one server of a service.
type Backend struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"required,hostname_port"`
	Zone    Zone   `yaml:"zone" json:"zone" validate:"required"`
	// Slots is how many requests it runs at once.
	Slots int `yaml:"slots" json:"slots" validate:"required,gte=1"`
	// Connections is the most that it accepts, from all routers together.
	Connections int `yaml:"connections" json:"connections" validate:"required,gte=1"`
	// Leaving back ends get no new work.
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

// PartitionOf returns the partition that holds key, by the longest matching
// prefix. The second result is false if none matches.
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
