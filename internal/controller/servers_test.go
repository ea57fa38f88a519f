package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// testServer is a server that holds grants by the real lease holder.
type testServer struct {
	name    bundle.ServerName
	clock   clock.Source
	http    *http.Server
	mu      sync.Mutex
	holder  *lease.Holder
	granted []wire.SliceGrant
}

func (s *session) startServer(backend bundle.Backend) {
	s.servers[backend.Address] = s.openServer(backend)
}

// openServer starts a server whose grants are not watched.
func (s *session) openServer(backend bundle.Backend) *testServer {
	server := &testServer{
		name:   bundle.ServerName(testTeam + "/tables/" + backend.Name),
		clock:  clock.NewVirtual(),
		holder: lease.NewHolder(testCell, wire.Incarnation("run-of-"+backend.Name)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRenew, server.renew)
	server.http = &http.Server{Handler: mux}
	listener := s.network.Open(backend.Address)
	go server.http.Serve(listener)
	return server
}

func (v *testServer) renew(writer http.ResponseWriter, request *http.Request) {
	var renewal wire.RenewRequest
	if json.NewDecoder(request.Body).Decode(&renewal) != nil || request.Header.Get("Shalefork-Token") != testToken {
		http.Error(writer, "bad renewal", http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	answer := v.holder.Renew(v.clock.Now(), renewal)
	if renewal.Slices != nil && answer.Refused == "" {
		v.granted = slices.Clone(*renewal.Slices)
	}
	json.NewEncoder(writer).Encode(answer)
}

// serving returns the grants under which the server would run a request now.
func (v *testServer) serving() []wire.SliceGrant {
	v.mu.Lock()
	defer v.mu.Unlock()
	var held []wire.SliceGrant
	for _, grant := range v.granted {
		ticket, reason := v.holder.Admit(v.clock.Now(), testCell, grant.Slice, grant.Fence, grant.Bundle)
		if reason == "" {
			v.holder.Finish(ticket)
			held = append(held, grant)
		}
	}
	return held
}

// watchOwners checks at every moment that no key has two owners, and that the
// fence of a slice never falls.
func (s *session) watchOwners(ctx context.Context) {
	fences := map[string]wire.Fence{}
	for clock.Sleep(ctx, 5*time.Millisecond) {
		var seen []wire.SliceGrant
		for _, server := range s.servers {
			for _, grant := range server.serving() {
				for _, other := range seen {
					assert.Check(s.t, !grant.Slice.Overlaps(other.Slice), "two owners of %s", grant.Slice)
				}
				assert.Check(s.t, grant.Fence >= fences[grant.Slice.String()], "fence of %s fell", grant.Slice)
				fences[grant.Slice.String()] = max(grant.Fence, fences[grant.Slice.String()])
				seen = append(seen, grant)
			}
		}
	}
}

// served returns how many slices some server serves, under which version.
func (s *session) served(version bundle.Version, generation wire.Generation) int {
	count := 0
	for _, server := range s.servers {
		for _, grant := range server.serving() {
			if grant.Bundle == version && grant.Fence.Generation() == generation {
				count++
			}
		}
	}
	return count
}

func (s *session) allServed(version bundle.Version, generation wire.Generation) func() bool {
	return func() bool { return s.served(version, generation) == testSlices }
}

const testSlices = 8

// testBundle has one keyed service on four servers in two zones.
func testBundle(version bundle.Version) bundle.Bundle {
	zones := []bundle.Zone{"zone-1", "zone-2"}
	service := bundle.Service{
		Name:       "tables",
		Kind:       bundle.KindKeyed,
		Route:      bundle.Route{PathPrefix: "/tables"},
		Key:        &bundle.KeySource{PathSegment: 2},
		Partitions: []bundle.Partition{{Name: "all", Zones: zones}},
		Placement:  bundle.Placement{Slices: testSlices, ChurnWeight: 1},
	}
	for i := range 4 {
		service.Backends = append(service.Backends, bundle.Backend{
			Name:        fmt.Sprintf("worker-%d", i+1),
			Address:     fmt.Sprintf("10.0.1.%d:8000", i+1),
			Zone:        zones[i%2],
			Slots:       2,
			Connections: 130,
		})
	}
	return bundle.Bundle{Team: testTeam, Version: version, Cell: testCell, Zones: zones, Services: []bundle.Service{service}}
}
