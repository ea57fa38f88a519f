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

// block returns the numbers of the keys of one of a service's partitions, which
// share all numbers evenly in the order of their names: a new order in the file
// moves no key.
func block(service bundle.Service, of bundle.PartitionName) (first, last int) {
	names := make([]bundle.PartitionName, 0, len(service.Partitions))
	for _, partition := range service.Partitions {
		names = append(names, partition.Name)
	}
	slices.Sort(names)
	place := slices.Index(names, of)
	return place * owner.KeyCount / len(names), (place+1)*owner.KeyCount/len(names) - 1
}

// number returns the number of a key: in the block of its partition, by its hash.
func number(service bundle.Service, key string) (int, bool) {
	partition, found := service.PartitionOf(key)
	if !found {
		return 0, false
	}
	first, last := block(service, partition.Name)
	return first + int(xxh3.HashString(key)%uint64(last-first+1)), true
}

// keyReader returns how a request's key is read.
func keyReader(service bundle.Service) routing.KeyReader {
	source := *service.Key
	return func(request *http.Request) (int, bool) {
		key, found := readKey(source, request)
		if !found {
			return 0, false
		}
		return number(service, key)
	}
}

// readKey finds the key's text. A path or a query that can be read in two ways
// has none.
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

// isAmbiguous reports whether a path has segments that a server may drop or join.
func isAmbiguous(segments []string) bool {
	for place, segment := range segments {
		last := place == len(segments)-1
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return true
		}
	}
	return false
}

func parseQuery(request *http.Request) (map[string][]string, error) {
	if strings.Contains(request.URL.RawQuery, ";") {
		return nil, Error.New("the query can be read in two ways")
	}
	return request.URL.Query(), nil
}

// places returns the zones that may hold each block of keys.
func places(service bundle.Service) []routing.PlacementRule {
	list := make([]routing.PlacementRule, 0, len(service.Partitions))
	for _, partition := range service.Partitions {
		first, last := block(service, partition.Name)
		place := routing.PlacementRule{From: first, To: last}
		for _, zone := range partition.Zones {
			place.Zones = append(place.Zones, string(zone))
		}
		list = append(list, place)
	}
	slices.SortFunc(list, func(a, b routing.PlacementRule) int { return a.From - b.From })
	return list
}
