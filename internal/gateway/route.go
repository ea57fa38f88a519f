package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// route is one service as the gateway routes to it.
type route struct {
	name    keyspace.ServiceName
	team    bundle.TeamName
	version bundle.Version
	service bundle.Service
}

// routes finds the service of a request.
type routes struct {
	byHost map[string][]*route // ordered by length of prefix, longest first
	byName map[keyspace.ServiceName]*route
}

// anyHost is the host under which services without one are kept.
const anyHost = ""

func newRoutes(bundles map[bundle.TeamName]bundle.Bundle) routes {
	made := routes{
		byHost: map[string][]*route{},
		byName: map[keyspace.ServiceName]*route{},
	}
	for _, held := range bundles {
		for _, service := range held.Services {
			made.add(held, service)
		}
	}
	for _, list := range made.byHost {
		slices.SortFunc(list, moreSpecific)
	}
	return made
}

func (r routes) add(held bundle.Bundle, service bundle.Service) {
	added := &route{
		name:    held.ServiceName(service),
		team:    held.Team,
		version: held.Version,
		service: service,
	}
	host := strings.ToLower(service.Route.Host)
	r.byHost[host] = append(r.byHost[host], added)
	r.byName[added.name] = added
}

func moreSpecific(a, b *route) int {
	if difference := len(b.service.Route.PathPrefix) - len(a.service.Route.PathPrefix); difference != 0 {
		return difference
	}
	return strings.Compare(string(a.name), string(b.name))
}

// find returns the most specific service for the request, nil if none matches:
// one with a host before one without, then the longest prefix.
func (r routes) find(request *http.Request) *route {
	host := strings.ToLower(request.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if found := longest(r.byHost[host], request.URL.Path); found != nil {
		return found
	}
	return longest(r.byHost[anyHost], request.URL.Path)
}

func longest(list []*route, path string) *route {
	for _, candidate := range list {
		if underPrefix(path, candidate.service.Route.PathPrefix) {
			return candidate
		}
	}
	return nil
}

// underPrefix reports whether path equals the prefix or continues it at a
// segment's border.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || prefix == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
