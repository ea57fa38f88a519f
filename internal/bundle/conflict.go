package bundle

import "fmt"

// Conflicts returns a problem for each route, each address and each API key of b that a
// bundle of another team has too. Bundles of b's own team, older or newer, cause
// no conflict. A proposal with conflicts is refused.
func Conflicts(b Bundle, others []Bundle) []Problem {
	taken := newOwners(b.Team, others)
	var problems []Problem
	for i, service := range b.Services {
		path := elementPath("services", i)
		if owner, found := taken.routes[service.Route.normalized()]; found {
			problems = append(problems, conflict(path+".route", owner))
		}
		for j, backend := range service.Backends {
			if owner, found := taken.addresses[backend.Address]; found {
				problems = append(problems, conflict(elementPath(path+".backends", j)+".address", owner))
			}
		}
	}
	for i, tenant := range b.Tenants {
		for j, digest := range tenant.KeyDigests {
			if owner, found := taken.digests[digest]; found {
				problems = append(problems, conflict(elementPath(elementPath("tenants", i)+".key_digests", j), owner))
			}
		}
	}
	return problems
}

// owners maps routes, addresses and digests of API keys to the teams that have them.
type owners struct {
	routes    map[string]TeamName
	addresses map[string]TeamName
	digests   map[KeyDigest]TeamName
}

func newOwners(except TeamName, bundles []Bundle) owners {
	taken := owners{routes: map[string]TeamName{}, addresses: map[string]TeamName{}, digests: map[KeyDigest]TeamName{}}
	for _, other := range bundles {
		if other.Team == except {
			continue
		}
		for _, service := range other.Services {
			taken.routes[service.Route.normalized()] = other.Team
			for _, backend := range service.Backends {
				taken.addresses[backend.Address] = other.Team
			}
		}
		for _, tenant := range other.Tenants {
			for _, digest := range tenant.KeyDigests {
				taken.digests[digest] = other.Team
			}
		}
	}
	return taken
}

func conflict(path string, owner TeamName) Problem {
	return Problem{Field: path, Message: fmt.Sprintf("expected one that no other team has; %s has it", owner)}
}
