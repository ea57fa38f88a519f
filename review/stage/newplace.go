//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/shalefork/shalefork/ownership"
)

func init() { cases["newplace"] = newPlace }

// Load and times of the case.
const (
	newPlaceWorkers = 4
	newPlaceRate    = 40 // requests per second
	// restartTime is how long the worker is away.
	restartTime = 300 * time.Millisecond
	// reuseTime is when its address goes to another worker, after addressReuseS.
	reuseTime = 2500 * time.Millisecond
	// killTime is when the leader is killed, and endTime when the case ends, from the worker's crash.
	killTime = 6 * time.Second
	endTime  = 20 * time.Second
)

const newPlaceConfig = `{"version":"00000001","routes":{
"r1":{"hostname":"app.example","pathPrefix":"/tables/","routeType":"safe","timeoutS":1.5,"targetLatencyS":0.3,"priority":1,"service":"tables","attempts":2},
"r2":{"hostname":"app.example","pathPrefix":"/lists/","routeType":"safe","timeoutS":1.5,"targetLatencyS":0.3,"priority":1,"service":"lists","attempts":2}},
"services":{"tables":{"healthPath":"/health","maxConnections":130,"sharded":true,"warmS":2},"lists":{"healthPath":"/health","maxConnections":130}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":15}}`

// newPlace plays a worker that crashes and starts again under its id at another address. Its former
// address goes to a worker of another service. Seconds later, the router that leads is killed. No two
// workers may hold the same keys.
func newPlace(s *stage, trouble bool) ([]string, error) {
	s.configure(newPlaceConfig)
	newWorker := func(id, service string) *worker {
		return &worker{
			id: id, service: service, zone: zones[len(s.workers)%len(zones)], slots: 2, queue: 8, sharded: service == "tables", born: time.Now().UnixMilli(),
			workTime: func() time.Duration { return time.Duration(30+rand.IntN(60)) * time.Millisecond },
		}
	}
	for number := range newPlaceWorkers {
		if err := s.startWorker(newWorker(fmt.Sprintf("i-%08x", 0xa0+number), "tables")); err != nil {
			return nil, err
		}
	}
	if err := s.startWorker(newWorker("i-000000b0", "lists")); err != nil {
		return nil, err
	}
	if err := s.startRouters(4); err != nil {
		return nil, err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	c := newClient(s.record)
	if err := s.awaitServed(c, "/tables/"); err != nil {
		return nil, err
	}
	overlaps := s.watchHolds()
	var disruption sync.WaitGroup
	var failure error
	disruption.Go(func() {
		if trouble {
			failure = s.moveWorker(newWorker)
		}
	})
	s.load(c, newPlaceRate, endTime+2*time.Second, func(number int) {
		router := s.routers[rand.IntN(len(s.routers))]
		c.send("GET", router.address, fmt.Sprintf("/tables/%d", number), fmt.Sprintf("%016x", rand.Uint64()), rand.IntN(65536), 1200*time.Millisecond, nil)
	})
	disruption.Wait()
	return overlaps.stop(), failure
}

// moveWorker plays the disruption.
func (s *stage) moveWorker(newWorker func(id, service string) *worker) error {
	time.Sleep(2 * time.Second)
	old := s.workers[0]
	crashed := time.Now()
	s.record.add("crash of worker %s at %s", old.id, old.address())
	old.close()
	time.Sleep(restartTime)
	if err := s.startWorker(newWorker(old.id, old.service)); err != nil {
		return err
	}
	time.Sleep(time.Until(crashed.Add(reuseTime)))
	if skipped != "reuse" {
		if err := s.startWorkerAt(newWorker("i-000000c0", "lists"), old.address()); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(crashed.Add(killTime)))
	if skipped == "kill" {
		return nil
	}
	leader := s.leader()
	if leader == nil {
		return errors.New("no router leads")
	}
	s.record.add("kill router %s, which leads", leader.name)
	return leader.command.Process.Kill()
}

// leader returns the router whose metrics state that it leads; nil if there is none.
func (s *stage) leader() *routerProcess {
	client := &http.Client{Timeout: time.Second}
	for _, r := range s.routers {
		response, err := client.Get("http://" + r.metrics + "/metrics")
		if err != nil {
			continue
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && strings.Contains(string(content), "\nshalefork_router_leading 1\n") {
			return r
		}
	}
	return nil
}

// Parameters of watching holds.
const (
	holdInterval = 10 * time.Millisecond
	// keyStep is the distance of the keys that are watched.
	keyStep = 256
	// maxOverlap is how long two workers may hold the same key by the rule.
	maxOverlap = 500 * time.Millisecond
)

// holdWatch watches which keys two workers that are up hold at the same time.
type holdWatch struct {
	stage *stage
	since map[int]time.Time
	// longest is the longest overlap by the two workers' names.
	longest map[string]time.Duration
	done    chan struct{}
	ended   sync.WaitGroup
}

func (s *stage) watchHolds() *holdWatch {
	h := &holdWatch{stage: s, since: map[int]time.Time{}, longest: map[string]time.Duration{}, done: make(chan struct{})}
	h.ended.Go(func() {
		ticker := time.NewTicker(holdInterval)
		defer ticker.Stop()
		for {
			select {
			case <-h.done:
				return
			case <-ticker.C:
				h.check()
			}
		}
	})
	return h
}

func (h *holdWatch) check() {
	now := time.Now()
	held := ownership.Now()
	h.stage.mu.Lock()
	workers := append([]*worker(nil), h.stage.workers...)
	h.stage.mu.Unlock()
	for key := 0; key < ownership.KeyCount; key += keyStep {
		var holders []string
		for _, w := range workers {
			if w.sharded && !w.hasEnded() && w.holder.Holds(held, key) {
				holders = append(holders, w.id)
			}
		}
		if len(holders) < 2 {
			delete(h.since, key)
			continue
		}
		if _, known := h.since[key]; !known {
			h.since[key] = now
			h.stage.record.add("key %d is held by %v", key, holders)
		}
		names := strings.Join(holders, " and ")
		h.longest[names] = max(h.longest[names], now.Sub(h.since[key]))
	}
}

// stop ends the watch and returns the overlaps that break the rule.
func (h *holdWatch) stop() []string {
	close(h.done)
	h.ended.Wait()
	var broken []string
	for names, overlap := range h.longest {
		h.stage.record.add("%s held the same keys for %v", names, overlap)
		if overlap > maxOverlap {
			var line bytes.Buffer
			fmt.Fprintf(&line, "OWNER: %s held the same keys for %v", names, overlap.Round(time.Millisecond))
			broken = append(broken, line.String())
		}
	}
	return broken
}
