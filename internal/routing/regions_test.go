package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/topology"
)

func TestAllowedRegions(t *testing.T) {
	route := func(weight int, regions ...topology.Region) *Route {
		return &Route{
			Prefix: "/", Timeout: 1, Regions: regions,
			Services: []WeightedService{{Service: "s", Weight: weight}, {Service: "other", Weight: 1}},
		}
	}
	for name, test := range map[string]struct {
		routes []*Route
		want   []topology.Region
	}{
		"no route":                           {nil, nil},
		"bound":                              {[]*Route{route(1, "a")}, []topology.Region{"a"}},
		"restricted to several":              {[]*Route{route(1, "a", "b"), route(1, "b", "c")}, []topology.Region{"a", "b", "c"}},
		"one is unrestricted":                {[]*Route{route(1, "a"), route(1)}, nil},
		"the unrestricted one has no weight": {[]*Route{route(1, "a"), route(0)}, []topology.Region{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			config, err := Build(1, test.routes, map[ServiceName]*Service{"s": {}, "other": {}}, Limits{})
			assert.NilError(t, err)
			got, restricted := config.AllowedRegions("s")
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, restricted, len(test.want) > 0)
		})
	}
}
