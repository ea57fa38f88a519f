package bundle

import (
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits of the values in a bundle.
const (
	minDeadline       = time.Millisecond // requests carry their deadline in whole milliseconds
	maxDeadline       = 24 * time.Hour
	maxBodyBytes      = 1 << 30
	maxQueue          = 100_000
	maxSlots          = 10_000
	maxConnections    = 100_000
	maxMovesPerMinute = 6_000
	maxPathSegment    = 32
	maxTextBytes      = 256
)

// systemPath is the path prefix of the system's own endpoints, which routers forward to no
// server.
const systemPath = "/shalefork"

// hostPattern matches a host name in lower case, and headerPattern a field name as in RFC 9110.
var (
	hostPattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,252}$`)
	headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}$")
)

func (c *checker) checkService(path string, service Service) {
	c.checkLimits(path+".limits", service)
	c.checkBackends(path+".backends", service)
	switch service.Kind {
	case KindKeyed:
		c.checkKeyed(path, service)
	case KindPool:
		c.checkPool(path, service)
	}
}

func (c *checker) checkLimits(path string, service Service) {
	limits := service.Limits
	deadline := limits.Deadline.Std()
	if deadline != 0 && (deadline < minDeadline || deadline > maxDeadline) {
		c.report(path+".deadline", "expected %s to %s; leave it out for no deadline", minDeadline, maxDeadline)
	}
	if limits.MaxBodyBytes > maxBodyBytes {
		c.report(path+".max_body_bytes", "expected at most %d", maxBodyBytes)
	}
	if limits.Queue > maxQueue {
		c.report(path+".queue", "expected at most %d", maxQueue)
	}
	if limits.HedgeAfter > 0 && !service.Repeatable {
		c.report(path+".hedge_after", "expected only on a service that is repeatable")
	}
	if limits.Deadline > 0 && limits.HedgeAfter >= limits.Deadline {
		c.report(path+".hedge_after", "expected less than the deadline, %s", limits.Deadline.Std())
	}
}

func (c *checker) checkBackends(path string, service Service) {
	names := newUnique(c, "back end name")
	for i, backend := range service.Backends {
		backendPath := elementPath(path, i)
		c.checkName(backendPath+".name", backend.Name)
		names.add(backendPath+".name", backend.Name)
		c.checkZone(backendPath+".zone", backend.Zone)
		if backend.Slots > maxSlots {
			c.report(backendPath+".slots", "expected at most %d", maxSlots)
		}
		if backend.Connections > maxConnections {
			c.report(backendPath+".connections", "expected at most %d", maxConnections)
		}
	}
}

// checkAddresses reports addresses that two back ends of the bundle share, and
// those without an IP address: the system does not resolve names. Only the canonical form of an
// address is valid, since addresses of teams and servers are compared as text.
func (c *checker) checkAddresses() {
	addresses := newUnique(c, "address")
	for i, service := range c.bundle.Services {
		for j, backend := range service.Backends {
			path := elementPath(elementPath("services", i)+".backends", j) + ".address"
			parsed, err := netip.ParseAddrPort(backend.Address)
			if err != nil || parsed.Port() == 0 {
				c.report(path, "expected an address as IP:PORT")
				continue
			}
			if parsed.String() != backend.Address {
				c.report(path, "expected the shortest form, %s", parsed)
			}
			addresses.add(path, parsed.String())
		}
	}
}

// checkRoutes reports routes that two services share. Overlapping routes are
// allowed, because the most specific one wins.
func (c *checker) checkRoutes() {
	routes := newUnique(c, "route")
	for i, service := range c.bundle.Services {
		path := elementPath("services", i) + ".route"
		if service.Route == (Route{}) {
			c.report(path, "expected a host, a path_prefix or both")
			continue
		}
		c.checkRoute(path, service.Route)
		routes.add(path, service.Route.normalized())
	}
}

func (c *checker) checkRoute(path string, route Route) {
	if route.Host != "" && !hostPattern.MatchString(route.Host) {
		c.report(path+".host", "expected a host name in lower case, without a port")
	}
	prefix := route.PathPrefix
	if prefix != "" && !strings.HasPrefix(prefix, "/") {
		c.report(path+".path_prefix", "expected a path that begins with \"/\"")
	}
	c.checkText(path+".path_prefix", prefix)
	if prefix == systemPath || strings.HasPrefix(prefix, systemPath+"/") {
		c.report(path+".path_prefix", "expected another path: %s is the system's own", systemPath)
	}
	if strings.ContainsAny(prefix, "?# %") {
		c.report(path+".path_prefix", "expected a decoded path, without query or fragment")
	}
}

// normalized returns a text that is equal for routes that match the same requests. An empty prefix
// is the same as "/".
func (r Route) normalized() string {
	prefix := r.PathPrefix
	if prefix == "" {
		prefix = "/"
	}
	return r.Host + prefix
}

func (c *checker) checkKeyed(path string, service Service) {
	c.checkKeySource(path+".key", service.Key)
	c.checkPartitions(path+".partitions", service)
	if service.Placement.MovesPerMinute > maxMovesPerMinute {
		c.report(path+".placement.moves_per_minute", "expected at most %d", maxMovesPerMinute)
	}
}

func (c *checker) checkKeySource(path string, key *KeySource) {
	if key == nil {
		c.report(path, "expected a key: path_segment, query or header")
		return
	}
	set := 0
	for _, isSet := range []bool{key.PathSegment != 0, key.Query != "", key.Header != ""} {
		if isSet {
			set++
		}
	}
	if set != 1 {
		c.report(path, "expected exactly one of path_segment, query and header, found %d", set)
	}
	if key.PathSegment < 0 || key.PathSegment > maxPathSegment {
		c.report(path+".path_segment", "expected 1 to %d", maxPathSegment)
	}
	c.checkText(path+".query", key.Query)
	if key.Header != "" && !headerPattern.MatchString(key.Header) {
		c.report(path+".header", "expected the name of an HTTP header")
	}
	if strings.HasPrefix(http.CanonicalHeaderKey(key.Header), "Shalefork-") {
		c.report(path+".header", "expected another name: Shalefork- is reserved")
	}
}

func (c *checker) checkPartitions(path string, service Service) {
	names := newUnique(c, "partition name")
	prefixes := newUnique(c, "prefix")
	hasDefault := false
	for i, partition := range service.Partitions {
		partitionPath := elementPath(path, i)
		c.checkName(partitionPath+".name", string(partition.Name))
		names.add(partitionPath+".name", string(partition.Name))
		c.checkText(partitionPath+".prefix", partition.Prefix)
		prefixes.add(partitionPath+".prefix", partition.Prefix)
		hasDefault = hasDefault || partition.Prefix == ""
		c.checkPartitionZones(partitionPath+".zones", service, partition)
	}
	if !hasDefault {
		c.report(path, "expected a partition with an empty prefix, for all other keys")
	}
}

func (c *checker) checkPartitionZones(path string, service Service, partition Partition) {
	for i, zone := range partition.Zones {
		c.checkZone(elementPath(path, i), zone)
	}
	for _, backend := range service.Backends {
		if !backend.Leaving && slices.Contains(partition.Zones, backend.Zone) {
			return
		}
	}
	c.report(path, "expected a zone with a back end of the service that is not leaving")
}

func (c *checker) checkPool(path string, service Service) {
	if service.Key != nil {
		c.report(path+".key", "expected only on a keyed service")
	}
	if len(service.Partitions) > 0 {
		c.report(path+".partitions", "expected only on a keyed service")
	}
	if service.Placement != (Placement{}) {
		c.report(path+".placement", "expected only on a keyed service")
	}
	isActive := func(backend Backend) bool { return !backend.Leaving }
	if !slices.ContainsFunc(service.Backends, isActive) {
		c.report(path+".backends", "expected a back end that is not leaving")
	}
}

// checkText reports text that is too long, or that JSON, headers or logs would not preserve.
func (c *checker) checkText(path, text string) {
	if len(text) > maxTextBytes || !isPrintable(text) {
		c.report(path, "expected at most %d bytes of printable text", maxTextBytes)
	}
}

func isPrintable(text string) bool {
	for _, character := range text {
		if character == utf8.RuneError || !unicode.IsPrint(character) {
			return false
		}
	}
	return true
}
