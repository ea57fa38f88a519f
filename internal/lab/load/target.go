package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// target is one service with its keys.
type target struct {
	name    keyspace.ServiceName
	service bundle.Service
	// keys of a keyed service, the hottest first.
	keys []string
	zipf *rand.Zipf
}

func newTarget(config Config, service bundle.Service, random *rand.Rand) *target {
	made := &target{
		name:    config.Bundle.ServiceName(service),
		service: service,
	}
	if service.Kind != bundle.KindKeyed {
		return made
	}
	made.keys = Keys(service, config.Keys)
	made.zipf = rand.NewZipf(random, config.Skew, 1, uint64(len(made.keys)-1))
	return made
}

// Keys returns the keys that callers use of a service, the hottest first, spread
// over its partitions.
func Keys(service bundle.Service, count int) []string {
	keys := make([]string, 0, count)
	for number := range count {
		partition := service.Partitions[number%len(service.Partitions)]
		keys = append(keys, fmt.Sprintf("%skey-%d", partition.Prefix, number))
	}
	return keys
}

// pick returns a key by its popularity, empty for a service without keys.
func (t *target) pick() string {
	if t.zipf == nil {
		return ""
	}
	return t.keys[t.zipf.Uint64()]
}

// request returns the caller's request for a key, without address or headers
// other than the key's.
func (t *target) request(key string) *http.Request {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Path: path(t.service, key)},
		Host:   t.service.Route.Host,
		Header: http.Header{},
	}
	if !t.service.Repeatable {
		request.Method = http.MethodPost
	}
	if source := t.service.Key; source != nil {
		setKey(request, *source, key)
	}
	return request
}

// path returns a path under the service's route with the key in its place.
func path(service bundle.Service, key string) string {
	prefix := strings.TrimSuffix(service.Route.PathPrefix, "/")
	if service.Key == nil || service.Key.PathSegment == 0 {
		return prefix + "/item"
	}
	segments := strings.Split(strings.TrimPrefix(prefix, "/"), "/")
	if prefix == "" {
		segments = nil
	}
	for len(segments) < service.Key.PathSegment-1 {
		segments = append(segments, "item")
	}
	return "/" + strings.Join(append(segments, key), "/")
}

func setKey(request *http.Request, source bundle.KeySource, key string) {
	if source.Query != "" {
		request.URL.RawQuery = url.Values{source.Query: {key}}.Encode()
	}
	if source.Header != "" {
		request.Header.Set(source.Header, key)
	}
}

// mix picks services in proportion to the number of their back ends.
type mix struct {
	targets []*target
	// upTo[i] is the sum of the weights of targets 0 to i.
	upTo []int
}

func newMix(config Config, random *rand.Rand) *mix {
	made := &mix{}
	sum := 0
	for _, service := range config.Bundle.Services {
		sum += len(service.Backends)
		made.targets = append(made.targets, newTarget(config, service, random))
		made.upTo = append(made.upTo, sum)
	}
	return made
}

func (m *mix) pick(random *rand.Rand) *target {
	at := random.IntN(m.upTo[len(m.upTo)-1])
	for index, upTo := range m.upTo {
		if at < upTo {
			return m.targets[index]
		}
	}
	panic("the weights of a mix add up to more than its sum")
}

// forPulls returns the target that PullService names, or nil.
func (m *mix) forPulls(pulled bundle.Bundle) *target {
	service, _ := PullService(pulled)
	for _, candidate := range m.targets {
		if candidate.service.Name == service.Name {
			return candidate
		}
	}
	return nil
}

// PullService returns the service that slow bodies are pulled from: a repeatable
// one without a deadline, or else the last repeatable one. The second result is
// false if there is none.
func PullService(pulled bundle.Bundle) (bundle.Service, bool) {
	found := false
	var best bundle.Service
	for _, service := range pulled.Services {
		if !service.Repeatable || (found && best.Limits.Deadline == 0) {
			continue
		}
		best = service
		found = true
	}
	return best, found
}

// NewRequest returns one pull from a service at a gateway, with a key if the
// service has keys.
func NewRequest(service bundle.Service, gateway string, pull Pull) *http.Request {
	key := ""
	if service.Kind == bundle.KindKeyed {
		key = Keys(service, 1)[0]
	}
	request := (&target{service: service}).request(key)
	request.URL.Host = gateway
	pull.apply(request)
	return request
}
