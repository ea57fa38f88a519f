// Package routing holds the operators' configuration in the form that requests need: which service
// a request belongs to, and under which limits.
//
// A Config is never changed once it is in use; a newer one replaces it as a whole.
package routing

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/topology"
)

// Error is the class of errors of this package.
var Error = errs.Class("routing")

// ServiceName names a set of interchangeable workers.
type ServiceName string

// Version numbers configurations; it only increases.
type Version uint64

// Route describes which requests go to which services, and how.
type Route struct {
	Name string
	Host string
	// Prefix is the beginning of the path; it starts with a slash.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Class describes the route's bodies.
	Class BodyClass
	// Public routes need no API key.
	Public bool
	// Open routes belong to a scope without tenants: callers need no API key, and their headers are
	// forwarded unchanged.
	Open bool
	// Scope is the scope whose tenants may use the route.
	Scope Scope
	// Regions are the only ones in which requests may be served; empty: any.
	Regions []topology.Region
	// Timeout is the longest time for which a request is held.
	Timeout time.Duration
	// Target is the time within which an answer has the most value.
	Target time.Duration
	// Priority of the requests; 0 is the highest.
	Priority int
	// Attempts is the maximum number of workers that one request is sent to.
	Attempts int
	// Services share the route's requests by weight.
	Services []WeightedService
}

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// KeyReader returns the number of a request's key; false if it has none.
type KeyReader func(request *http.Request) (int, bool)

// PlacementRule restricts the keys From to To, both included, to workers in some zones.
type PlacementRule struct {
	From, To int
	Zones    []string
}

// Service describes how requests are sent to a service's workers. A limit of zero means that the
// service sets none.
type Service struct {
	Name ServiceName
	// Connections is the maximum number that one worker accepts from all callers.
	Connections int
	// Keyed services run a request only at the worker that holds its key.
	Keyed bool
	// WarmUp is how long requests for a key are slow after it was moved without a handover.
	WarmUp time.Duration
	// ColdTime is how long a worker is slow after its start, and ColdRate how many requests per
	// second it can take meanwhile, from all callers; zero: any number.
	ColdTime time.Duration
	ColdRate float64
	// Key reads the key of a request; nil: a header contains its number.
	Key KeyReader
	// Placement restricts where keys may be held; keys without a rule may be held anywhere. It is
	// sorted by the keys.
	Placement []PlacementRule
	// ChurnWeight, from 0 to 1, is the weight against moves for balance: at 1 there are none.
	ChurnWeight float64
	// MovesPerMinute limits moves for balance.
	MovesPerMinute int
	// BodyBytes limits a request's body.
	BodyBytes int64
	// Queue is the maximum number of requests that wait for a worker in one process.
	Queue int
	// HedgeAfter is the delay after which a second copy of a repeatable request is sent.
	HedgeAfter time.Duration
	// RetryRatio limits the further sends of requests, as a ratio of their first sends.
	RetryRatio float64
}

// Limits apply to what a client may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Services map[ServiceName]*Service
	Limits   Limits
	// Tenants are those whose callers authenticate with API keys; nil: callers need none.
	Tenants map[TenantName]*Tenant
	// Warnings are for operators; the configuration is in force all the same.
	Warnings []string
	routes   []*Route
	byHost   map[string][]*Route
}

// Build validates the parts of a configuration and indexes them.
func Build(version Version, routes []*Route, services map[ServiceName]*Service, limits Limits) (*Config, error) {
	config := &Config{
		Version:  version,
		Services: services,
		Limits:   limits,
		routes:   routes,
		byHost:   map[string][]*Route{},
	}
	for _, route := range routes {
		if err := validate(route, services); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		config.byHost[host] = append(config.byHost[host], route)
	}
	return config, nil
}

func validate(route *Route, services map[ServiceName]*Service) error {
	switch {
	case !strings.HasPrefix(route.Prefix, "/"):
		return Error.New("route %q: prefix %q must start with a slash", route.Name, route.Prefix)
	case route.Timeout <= 0:
		return Error.New("route %q: the timeout must be above zero", route.Name)
	case len(route.Services) == 0:
		return Error.New("route %q: no service", route.Name)
	}
	total := 0
	for _, weighted := range route.Services {
		if services[weighted.Service] == nil {
			return Error.New("route %q: unknown service %q", route.Name, weighted.Service)
		}
		if weighted.Weight < 0 {
			return Error.New("route %q: weight %d of service %q is below zero", route.Name, weighted.Weight, weighted.Service)
		}
		total += weighted.Weight
	}
	if total == 0 {
		return Error.New("route %q: all weights are zero", route.Name)
	}
	return nil
}

// Match returns the route with the longest matching path prefix, nil if none. Routes that name the
// host take precedence over those that name none.
func (c *Config) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	if best := longestPrefix(c.byHost[strings.ToLower(host)], path); best != nil {
		return best
	}
	return longestPrefix(c.byHost[anyHost], path)
}

// anyHost is the host of routes that name none.
const anyHost = ""

func longestPrefix(routes []*Route, path string) *Route {
	var best *Route
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return len(c.routes) }

// HasRoute reports whether there is a route with that name.
func (c *Config) HasRoute(name string) bool {
	return slices.ContainsFunc(c.routes, func(one *Route) bool { return one.Name == name })
}
