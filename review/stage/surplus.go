//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

func init() { cases["surplus"] = surplusAnswers }

// Load and disruption of the case.
const (
	surplusWorkers  = 4
	surplusRate     = 100 // requests per second
	surplusTime     = 60 * time.Second
	surplusShare    = 0.06 // of the answers are sent twice
	surplusMinDelay = 20 * time.Millisecond
	surplusMaxDelay = 70 * time.Millisecond
)

const surplusConfig = `{"version":"00000001","routes":{
"r1":{"hostname":"app.example","pathPrefix":"/orders/","routeType":"unsafe","timeoutS":1.5,"targetLatencyS":0.3,"priority":1,"service":"orders","attempts":2}},
"services":{"orders":{"healthPath":"/health","maxConnections":130,"sharded":true,"warmS":2}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":15}}`

// surplusAnswers plays workers that are full at times, and that send some of their answers twice on
// the same connection. Requests of an unsafe route must run at most once all the same.
func surplusAnswers(s *stage, trouble bool) ([]string, error) {
	var faulty atomic.Bool
	s.configure(surplusConfig)
	for number := range surplusWorkers {
		err := s.startWorker(&worker{
			id: fmt.Sprintf("i-%08x", 0xa0+number), service: "orders", zone: zones[number%len(zones)], slots: 2, queue: 2, sharded: true,
			workTime: func() time.Duration { return time.Duration(30+rand.IntN(60)) * time.Millisecond },
			surplus: func() (time.Duration, bool) {
				delay := surplusMinDelay + rand.N(surplusMaxDelay-surplusMinDelay)
				return delay, faulty.Load() && rand.Float64() < surplusShare
			},
		})
		if err != nil {
			return nil, err
		}
	}
	if err := s.startRouters(3); err != nil {
		return nil, err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	c := newClient(s.record)
	if err := s.awaitServed(c, "/orders/"); err != nil {
		return nil, err
	}
	faulty.Store(trouble)
	s.load(c, surplusRate, surplusTime, func(number int) {
		router := s.routers[rand.IntN(len(s.routers))]
		c.send("POST", router.address, fmt.Sprintf("/orders/%d", number), fmt.Sprintf("%016x", rand.Uint64()), rand.IntN(65536), 1200*time.Millisecond, []byte("one table"))
	})
	return s.judgeRuns(c), nil
}

// judgeRuns returns the requests that ran more than once. All are of unsafe routes. Those that ran
// although their answer says that they have not are printed and recorded.
func (s *stage) judgeRuns(c *client) []string {
	runs := map[string]int{}
	for _, w := range s.workers {
		w.mu.Lock()
		for id, count := range w.runs {
			runs[id] += count
		}
		w.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	statuses := map[int]int{}
	for id, status := range c.answers {
		statuses[status]++
		if runs[id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s ran %d times; its answer was %d", id, runs[id], status))
		}
		if promises := status == 429 || status == 503 || status == 408 || status == 421; promises && runs[id] > 0 {
			line := fmt.Sprintf("REFUSED: request %s ran and was answered %d", id, status)
			s.record.add("besides: %s", line)
			fmt.Println("besides: " + line)
		}
	}
	s.record.add("answers by status: %v", statuses)
	return broken
}
