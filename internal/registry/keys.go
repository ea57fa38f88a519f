package registry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// keyBlock returns the range of key numbers of one partition of a service. The partitions share all
// numbers evenly in the order of their names, so that reordering them in the file moves no key.
func keyBlock(service bundle.Service, of bundle.PartitionName) (first, last int) {
	names := make([]bundle.PartitionName, 0, len(service.Partitions))
	for _, partition := range service.Partitions {
		names = append(names, partition.Name)
	}
	slices.Sort(names)
	index := slices.Index(names, of)
	return index * owner.KeyCount / len(names), (index+1)*owner.KeyCount/len(names) - 1
}

// keyNumber returns the number of a key, chosen by its hash in the block of its partition.
func keyNumber(service bundle.Service, key string) (int, bool) {
	partition, found := service.PartitionOf(key)
	if !found {
		return 0, false
	}
	first, last := keyBlock(service, partition.Name)
	return first + int(xxh3.HashString(key)%uint64(last-first+1)), true
}

// keyReader returns a function that reads the key number of a request.
func keyReader(service bundle.Service) routing.KeyReader {
	source := *service.Key
	return func(request *http.Request) (int, bool) {
		key, found := readKey(source, request)
		if !found {
			return 0, false
		}
		return keyNumber(service, key)
	}
}

// readKey returns the key string of a request. An ambiguous path or query has no key.
func readKey(source bundle.KeySource, request *http.Request) (string, bool) {
	var key string
	switch {
	case source.PathSegment > 0:
		segments := strings.Split(strings.TrimPrefix(request.URL.Path, "/"), "/")
		if request.URL.RawPath != "" || source.PathSegment > len(segments) || isAmbiguous(segments) {
			return "", false
		}
		key = segments[source.PathSegment-1]
	case source.Query != "":
		values, err := parseQuery(request)
		if err != nil || len(values[source.Query]) != 1 {
			return "", false
		}
		key = values[source.Query][0]
	default:
		values := request.Header.Values(source.Header)
		if len(values) != 1 {
			return "", false
		}
		key = values[0]
	}
	return key, key != ""
}

// isAmbiguous reports whether a path has segments that a server may remove or merge.
func isAmbiguous(segments []string) bool {
	for index, segment := range segments {
		last := index == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return true
		}
	}
	return false
}

func parseQuery(request *http.Request) (map[string][]string, error) {
	if strings.Contains(request.URL.RawQuery, ";") {
		return nil, Error.New("the query contains a semicolon, which servers parse differently")
	}
	return request.URL.Query(), nil
}

// partitionPlacement returns the zones that may hold each partition's block of keys.
func partitionPlacement(service bundle.Service) []routing.PlacementRule {
	list := make([]routing.PlacementRule, 0, len(service.Partitions))
	for _, partition := range service.Partitions {
		first, last := keyBlock(service, partition.Name)
		rule := routing.PlacementRule{From: first, To: last}
		for _, zone := range partition.Zones {
			rule.Zones = append(rule.Zones, string(zone))
		}
		list = append(list, rule)
	}
	slices.SortFunc(list, func(a, b routing.PlacementRule) int { return a.From - b.From })
	return list
}
