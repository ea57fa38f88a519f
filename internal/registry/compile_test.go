package registry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

func TestCompile(t *testing.T) {
	made := parseBundle(t, bundleText)
	rival := parseBundle(t, strings.NewReplacer("team: tawila", "team: rival", "version: 1", "version: 4", "/tables/", "/books/", "tawila.example", "rival.example").Replace(bundleText))
	compiled, err := Compile([]bundle.Bundle{made, rival})
	assert.NilError(t, err)
	assert.Equal(t, int(compiled.Config.Version), 5, "the version must be the sum of the teams' versions")
	tables := compiled.Config.Services["tawila/tables"]
	assert.Assert(t, tables.Keyed)
	assert.Equal(t, tables.HedgeAfter, 150*time.Millisecond)
	assert.Equal(t, tables.RetryRatio, 0.2)
	assert.Equal(t, tables.Queue, 7)
	assert.Equal(t, tables.BodyBytes, int64(defaultBodyBytes))
	assert.Equal(t, tables.MovesPerMinute, 3)
	assert.Equal(t, tables.ChurnWeight, 0.5)
	route := compiled.Config.Match("anything.example", "/tables/7/tonight")
	assert.Equal(t, route.Name, "tawila/tables", "a route without a host must match any host")
	assert.Equal(t, route.Timeout, 800*time.Millisecond)
	assert.Equal(t, compiled.Config.Match("rival.example", "/bookings/7").Name, "rival/bookings")
	assert.Assert(t, compiled.Config.Match("another.example", "/bookings/7") == nil)
	states := map[workers.ID]workers.State{}
	for _, worker := range compiled.Workers {
		states[worker.ID] = worker.State
	}
	assert.Equal(t, len(states), 8)
	assert.Equal(t, states["tawila/bookings/d"], workers.StateDraining)
	assert.Equal(t, states["tawila/tables/b"], workers.StateReady)
}

// The keys of a partition have their own block of numbers, and only its zones may hold them.
func TestPartitionsHaveSeparateKeysAndZones(t *testing.T) {
	service := parseBundle(t, bundleText).Services[0]
	list := partitionPlacement(service)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].From, 0)
	assert.Equal(t, list[1].To, owner.KeyCount-1)
	for key, zones := range map[string][]string{
		"7":        {"casa-a", "casa-b"},
		"r-7":      {"casa-b"},
		"r":        {"casa-a", "casa-b"},
		"r-\u00e9": {"casa-b"},
	} {
		got, found := keyNumber(service, key)
		assert.Assert(t, found)
		for _, rule := range list {
			if rule.From <= got && got <= rule.To {
				assert.DeepEqual(t, rule.Zones, zones)
			}
		}
	}
}

func TestKeysOfRequests(t *testing.T) {
	segment := bundle.KeySource{PathSegment: 2}
	query := bundle.KeySource{Query: "table"}
	header := bundle.KeySource{Header: "X-Table"}
	for name, test := range map[string]struct {
		source  bundle.KeySource
		target  string
		headers []string
		want    string
	}{
		"segment":              {source: segment, target: "/tables/7/tonight", want: "7"},
		"last segment":         {source: segment, target: "/tables/7", want: "7"},
		"segment missing":      {source: segment, target: "/tables"},
		"segment empty":        {source: segment, target: "/tables//tonight"},
		"escaped slash":        {source: segment, target: "/tables/7%2f8/tonight"},
		"dots":                 {source: segment, target: "/tables/../7"},
		"doubled slash before": {source: segment, target: "//tables/7"},
		"query":                {source: query, target: "/tables?table=7", want: "7"},
		"query missing":        {source: query, target: "/tables"},
		"query twice":          {source: query, target: "/tables?table=7&table=8"},
		"query with semicolon": {source: query, target: "/tables?table=7;table=8"},
		"header":               {source: header, target: "/tables", headers: []string{"7"}, want: "7"},
		"header missing":       {source: header, target: "/tables"},
		"header twice":         {source: header, target: "/tables", headers: []string{"7", "8"}},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodGet, "http://tawila.example"+test.target, nil)
			assert.NilError(t, err)
			for _, value := range test.headers {
				request.Header.Add("X-Table", value)
			}
			got, found := readKey(test.source, request)
			assert.Equal(t, found, test.want != "")
			if found {
				assert.Equal(t, got, test.want)
			}
		})
	}
}
