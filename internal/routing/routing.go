// Package routing holds the operators' configuration as requests need it:
// which service a request belongs to, under which limits.
//
// A Config is never changed after Build; a newer one replaces it whole.
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

// Version counts configurations; it only rises.
type Version uint64

// Route says which requests go to which services, and how.
type Route struct {
	Name string
	Host string
	// Prefix of the path; starts with a slash.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Class of the route's bodies.
	Class BodyClass
	// Public routes need no API key.
	Public bool
	// Open routes belong to a scope without tenants: callers need no API key, and their headers
	// travel on as they are.
	Open bool
	// Scope whose tenants may use the route.
	Scope Scope
	// Regions are the only ones in which requests may be served; empty: any.
	Regions []topology.Region
	// Timeout is the longest that a request is held.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// Priority: 0 is the highest.
	Priority int
	// Attempts is the most workers that one request is sent to.
	Attempts int
	// Parts share the route's requests by weight.
	Services []WeightedService
}

// Part is one service's share of a route.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// KeyReader returns the number of a request's key; false if it has none.
type KeyReader func(request *http.Request) (int, bool)

// Place says which zones may hold a run of keys, both ends inside.
type PlacementRule struct {
	From, To int
	Zones    []string
}

// Service says how its workers are met. Zero values of the bounds mean that the
// service has none of its own.
type Service struct {
	Name ServiceName
	// Connections is the most that one worker accepts from all callers.
	Connections int
	// Keyed services run a request only at the worker that holds its key.
	Keyed bool
	// WarmUp is how long a key is slow that came without a handover.
	WarmUp time.Duration
	// ColdTime is how long a worker is slow after its start, and ColdRate how many requests
	// a second it bears meanwhile, from all callers; zero: any number.
	ColdTime time.Duration
	ColdRate float64
	// Key reads the key of a request; nil: a header holds its number.
	Key KeyReader
	// Places restrict where keys may be held; keys outside of all of them may be
	// held anywhere. In the order of the keys.
	Placement []PlacementRule
	// ChurnWeight from 0 to 1 weighs moves for balance: at 1 there are none.
	ChurnWeight float64
	// MovesPerMinute bounds moves for balance.
	MovesPerMinute int
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// Queue is the most requests that wait for a worker in one process.
	Queue int
	// HedgeAfter is when a second copy of a repeatable request is sent.
	HedgeAfter time.Duration
	// RetryRatio is the ratio of second sends to requests.
	RetryRatio float64
}

// Limits bound what a client may send.
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
	// Tenants whose callers show API keys; nil: callers need none.
	Tenants map[TenantName]*Tenant
	// Remarks are what operators should know of the configuration, which is in force all the
	// same.
	Warnings []string
	routes   []*Route
	byHost   map[string][]*Route
}

// Build checks the parts of a configuration and indexes them.
func Build(version Version, routes []*Route, services map[ServiceName]*Service, limits Limits) (*Config, error) {
	config := &Config{
		Version:  version,
		Services: services,
		Limits:   limits,
		routes:   routes,
		byHost:   map[string][]*Route{},
	}
	for _, route := range routes {
		if err := check(route, services); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		config.byHost[host] = append(config.byHost[host], route)
	}
	return config, nil
}

func check(route *Route, services map[ServiceName]*Service) error {
	switch {
	case !strings.HasPrefix(route.Prefix, "/"):
		return Error.New("route %q: prefix %q must start with a slash", route.Name, route.Prefix)
	case route.Timeout <= 0:
		return Error.New("route %q: the timeout must be above zero", route.Name)
	case len(route.Services) == 0:
		return Error.New("route %q: no service", route.Name)
	}
	total := 0
	for _, part := range route.Services {
		if services[part.Service] == nil {
			return Error.New("route %q: unknown service %q", route.Name, part.Service)
		}
		if part.Weight < 0 {
			return Error.New("route %q: weight %d of service %q is below zero", route.Name, part.Weight, part.Service)
		}
		total += part.Weight
	}
	if total == 0 {
		return Error.New("route %q: all weights are zero", route.Name)
	}
	return nil
}

// Match returns the route with the longest prefix of the path, nil if none. Routes
// that name the host go before those that name none.
func (c *Config) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	if best := longest(c.byHost[strings.ToLower(host)], path); best != nil {
		return best
	}
	return longest(c.byHost[anyHost], path)
}

// anyHost is the host of routes that name none.
const anyHost = ""

func longest(routes []*Route, path string) *Route {
	var best *Route
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Routes returns how many routes there are.
func (c *Config) Routes() int { return len(c.routes) }

// HasRoute reports whether there is a route of that name.
func (c *Config) HasRoute(name string) bool {
	return slices.ContainsFunc(c.routes, func(one *Route) bool { return one.Name == name })
}
