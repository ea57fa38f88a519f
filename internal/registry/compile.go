package registry

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// Defaults for values that a bundle does not set, and fixed values of routes.
const (
	// defaultDeadline is the deadline of requests to services that set none.
	defaultDeadline = 24 * time.Hour
	// targetDivisor divides the deadline to get the target latency, within which a response has its
	// highest value.
	targetDivisor = 4
	// maxTarget is the longest target latency, for services with long deadlines.
	maxTarget = time.Second
	// maxAttempts is the maximum number of workers to which one request is sent.
	maxAttempts      = 2
	defaultBodyBytes = 1 << 20
	defaultQueue     = 256
	defaultMoves     = 12
	defaultRetries   = 0.1
)

// Compiled is the configuration and the workers of all bundles in force, as routers use them.
type Compiled struct {
	Config  *routing.Config
	Workers []workers.Worker
}

// Compile compiles the teams' bundles to routes, services and workers. The version of the
// configuration is the sum of their versions, which rises whenever one of them does.
func Compile(bundles []bundle.Bundle) (Compiled, error) {
	var version routing.Version
	var routes []*routing.Route
	services := map[routing.ServiceName]*routing.Service{}
	var list []workers.Worker
	for _, teamBundle := range bundles {
		version += routing.Version(teamBundle.Version)
		for _, service := range teamBundle.Services {
			name := routing.ServiceName(teamBundle.ServiceName(service))
			services[name] = compileService(name, service)
			routes = append(routes, compileRoute(teamBundle, service))
			list = append(list, compileWorkers(teamBundle, name, service)...)
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
		BodyBytes:  orDefault(limits.MaxBodyBytes, defaultBodyBytes),
		Queue:      orDefault(limits.Queue, defaultQueue),
		HedgeAfter: limits.HedgeAfter.Std(),
		RetryRatio: orDefault(limits.RetryRatio, defaultRetries),
	}
	for _, backend := range service.Backends {
		compiled.Connections = max(compiled.Connections, backend.Connections)
	}
	if compiled.Keyed {
		compiled.Key = keyReader(service)
		compiled.Placement = partitionPlacement(service)
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

func compileRoute(teamBundle bundle.Bundle, service bundle.Service) *routing.Route {
	name := routing.ServiceName(teamBundle.ServiceName(service))
	deadline := service.Limits.Deadline.Std()
	if deadline == 0 {
		deadline = defaultDeadline
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
		Class:      bodyClasses[service.Bodies],
		Public:     service.Public,
		Open:       len(teamBundle.Tenants) == 0,
		Scope:      routing.Scope(teamBundle.Team),
		Regions:    compileRegions(service.Regions),
		Timeout:    deadline,
		Target:     min(deadline/targetDivisor, maxTarget),
		Attempts:   maxAttempts,
		Services:   []routing.WeightedService{{Service: name, Weight: 1}},
	}
}

func compileWorkers(teamBundle bundle.Bundle, name routing.ServiceName, service bundle.Service) []workers.Worker {
	list := make([]workers.Worker, 0, len(service.Backends))
	for _, backend := range service.Backends {
		state := workers.StateReady
		if backend.Leaving {
			state = workers.StateDraining
		}
		list = append(list, workers.Worker{
			ID:      workers.ID(teamBundle.ServerName(service, backend)),
			Service: name,
			Address: backend.Address,
			Zone:    string(backend.Zone),
			Slots:   backend.Slots,
			State:   state,
		})
	}
	return list
}
