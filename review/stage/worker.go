//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/lab/loopback"
	"github.com/shalefork/shalefork/ownership"
	"github.com/shalefork/shalefork/platform/standin"
)

// worker is a stand-in of a worker, as PROTOCOL.md describes one. It writes its answers itself, so
// that it can also write a surplus one.
type worker struct {
	id, service, zone string
	slots, queue      int
	sharded           bool
	// workTime returns how long a request takes.
	workTime func() time.Duration
	// respond returns the status and body of the answer to a request that ran; nil: 200 and a few bytes.
	respond func(request *http.Request) (status int, body []byte)
	// surplus returns after which delay an answer is sent once more; false if it is not.
	surplus func() (time.Duration, bool)

	// born is when this life of the worker began, in Unix milliseconds; zero: it does not say.
	born int64

	stage    *stage
	listener net.Listener
	holder   *ownership.Holder
	slot     chan struct{}
	stop     chan struct{}
	mu       sync.Mutex
	waiting  int
	// runs counts how often each request was run.
	runs map[string]int
	// connections are those that are open.
	connections map[net.Conn]bool
	ended       bool
	sequence    int
}

const heartbeat = 1300 * time.Millisecond

// startWorker starts a worker at a new address, and announces it.
func (s *stage) startWorker(w *worker) error { return s.startWorkerAt(w, loopback.Address().String()) }

// startWorkerAt starts a worker at an address, and announces it.
func (s *stage) startWorkerAt(w *worker, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.stage, w.listener, w.holder = s, listener, ownership.NewHolder()
	w.slot, w.stop, w.runs = make(chan struct{}, w.slots), make(chan struct{}), map[string]int{}
	w.connections = map[net.Conn]bool{}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.record.add("start worker %s of %s at %s", w.id, w.service, listener.Addr())
	go w.accept()
	go w.announce()
	return nil
}

// close ends the worker as a crash does: its connections end, and it says nothing.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	close(w.stop)
	_ = w.listener.Close()
	for connection := range w.connections {
		_ = connection.Close()
	}
}

func (w *worker) hasEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// address returns where the worker listens.
func (w *worker) address() string { return w.listener.Addr().String() }

// announce writes the worker's entry at each heartbeat.
func (w *worker) announce() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		w.sequence++
		fields := map[string]any{
			"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1",
			"capacity": w.slots, "state": "ready", "warmupLeftS": 0, "sequence": w.sequence,
		}
		if w.born != 0 {
			fields["born"] = w.born
		}
		entry, err := json.Marshal(fields)
		if err != nil {
			panic(err)
		}
		standin.Write(w.stage.store.Memory, "servers/"+w.id, entry)
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

func (w *worker) accept() {
	for {
		accepted, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(accepted)
	}
}

// answer is one answer of the worker.
type answer struct {
	status int
	header [][2]string
	body   []byte
	// headOnly answers a HEAD request.
	headOnly bool
}

func (a answer) encode() []byte {
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, line := range a.header {
		fmt.Fprintf(&encoded, "%s: %s\r\n", line[0], line[1])
	}
	if a.status != http.StatusNoContent {
		fmt.Fprintf(&encoded, "Content-Length: %d\r\n", len(a.body))
	}
	encoded.WriteString("\r\n")
	if !a.headOnly {
		encoded.Write(a.body)
	}
	return encoded.Bytes()
}

// serve serves one request at a time on a connection.
func (w *worker) serve(connection net.Conn) {
	if !w.open(connection) {
		_ = connection.Close()
		return
	}
	defer w.drop(connection)
	reader := bufio.NewReader(connection)
	var writing sync.Mutex
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		isOrder := request.URL.Path == "/api/grant" || request.URL.Path == "/api/release"
		encoded := w.handle(request, body).encode()
		writing.Lock()
		_, err = connection.Write(encoded)
		writing.Unlock()
		if err != nil {
			return
		}
		if w.surplus == nil || isOrder {
			continue
		}
		if delay, faulty := w.surplus(); faulty {
			id := request.Header.Get("Shalefork-Attempt-Id")
			time.AfterFunc(delay, func() {
				writing.Lock()
				defer writing.Unlock()
				if _, err := connection.Write(encoded); err == nil {
					w.stage.record.add("surplus %s at %s from %s", id, w.id, connection.RemoteAddr())
				}
			})
		}
	}
}

// open notes an open connection. It returns false if the worker has ended.
func (w *worker) open(connection net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connections[connection] = !w.ended
	return !w.ended
}

func (w *worker) drop(connection net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, connection)
	_ = connection.Close()
}

// handle handles a request or an order.
func (w *worker) handle(request *http.Request, body []byte) answer {
	if target := request.Header.Get("Shalefork-Target-Instance"); target != "" && target != w.id {
		w.stage.record.add("reject %s for %s at %s %d", request.URL.Path, target, w.id, http.StatusMisdirectedRequest)
		return answer{status: http.StatusMisdirectedRequest, header: [][2]string{
			{"Shalefork-Attempt-Id", request.Header.Get("Shalefork-Attempt-Id")}, {"Shalefork-Not-Executed", "1"},
		}}
	}
	switch request.URL.Path {
	case "/api/grant", "/api/release":
		return w.order(request, body)
	case "/health":
		return answer{status: http.StatusOK, header: [][2]string{{"Shalefork-Instance-Id", w.id}}}
	}
	id := request.Header.Get("Shalefork-Attempt-Id")
	header := [][2]string{{"Shalefork-Attempt-Id", id}}
	reject := func(status int, reason string) answer {
		w.stage.record.add("reject %s at %s %d %s", id, w.id, status, reason)
		return answer{status: status, header: append(header, [2]string{"Shalefork-Not-Executed", "1"})}
	}
	if id == "" {
		return reject(http.StatusBadRequest, "no id")
	}
	millis, _ := strconv.Atoi(request.Header.Get("Shalefork-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(millis) * time.Millisecond)
	if !w.enterQueue() {
		return reject(http.StatusServiceUnavailable, "full")
	}
	w.slot <- struct{}{}
	w.leaveQueue()
	defer func() { <-w.slot }()
	if millis > 0 && time.Now().After(deadline) {
		return reject(http.StatusServiceUnavailable, "deadline")
	}
	if w.sharded {
		key, err := strconv.Atoi(request.Header.Get("Shalefork-Shard-Key"))
		work, held := w.holder.Begin(ownership.Now(), key)
		if err != nil || !held {
			return reject(http.StatusMisdirectedRequest, "key not held")
		}
		defer work.End()
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.stage.record.add("run %s key %s at %s", id, request.Header.Get("Shalefork-Shard-Key"), w.id)
	time.Sleep(w.workTime())
	w.stage.record.add("ran %s at %s", id, w.id)
	done := answer{status: http.StatusOK, body: []byte("done " + id + "\n"), headOnly: request.Method == http.MethodHead}
	if w.respond != nil {
		done.status, done.body = w.respond(request)
	}
	done.header = append(header, [2]string{"Shalefork-Response-Signature", fmt.Sprintf("%s.%d", w.id, rand.Uint32())})
	return done
}

// enterQueue returns false if all slots are taken and the queue is full.
func (w *worker) enterQueue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting+len(w.slot) >= w.slots+w.queue {
		return false
	}
	w.waiting++
	return true
}

func (w *worker) leaveQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

// order carries out a grant or a release.
func (w *worker) order(request *http.Request, body []byte) answer {
	var o struct {
		From  int     `json:"from"`
		To    int     `json:"targetVersion"`
		Fence int64   `json:"fence"`
		Hold  float64 `json:"holdS"`
	}
	if json.Unmarshal(body, &o) != nil {
		return answer{status: http.StatusBadRequest}
	}
	keys := ownership.Keys{From: o.From, To: o.To}
	if request.URL.Path == "/api/release" {
		w.stage.record.add("release %d-%d fence %d at %s", o.From, o.To, o.Fence, w.id)
		_ = w.holder.Release(context.Background(), keys, o.Fence)
		return answer{status: http.StatusOK, header: [][2]string{{"Shalefork-Handover", fmt.Sprintf("%016x", rand.Uint64())}}}
	}
	outcome := w.holder.Grant(ownership.Now(), ownership.Grant{Keys: keys, Fence: o.Fence, Hold: time.Duration(o.Hold * float64(time.Second))})
	w.stage.record.add("grant %d-%d fence %d at %s: %s", o.From, o.To, o.Fence, w.id, outcome)
	status := map[ownership.Outcome]int{ownership.Taken: http.StatusOK, ownership.Fenced: http.StatusConflict, ownership.Invalid: http.StatusBadRequest}[outcome]
	return answer{status: status}
}
