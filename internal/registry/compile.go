package registry

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Defaults of what a bundle leaves out.
const (
	// noDeadline holds requests of services without one.
	noDeadline = 24 * time.Hour
	// targetShare of the deadline is the time within which an answer is worth most.
	targetShare = 4
	// longestTarget bounds it for services with long deadlines.
	longestTarget = time.Second
	// attempts is the most workers that one request is sent to.
	attempts       = 2
	defaultBody    = 1 << 20
	defaultQueue   = 256
	defaultMoves   = 12
	defaultRetries = 0.1
)

// Compiled is what the routers need of all bundles in force.
type Compiled struct {
	Config  *routing.Config
	Workers []workers.Worker
}

// Compile turns the teams' bundles into routes, services and workers. Its version
// is the sum of theirs, which rises whenever one of them does.
func Compile(bundles []bundle.Bundle) (Compiled, error) {
	var version routing.Version
	var routes []*routing.Route
	services := map[routing.ServiceName]*routing.Service{}
	var list []workers.Worker
	for _, one := range bundles {
		version += routing.Version(one.Version)
		for _, service := range one.Services {
			name := routing.ServiceName(one.ServiceName(service))
			services[name] = compileService(name, service)
			routes = append(routes, compileRoute(one, service))
			list = append(list, compileWorkers(one, name, service)...)
		}
	}
	config, err := routing.Build(version, routes, services, routing.Limits{})
	if tenants := compileTenants(bundles); err == nil && len(tenants) > 0 {
		config, err = config.WithTenants(tenants)
	}
	return Compiled{Config: config, Workers: list}, err
}

func compileService(name routing.ServiceName, service bundle.Service) *routing.Service {
	limits := service.Limits
	compiled := &routing.Service{
		Name:       name,
		Keyed:      service.Kind == bundle.KindKeyed,
		BodyBytes:  orDefault(limits.MaxBodyBytes, defaultBody),
		Queue:      orDefault(limits.Queue, defaultQueue),
		HedgeAfter: limits.HedgeAfter.Std(),
		RetryRatio: orDefault(limits.RetryRatio, defaultRetries),
	}
	for _, backend := range service.Backends {
		compiled.Connections = max(compiled.Connections, backend.Connections)
	}
	if compiled.Keyed {
		compiled.Key = keyReader(service)
		compiled.Placement = places(service)
		compiled.ChurnWeight = service.Placement.ChurnWeight
		compiled.MovesPerMinute = orDefault(service.Placement.MovesPerMinute, defaultMoves)
	}
	return compiled
}

func orDefault[T int | int64 | float64](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

func compileRoute(one bundle.Bundle, service bundle.Service) *routing.Route {
	name := routing.ServiceName(one.ServiceName(service))
	deadline := service.Limits.Deadline.Std()
	if deadline == 0 {
		deadline = noDeadline
	}
	prefix := service.Route.PathPrefix
	if prefix == "" {
		prefix = "/"
	}
	return &routing.Route{
		Name:       string(name),
		Host:       service.Route.Host,
		Prefix:     prefix,
		Repeatable: service.Repeatable,
		Class:      classes[service.Bodies],
		Public:     service.Public,
		Open:       len(one.Tenants) == 0,
		Scope:      routing.Scope(one.Team),
		Regions:    compileRegions(service.Regions),
		Timeout:    deadline,
		Target:     min(deadline/targetShare, longestTarget),
		Attempts:   attempts,
		Services:   []routing.WeightedService{{Service: name, Weight: 1}},
	}
}

func compileWorkers(one bundle.Bundle, name routing.ServiceName, service bundle.Service) []workers.Worker {
	list := make([]workers.Worker, 0, len(service.Backends))
	for _, backend := range service.Backends {
		state := workers.StateReady
		if backend.Leaving {
			state = workers.StateDraining
		}
		list = append(list, workers.Worker{
			ID:      workers.ID(one.ServerName(service, backend)),
			Service: name,
			Address: backend.Address,
			Zone:    string(backend.Zone),
			Slots:   backend.Slots,
			State:   state,
		})
	}
	return list
}
