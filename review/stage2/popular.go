//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Course of the case, from the start of traffic.
const (
	finalFaultAt = 15 * time.Second
	downTime     = 1300 * time.Millisecond
	crashAt      = 21 * time.Second
	crashLength  = 4500 * time.Millisecond
	recovery     = 15 * time.Second // recoveryS
	observed     = 15 * time.Second // after the recovery
)

// Load of the case.
const (
	callerCount = 40
	listWork    = "240ms"
	bookWork    = "78ms"
)

// popularConfig has a safe route to service "list" and an unsafe one to service "book".
const popularConfig = `{"version":"00000007","routes":{
"r-list":{"hostname":"list.example","pathPrefix":"/list/","routeType":"safe","timeoutS":1.2,"targetLatencyS":0.4,"priority":2,"service":"list","attempts":2},
"r-book":{"hostname":"book.example","pathPrefix":"/book/","routeType":"unsafe","timeoutS":0.8,"targetLatencyS":0.25,"priority":1,"service":"book","attempts":2}},
"services":{"list":{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false},
"book":{"healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

// runPopular lets callers ask for a list that most of them want, kills and starts all routers, crashes all workers
// of the list's service at once, starts new ones, and checks that requests are served again (RECOVER).
func runPopular(arguments []string) int {
	recordPath, trouble := arguments[0], os.Getenv("TROUBLE") != "0"
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := os.Create(recordPath)
	if err != nil {
		return cannotRun(err)
	}
	defer func() { _ = record.Close() }()
	f, store, err := newFleet(folder, popularConfig)
	if err != nil {
		return cannotRun(err)
	}
	defer f.end()
	if err := startPopular(f, store); err != nil {
		return cannotRun(err)
	}
	c := newCallers(f, record)
	c.run(callerCount)
	if trouble {
		if err := playTrouble(f, c); err != nil {
			return cannotRun(err)
		}
	}
	recovered := c.began.Add(crashAt + crashLength + recovery)
	time.Sleep(time.Until(recovered.Add(observed)))
	c.stop()
	return c.judge(c.began.Add(finalFaultAt), recovered)
}

// playTrouble plays the final fault, and then the crash of the workers. What is judged is sent later than recoveryS
// after both have ended.
func playTrouble(f *fleet, c *callers) error {
	time.Sleep(time.Until(c.began.Add(finalFaultAt)))
	c.note("all routers are killed")
	f.killRouters()
	time.Sleep(downTime)
	if err := f.startRouters(); err != nil {
		return err
	}
	c.note("all routers are back")
	time.Sleep(time.Until(c.began.Add(crashAt)))
	c.note("all workers of service list are killed")
	addresses := f.crashWorkers("list")
	time.Sleep(time.Until(c.began.Add(crashAt + crashLength)))
	for _, address := range addresses {
		if err := f.startWorker("list", address, listWork); err != nil {
			return err
		}
	}
	c.note("workers of service list are back")
	return nil
}

func startPopular(f *fleet, store string) error {
	for range 5 {
		if err := f.startWorker("list", freeAddress(), listWork); err != nil {
			return err
		}
	}
	for range 4 {
		if err := f.startWorker("book", freeAddress(), bookWork); err != nil {
			return err
		}
	}
	for range 3 {
		if err := f.addRouter(store); err != nil {
			return err
		}
	}
	return f.startRouters()
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitCannotRun
}

// attempt is one attempt of a caller.
type attempt struct {
	at     time.Time
	path   string
	status int // zero: no answer
	served bool
}

// callers play sound clients, each with an address of its own.
type callers struct {
	fleet  *fleet
	began  time.Time
	ctx    context.Context
	stop   context.CancelFunc
	nextID atomic.Int64

	mu       sync.Mutex
	record   *bufio.Writer
	attempts []attempt
}

func newCallers(f *fleet, record io.Writer) *callers {
	c := &callers{fleet: f, began: time.Now(), record: bufio.NewWriter(record)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// note writes a line to the record.
func (c *callers) note(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, values...))
}

// run starts callers, each of which sends a request about every half second. Of fifty requests, 44 ask for the same
// list, one for another list, and five book.
func (c *callers) run(count int) {
	for number := range count {
		go func() {
			time.Sleep(time.Duration(number) * 500 * time.Millisecond / time.Duration(count))
			for turn := number; c.ctx.Err() == nil; turn++ {
				due := time.Now().Add(500 * time.Millisecond)
				switch {
				case turn%10 == 0:
					c.request(number, http.MethodPost, "book.example", "/book/"+strconv.Itoa(turn), fmt.Sprintf("booking %d of caller %d", turn, number), 1500*time.Millisecond)
				case turn%50 == 5:
					c.request(number, http.MethodGet, "list.example", fmt.Sprintf("/list/%d-%d", number, turn), "", 2500*time.Millisecond)
				default:
					c.request(number, http.MethodGet, "list.example", "/list/tonight", "", 2500*time.Millisecond)
				}
				time.Sleep(time.Until(due))
			}
		}()
	}
}

// maxRetries is how often a caller repeats a request.
const maxRetries = 2

// request sends a request, and repeats it as the platform's clients do: a safe one after any failure, an unsafe
// one only after a promise that it has not run. A Retry-After is kept, up to a third of the time that is left.
func (c *callers) request(caller int, method, host, path, body string, limit time.Duration) {
	deadline := time.Now().Add(limit)
	router := caller
	for try := 0; try <= maxRetries && time.Now().Before(deadline); try++ {
		status, wait := c.send(caller, c.fleet.routers[router%len(c.fleet.routers)].front, method, host, path, body, deadline)
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		repeats := promised || (method == http.MethodGet && (status == 0 || status >= 500))
		if !repeats {
			return
		}
		time.Sleep(min(wait, time.Until(deadline)/3))
		router++
	}
}

// send sends one attempt over a new connection from the caller's own loopback address.
func (c *callers) send(caller int, router, method, host, path, body string, deadline time.Time) (status int, wait time.Duration) {
	id := fmt.Sprintf("%016x", c.nextID.Add(1))
	sent := time.Now()
	answer, err := c.exchange(caller, router, id, method, host, path, body, deadline)
	served := false
	if err == nil {
		status = answer.StatusCode
		served = status/100 == 2 && answer.Header.Get("Shalefork-Response-Signature") != "" && answer.Header.Get("Shalefork-Attempt-Id") == id
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		wait = time.Duration(seconds * float64(time.Second))
	}
	c.note("%s %s %s at %s: status %d, served %t", id, method, path, router, status, served)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, attempt{at: sent, path: path, status: status, served: served})
	return status, wait
}

func (c *callers) exchange(caller int, router, id, method, host, path, body string, deadline time.Time) (*http.Response, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(caller+1))}, Timeout: time.Second}
	connection, err := dialer.Dial("tcp", router)
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(deadline)
	text := &strings.Builder{}
	fmt.Fprintf(text, "%s %s HTTP/1.1\r\nHost: %s\r\nShalefork-Attempt-Id: %s\r\nShalefork-Deadline-Ms: %d\r\n", method, path, host, id, time.Until(deadline).Milliseconds())
	if body != "" {
		fmt.Fprintf(text, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(text, "\r\n%s", body)
	if _, err := io.WriteString(connection, text.String()); err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer, err
}

// judge checks RECOVER: a quarter or more of the requests before the final fault was served, and under a quarter
// of those sent later than recoveryS after the machines have returned.
func (c *callers) judge(finalFault, recovered time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var before, after [2]int // sent and served
	statuses := map[string]int{}
	for _, a := range c.attempts {
		count := &before
		switch {
		case a.at.After(recovered):
			count = &after
			statuses[fmt.Sprintf("%s %d", strings.SplitN(a.path, "/", 3)[1], a.status)]++
		case a.at.After(finalFault):
			continue
		}
		count[0]++
		if a.served {
			count[1]++
		}
	}
	result := exitHeld
	if 4*before[1] >= before[0] && 4*after[1] < after[0] {
		result = exitBroken
	}
	fmt.Fprintf(c.record, "before the final fault: %d requests, %d served; after recoveryS: %d requests, %d served; by route and status: %v\n", before[0], before[1], after[0], after[1], statuses)
	c.writeRuns()
	_ = c.record.Flush()
	fmt.Printf("before the final fault: %d requests, %d served; after recoveryS: %d requests, %d served; exit %d\n", before[0], before[1], after[0], after[1], result)
	return result
}

// writeRuns writes to the record what the workers have run.
func (c *callers) writeRuns() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, w := range c.fleet.workers {
		runs, _ := os.ReadFile(w.output.Name())
		for _, line := range strings.Split(strings.TrimSpace(string(runs)), "\n") {
			fmt.Fprintf(c.record, "run: %s\n", line)
		}
	}
}
