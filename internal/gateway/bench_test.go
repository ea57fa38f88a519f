package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

// The benchmarks send requests over loopback TCP, once straight to a trivial
// server and once through a gateway, all in one process. So the difference of
// two results is what the gateway adds, its own connection included.

func BenchmarkOneCallerDirect(b *testing.B)   { benchmarkOneCaller(b, startTrivial(b)) }
func BenchmarkOneCallerKeyed(b *testing.B)    { benchmarkOneCaller(b, startGateway(b)+"/book/r7") }
func BenchmarkOneCallerPool(b *testing.B)     { benchmarkOneCaller(b, startGateway(b)+"/free") }
func BenchmarkManyCallersDirect(b *testing.B) { benchmarkManyCallers(b, startTrivial(b)) }
func BenchmarkManyCallersKeyed(b *testing.B)  { benchmarkManyCallers(b, startGateway(b)+"/book/r7") }
func BenchmarkManyCallersPool(b *testing.B)   { benchmarkManyCallers(b, startGateway(b)+"/free") }

const (
	benchCallers  = 16
	benchSlots    = 64
	maxBenchNanos = int64(10 * time.Second)
)

func benchmarkOneCaller(b *testing.B, url string) {
	histogram := hdrhistogram.New(1, maxBenchNanos, 3)
	run(b, 1, url, func(elapsed time.Duration) { _ = histogram.RecordValue(int64(elapsed)) })
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "median-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
}

func benchmarkManyCallers(b *testing.B, url string) {
	run(b, benchCallers, url, func(time.Duration) {})
}

// run sends b.N requests from some callers and reports the processor time of
// the whole process, callers and server included.
func run(b *testing.B, callers int, url string, took func(time.Duration)) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	warm(b, transport, url)
	var next atomic.Int64
	var calling sync.WaitGroup
	b.ReportAllocs()
	began := processorTime()
	b.ResetTimer()
	for range callers {
		calling.Go(func() {
			for next.Add(1) <= int64(b.N) {
				start := time.Now()
				if err := get(transport, url); err != nil {
					b.Error(err)
					return
				}
				took(time.Since(start))
			}
		})
	}
	calling.Wait()
	b.StopTimer()
	used := processorTime() - began
	b.ReportMetric(float64(b.N)/used.Seconds(), "req/s/core")
}

// warm waits until the gateway has its table and its first connections.
func warm(b *testing.B, transport *http.Transport, url string) {
	deadline := time.Now().Add(5 * time.Second)
	for get(transport, url) != nil {
		assert.Assert(b, time.Now().Before(deadline), "no answer from %s", url)
		time.Sleep(time.Millisecond)
	}
}

func get(transport *http.Transport, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Error.New("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func serveOn(b *testing.B, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

var trivialAnswer = make([]byte, 200)

func startTrivial(b *testing.B) string {
	return "http://" + serveOn(b, echo(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(trivialAnswer)
	}))
}

// startGateway returns the URL of a gateway before a trivial server.
func startGateway(b *testing.B) string {
	address := startTrivial(b)[len("http://"):]
	services := []bundle.Service{keyedService("book", true), poolService("free", true)}
	update := tableOf(1, services, "w1")
	for i := range update.Servers {
		update.Servers[i].Address = address
		update.Servers[i].Slots = benchSlots
		update.Servers[i].Connections = benchSlots
	}
	table := &controller{changed: make(chan struct{}), lines: []wire.TableUpdate{update}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	config := settings.Gateway{
		Common:      settings.Common{Cell: testCell, Zone: "z1", Token: testToken, Machine: "127.0.0.1"},
		Listen:      "127.0.0.1:0",
		PeerListen:  "127.0.0.1:0",
		Controllers: []string{serveOn(b, table)},
	}
	made, err := New(config, Dependencies{
		Clock:  clock.NewSystem(),
		Logger: &log.Logger{Level: log.ErrorLevel},
		Listen: listenOnce(listener),
	})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- made.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		assert.NilError(b, <-ended)
	})
	return "http://" + listener.Addr().String()
}

// listenOnce gives the listener to whoever listens first, for callers.
func listenOnce(listener net.Listener) ListenFunc {
	first := true
	return func(network, address string) (net.Listener, error) {
		if first {
			first = false
			return listener, nil
		}
		return net.Listen(network, address)
	}
}
