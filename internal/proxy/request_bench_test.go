package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// smallBody, uploadBody and downloadBody are the lengths of bodies in bytes.
	smallBody    = 200
	uploadBody   = 60_000
	downloadBody = 90_000
	// benchTenants is the number of tenants in a configuration with tenants. Each has two keys.
	benchTenants = 1000
	// benchKey is the API key that the caller sends.
	benchKey = "tenant-500-key-1"
	// directBatch is the number of requests between two batches of direct calls, and the length of
	// a batch.
	directBatch = 50
)

// bodySizes are the lengths in bytes of request and answer bodies.
var bodySizes = map[string]struct{ up, down int }{
	"small": {up: smallBody, down: smallBody}, "upload": {up: uploadBody, down: smallBody},
	"download": {up: 0, down: downloadBody},
}

// BenchmarkRequest measures the cost of a whole request, through the handler to a stand-in worker
// on the loopback interface, as a multiple of a direct call to the same worker by the client of
// net/http in the same run ("x-direct"). Allocations and bytes are those of the handler and the
// stand-in.
func BenchmarkRequest(b *testing.B) {
	for _, tenants := range []string{"alone", "tenants"} {
		for _, kind := range []string{"safe", "unsafe", "keyed"} {
			for name, sizes := range bodySizes {
				b.Run(fmt.Sprintf("%s/%s/%s", tenants, kind, name), func(b *testing.B) {
					benchmarkRequest(b, "/"+kind+"/", tenants == "tenants", sizes.up, sizes.down)
				})
			}
		}
	}
}

// BenchmarkDirect measures a direct call to the stand-in worker by the client of net/http.
func BenchmarkDirect(b *testing.B) {
	for name, sizes := range bodySizes {
		b.Run(name, func(b *testing.B) {
			w := newBenchWorker(b, sizes.down)
			body := make([]byte, sizes.up)
			b.ReportAllocs()
			for b.Loop() {
				w.call(b, "/safe/", body)
			}
		})
	}
}

func benchmarkRequest(b *testing.B, path string, tenants bool, up, down int) {
	w := newBenchWorker(b, down)
	p := newBenchProxy(b, w, tenants)
	body := make([]byte, up)
	b.ReportAllocs()
	sent, direct := 0, time.Duration(0)
	for b.Loop() {
		request := benchRequest(b, "http://app.example"+path, body)
		request.RequestURI, request.RemoteAddr = path, "10.0.0.1:1234"
		answer := &discard{header: http.Header{}}
		p.ServeHTTP(answer, request)
		if answer.status != http.StatusOK || answer.bytes != down {
			b.Fatalf("status %d, %d bytes", answer.status, answer.bytes)
		}
		if sent++; sent%directBatch != 0 && sent != 1 {
			continue
		}
		b.StopTimer()
		began := time.Now()
		for range directBatch {
			w.call(b, path, body)
		}
		direct += time.Since(began)
		b.StartTimer()
	}
	rounds := (1 + sent/directBatch) * directBatch
	each := float64(b.Elapsed()) / float64(sent)
	b.ReportMetric(each/(float64(direct)/float64(rounds)), "x-direct")
}

// benchWorker answers each request immediately and with as little work as possible.
type benchWorker struct {
	address   string
	transport *http.Transport
}

func newBenchWorker(b *testing.B, down int) *benchWorker {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	w := &benchWorker{address: listener.Addr().String(), transport: &http.Transport{}}
	b.Cleanup(func() {
		w.transport.CloseIdleConnections()
		_ = listener.Close()
	})
	answer := []byte("HTTP/1.1 200 OK\r\nX-Id: bench\r\nX-Signature: s\r\nX-Load: 1,0,4,100\r\nKeep-Alive: timeout=60\r\nContent-Length: " +
		strconv.Itoa(down) + "\r\n\r\n" + string(make([]byte, down)))
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(connection, answer)
		}
	}()
	return w
}

// answerAll sends the same answer to each request of a connection.
func answerAll(connection net.Conn, answer []byte) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err = connection.Write(answer); err != nil {
			return
		}
	}
}

// call sends one request directly to the worker.
func (w *benchWorker) call(b *testing.B, path string, body []byte) {
	response, err := w.transport.RoundTrip(benchRequest(b, "http://"+w.address+path, body))
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	assert.NilError(b, response.Body.Close())
}

func benchRequest(b *testing.B, url string, body []byte) *http.Request {
	method, content := "GET", io.Reader(nil)
	if len(body) > 0 {
		method, content = "POST", bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(b.Context(), method, url, content)
	assert.NilError(b, err)
	for name, value := range map[string]string{"X-Id": "bench", "X-Deadline": "2000", "X-Key": "7", "Authorization": "Bearer " + benchKey} {
		request.Header.Set(name, value)
	}
	return request
}

func newBenchProxy(b *testing.B, w *benchWorker, tenants bool) *Proxy {
	b.Helper()
	directory, list := workers.NewDirectory(), []workers.Worker{}
	for _, service := range []routing.ServiceName{"pool", "keyed"} {
		list = append(list, workers.Worker{
			ID: workers.ID(service), Service: service, Address: w.address, Zone: "z", Slots: 4, State: workers.StateReady,
		})
	}
	directory.Replace(list, nil, time.Now())
	p := New("z", directory, BudgetLimits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second})
	p.Headers, p.Table, p.Meter = testHeaders, keytable.New(), peerlink.NewMeter()
	p.Log, p.Metrics = decision.NewTo(io.Discard, "bench"), NewMetrics(prometheus.NewRegistry())
	config := testConfig(b, 1)
	if tenants {
		_, err := config.WithTenants(manyTenants())
		assert.NilError(b, err)
	}
	p.Use(config)
	(&testProxy{proxy: p}).assignAllKeys(list[1])
	return p
}

// manyTenants returns tenants with limits that no benchmark reaches.
func manyTenants() map[routing.TenantName]*routing.Tenant {
	tenants := map[routing.TenantName]*routing.Tenant{}
	for index := range benchTenants {
		name := routing.TenantName(fmt.Sprintf("tenant-%d", index))
		keys := []routing.KeyDigest{tenant.Digest(string(name) + "-key-0"), tenant.Digest(string(name) + "-key-1")}
		tenants[name] = &routing.Tenant{Name: name, Keys: keys, Rate: 1e9, Burst: 1e9}
	}
	return tenants
}

// discard is a response writer that discards the body.
type discard struct {
	header http.Header
	status int
	bytes  int
}

func (d *discard) Header() http.Header { return d.header }

func (d *discard) WriteHeader(status int) { d.status = status }

func (d *discard) Write(piece []byte) (int, error) {
	d.bytes += len(piece)
	return len(piece), nil
}
