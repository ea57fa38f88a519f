//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = pipelinedRequests }

// Load of the case.
const (
	pipelineWorkers = 4
	pipelineClients = 20
	pipelineTime    = 8 * time.Second
	// pipelineDepth is how many requests a client sends before it reads the first answer.
	pipelineDepth = 4
	// pipelinePause is the pause between a client's groups of requests.
	pipelinePause = 200 * time.Millisecond
	// singlePause is the pause before each request of a client that sends one at a time. A router may
	// still be busy with the previous request when it has sent its answer.
	singlePause = 20 * time.Millisecond
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 5 * time.Second
	// maxLost is how many requests may be lost by the rule of a kept connection.
	maxLost = 3
	// reloadInterval is how often the settings files change.
	reloadInterval = time.Second
	// configApply is the time after a SIGHUP within which a request counts as sent around it.
	configApply = 2 * time.Second
)

const pipelineConfig = `{"version":"00000001","routes":{
"r1":{"hostname":"app.example","pathPrefix":"/lists/","routeType":"safe","timeoutS":1.5,"targetLatencyS":0.3,"priority":1,"service":"lists","attempts":2}},
"services":{"lists":{"healthPath":"/health","maxConnections":130}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":15}}`

// pipelinedRequests plays clients that send safe requests on a kept connection before the earlier ones
// are answered. Some are HEAD requests, and some are answered with 204: neither answer has a body. Each
// request that a worker ran must be answered. Meanwhile the settings files change, and the routers get
// SIGHUP, so that the requests are sent around planned work. Without trouble, the clients send the same requests one
// after the other, and the settings files stay as they are.
func pipelinedRequests(s *stage, trouble bool) ([]string, error) {
	s.configure(pipelineConfig)
	for number := range pipelineWorkers {
		err := s.startWorker(&worker{
			id: fmt.Sprintf("i-%08x", 0xa0+number), service: "lists", zone: zones[number%len(zones)], slots: 8, queue: 8,
			workTime: func() time.Duration { return time.Duration(5+rand.IntN(10)) * time.Millisecond },
			respond: func(request *http.Request) (int, []byte) {
				if strings.HasPrefix(request.URL.Path, "/lists/empty") {
					return http.StatusNoContent, nil
				}
				return http.StatusOK, []byte("tonight's list\n")
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
	time.Sleep(2 * time.Second)
	depth := 1
	if trouble {
		depth = pipelineDepth
	}
	lost := &lostRequests{stage: s, ids: map[string]lostRequest{}}
	if trouble {
		if err := s.reloadSettings(0); err != nil {
			return nil, err
		}
		stop := make(chan struct{})
		defer close(stop)
		go s.keepReloading(stop)
	}
	var clients sync.WaitGroup
	for number := range pipelineClients {
		clients.Go(func() {
			for end := time.Now().Add(pipelineTime); time.Now().Before(end); {
				lost.useConnection(s.routers[number%len(s.routers)], depth, end)
			}
		})
	}
	clients.Wait()
	return lost.judge(), nil
}

// keepReloading reloads the settings at intervals until stop is closed.
func (s *stage) keepReloading(stop <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if err := s.reloadSettings(round); err != nil {
				s.record.add("can't reload the settings: %v", err)
			}
		}
	}
}

// reloadSettings changes the settings file of each router, and sends it SIGHUP.
func (s *stage) reloadSettings(round int) error {
	for _, r := range s.routers {
		text, err := os.ReadFile(r.settingsPath)
		if err != nil {
			return err
		}
		fresh := strings.Replace(string(text), "slack: 62\n", "slack: 61\n", 1)
		if round%2 == 1 {
			fresh = strings.Replace(string(text), "slack: 61\n", "slack: 62\n", 1)
		}
		if err := os.WriteFile(r.settingsPath, []byte(fresh), 0o600); err != nil {
			return err
		}
		r.setReloaded(time.Now())
		s.record.add("SIGHUP to %s", r.name)
		if err := r.command.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// lostRequest is a request without a complete answer.
type lostRequest struct {
	// reason is how its connection ended.
	reason string
	// aroundReload tells whether it was sent soon after a SIGHUP of its router.
	aroundReload bool
}

// lostRequests are the requests without a complete answer.
type lostRequests struct {
	stage *stage
	mu    sync.Mutex
	ids   map[string]lostRequest
}

func (l *lostRequests) add(id string, lost lostRequest) {
	l.stage.record.add("no answer %s: %s, around a SIGHUP: %v", id, lost.reason, lost.aroundReload)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids[id] = lost
}

// useConnection sends requests on one connection, in groups of a given size, until it ends.
func (l *lostRequests) useConnection(router *routerProcess, depth int, end time.Time) {
	connection, err := net.Dial("tcp", router.address)
	if err != nil {
		time.Sleep(pipelinePause)
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for time.Now().Before(end) {
		for sent := 0; sent < pipelineDepth; sent += depth {
			if depth == 1 {
				time.Sleep(singlePause)
			}
			if !l.exchange(router, connection, reader, depth) {
				return
			}
		}
		time.Sleep(pipelinePause)
	}
}

// exchange sends a group of requests at once, and reads their answers. It returns false once the
// connection has ended.
func (l *lostRequests) exchange(router *routerProcess, connection net.Conn, reader *bufio.Reader, count int) bool {
	var ids, methods []string
	var group strings.Builder
	for range count {
		id, method, path := fmt.Sprintf("%016x", rand.Uint64()), http.MethodGet, "/lists/tonight"
		switch rand.IntN(6) {
		case 0:
			method = http.MethodHead
		case 1:
			path = "/lists/empty"
		}
		ids, methods = append(ids, id), append(methods, method)
		fmt.Fprintf(&group, "%s %s HTTP/1.1\r\nHost: app.example\r\nShalefork-Attempt-Id: %s\r\nShalefork-Deadline-Ms: 1200\r\n\r\n", method, path, id)
		l.stage.record.add("sent %s %s %s on %s", id, method, path, connection.LocalAddr())
	}
	aroundReload := time.Since(router.reloaded()) < configApply
	if _, err := io.WriteString(connection, group.String()); err != nil {
		return false // the requests cross the close
	}
	for index, id := range ids {
		_ = connection.SetReadDeadline(time.Now().Add(answerTimeout))
		response, err := http.ReadResponse(reader, &http.Request{Method: methods[index]})
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			for _, unanswered := range ids[index:] {
				l.add(unanswered, lostRequest{reason: err.Error(), aroundReload: aroundReload})
			}
			return false
		}
		l.stage.record.add("answered %s %d %s", id, response.StatusCode, response.Header.Get("Shalefork-Response-Signature"))
		if response.Close {
			return false // what was sent behind it counts as not read
		}
	}
	return true
}

// judge returns the lost requests that a worker ran, if they are more than the rule allows.
func (l *lostRequests) judge() []string {
	var broken []string
	aroundReload := 0
	for id, lost := range l.ids {
		if !l.stage.hasRun(id) {
			continue
		}
		if lost.aroundReload {
			aroundReload++
		}
		broken = append(broken, fmt.Sprintf("LOST: request %s ran at a worker, and its connection ended without its answer: %s", id, lost.reason))
	}
	summary := fmt.Sprintf("%d requests without an answer, %d of them ran, %d of these around a SIGHUP", len(l.ids), len(broken), aroundReload)
	l.stage.record.add("%s", summary)
	fmt.Println(summary)
	if len(broken) <= maxLost {
		return nil
	}
	return broken
}

// hasRun reports whether a worker ran a request.
func (s *stage) hasRun(id string) bool {
	for _, w := range s.workers {
		w.mu.Lock()
		ran := w.runs[id] > 0
		w.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}
