package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

// Refusals that need nothing but a table.
func TestRefusalsBeforeAnyServerIsAsked(t *testing.T) {
	cases := []struct {
		method, url, body string
		status            int
		reason            wire.Reason
	}{
		{"GET", "/nowhere", "", 404, wire.ReasonNoRoute},
		{"GET", "/booking", "", 404, wire.ReasonNoRoute},
		{"GET", "/book", "", 400, wire.ReasonNoKey},
		{"GET", "/book/%20r7", "", 400, wire.ReasonNoKey},
		{"GET", "/book/r%0A7", "", 400, wire.ReasonNoKey},
		{"GET", "/book/../other/r7", "", 400, wire.ReasonMalformed},
		{"POST", "/book/r7", strings.Repeat("x", 101), 413, wire.ReasonTooLarge},
		{"GET", "/held/r7", "", 503, wire.ReasonNoPlace},
		{"GET", "/free/r7", "", 503, wire.ReasonNoOwner},
		{"GET", "/leaving/r7", "", 503, wire.ReasonReleasing},
		{"GET", "/empty", "", 503, wire.ReasonNoBackend},
	}
	names := []string{"book", "held", "free", "leaving"}
	services := make([]bundle.Service, 0, len(names)+1)
	for _, name := range names {
		service := keyedService(name, false)
		service.Limits.MaxBodyBytes = 100
		services = append(services, service)
	}
	update := tableOf(1, append(services, poolService("empty", true)), "w1")
	for i := range update.Assignments {
		entry := &update.Assignments[i]
		switch entry.Slice.Service {
		case "tawila/held":
			entry.Server, entry.Refusal = "", wire.ReasonNoPlace
		case "tawila/free":
			entry.Server = ""
		case "tawila/leaving":
			entry.State = wire.SliceReleasing
		case "tawila/empty":
			entry.Shared = false
		}
	}
	for i := range update.Servers {
		update.Servers[i].Draining = strings.Contains(string(update.Servers[i].Name), "/empty/")
	}
	inCell(t, func(c *cell) {
		c.gateway("g1")
		c.ask("GET", "/book/r7", "").refused(t, 503, wire.OutcomeNotRun, wire.ReasonStaleTable)
		c.controller.publish(update)
		for _, test := range cases {
			got := c.ask(test.method, test.url, test.body)
			got.refused(t, test.status, wire.OutcomeNotRun, test.reason)
			if test.status == 503 {
				assert.Equal(t, got.header.Get("Retry-After"), "1")
			}
		}
	})
}

// Reasons of servers reach the caller once the deadline has passed.
func TestServersRefusalsReachTheCaller(t *testing.T) {
	cases := []struct {
		reason wire.Reason
		status int
		given  wire.Reason
	}{
		{wire.ReasonNoGrant, 503, wire.ReasonNoGrant},
		{wire.ReasonWrongFence, 503, wire.ReasonWrongFence},
		{wire.ReasonWrongBundle, 503, wire.ReasonWrongBundle},
		{wire.ReasonExpired, 503, wire.ReasonExpired},
		{wire.ReasonReleasing, 503, wire.ReasonReleasing},
		{wire.ReasonDraining, 503, wire.ReasonDraining},
		{wire.ReasonDeadline, 503, wire.ReasonDeadline},
		{wire.ReasonMalformed, 400, wire.ReasonMalformed},
		{wire.ReasonOverloaded, 429, wire.ReasonOverloaded},
		{"invented", 503, wire.ReasonNoBackend},
	}
	for _, test := range cases {
		t.Run(string(test.reason), func(t *testing.T) {
			inCell(t, func(c *cell) {
				c.serve("w1:1", echo(func(writer http.ResponseWriter, _ *http.Request) { serverRefusal(writer, test.reason) }))
				c.gateway("g1")
				c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
				c.ask("POST", "/book/r7", "x").refused(t, test.status, wire.OutcomeNotRun, test.given)
			})
		})
	}
}

// A server that is overloaded for long uses the retry budget up, after which
// requests are tried once.
func TestRetryBudgetIsSpent(t *testing.T) {
	inCell(t, func(c *cell) {
		asked := 0
		c.serve("w1:1", echo(func(writer http.ResponseWriter, _ *http.Request) {
			asked++
			serverRefusal(writer, wire.ReasonOverloaded)
		}))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		for range 2 {
			c.ask("POST", "/book/r7", "x")
		}
		asked = 0
		c.ask("POST", "/book/r7", "x").refused(t, 503, wire.OutcomeNotRun, wire.ReasonRetriesSpent)
		assert.Equal(t, asked, 1)
	})
}

func TestStaleTableIsRefusedWhereSettingsSaySo(t *testing.T) {
	inCell(t, func(c *cell) {
		c.gateway("g1", func(config *settings.Gateway) { config.StaleAfter = bundle.Duration(10 * time.Second) })
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) {}))
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		assert.Equal(t, c.ask("GET", "/book/r7", "").status, 200)
		c.controller.setSilent(true)
		time.Sleep(9 * time.Second)
		assert.Equal(t, c.ask("GET", "/book/r7", "").status, 200)
		time.Sleep(2 * time.Second)
		c.ask("GET", "/book/r7", "").refused(t, 503, wire.OutcomeNotRun, wire.ReasonStaleTable)
	})
}

// The queue is bounded, and a request beyond it is refused at once.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	inCell(t, func(c *cell) {
		release := make(chan struct{})
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) { <-release }))
		c.gateway("g1")
		service := keyedService("book", false)
		service.Limits.Queue = 1
		c.controller.publish(tableOf(1, []bundle.Service{service}, "w1"))
		var asking sync.WaitGroup
		for range 3 { // two slots and one place in the queue
			asking.Go(func() { c.ask("POST", "/book/r7", "x") })
		}
		synctest.Wait()
		began := time.Now()
		c.ask("POST", "/book/r7", "x").refused(t, 429, wire.OutcomeNotRun, wire.ReasonQueueFull)
		assert.Equal(t, time.Since(began), time.Duration(0))
		close(release)
		asking.Wait()
	})
}

// A request that would wait past its deadline is refused at once.
func TestHopelessWaitRefusesAtOnce(t *testing.T) {
	inCell(t, func(c *cell) {
		c.serve("w1:1", echo(func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) }))
		c.gateway("g1")
		c.controller.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		for range 60 { // learns how long a slot is held
			assert.Equal(t, c.ask("POST", "/book/r7", "x").status, 200)
		}
		var asking sync.WaitGroup
		for range 7 { // two run, five wait for two more rounds
			asking.Go(func() { c.ask("POST", "/book/r7", "x") })
		}
		synctest.Wait()
		began := time.Now()
		c.ask("POST", "/book/r7", "x").refused(t, 503, wire.OutcomeNotRun, wire.ReasonDeadline)
		assert.Equal(t, time.Since(began), time.Duration(0))
		asking.Wait()
	})
}

// While a slice moves, its requests wait for the new owner, and then reach it
// and nobody else.
func TestRequestsWaitForTheNewOwner(t *testing.T) {
	inCell(t, func(c *cell) {
		for _, name := range []string{"w1", "w2"} {
			c.serve(name+":1", echo(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(name)) }))
		}
		c.gateway("g1")
		update := tableOf(1, []bundle.Service{keyedService("book", false)}, "w1", "w2")
		update.Assignments[0].State = wire.SliceReleasing
		c.controller.publish(update)
		answered := make(chan answer)
		go func() { answered <- c.ask("POST", "/book/r7", "x") }()
		time.Sleep(300 * time.Millisecond)
		moved := update.Assignments[0]
		moved.Server, moved.State, moved.Fence = "tawila/book/w2", wire.SliceServing, wire.NewFence(1, 2)
		c.controller.publish(wire.TableUpdate{
			Cell: testCell, From: update.Version, Version: wire.TableVersion{Generation: 1, Index: 2},
			Assignments: []wire.TableEntry{moved},
		})
		assert.Equal(t, (<-answered).body, "w2")
	})
}

// The table never goes back, and a delta that does not fit brings a snapshot.
func TestTableNeverGoesBack(t *testing.T) {
	inCell(t, func(c *cell) {
		c.gateway("g1")
		gateway := c.gateways["g1"]
		newer := tableOf(5, []bundle.Service{keyedService("book", false)}, "w1")
		c.controller.publish(newer)
		assert.Equal(t, gateway.tables.view.Load().table.Version(), newer.Version)
		older := tableOf(4, []bundle.Service{keyedService("book", false)}, "w2")
		assert.Assert(t, gateway.take(older) != nil)
		lower := tableOf(6, nil)
		lower.Bundles[0].Version = 0
		assert.ErrorIs(t, gateway.take(lower), errOlderBundle)
		misfit := wire.TableUpdate{Cell: testCell, From: wire.TableVersion{Generation: 1, Index: 8}, Version: wire.TableVersion{Generation: 1, Index: 9}}
		c.controller.publish(misfit)
		time.Sleep(lastTablePause)
		entry, ok := gateway.tables.view.Load().table.Lookup("tawila/book", "all", keyspace.HashKey("r7"))
		assert.Assert(t, ok)
		assert.Equal(t, entry.Server, bundle.ServerName("tawila/book/w1"))
		assert.Assert(t, c.controller.snapshotsAsked() > 0)
	})
}

// A controller that falls silent is left for the next one at once.
func TestSilentControllerIsLeft(t *testing.T) {
	inCell(t, func(c *cell) {
		second := &controller{changed: make(chan struct{})}
		c.serve("controller:2", second)
		c.gateway("g1", func(config *settings.Gateway) { config.Controllers = append(config.Controllers, "controller:2") })
		c.controller.setSilent(true)
		second.publish(tableOf(1, []bundle.Service{keyedService("book", false)}, "w1"))
		time.Sleep(tableSilence + 600*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, c.gateways["g1"].tables.view.Load().table.Version().Index, uint64(1))
	})
}
