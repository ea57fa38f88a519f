package router

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/intake"
	"github.com/shalefork/shalefork/internal/settings"
)

// Shares of the machine's memory and descriptors that the connections to each port may take together.
const (
	// unfinishedShare is the share of the memory for messages of clients that are incomplete or being
	// handled, and for those of other routers. Parsed, they take some four times as much.
	unfinishedShare = 1.0 / 32
	// probeShare is that of the readiness port and of the metrics port.
	probeShare = 1.0 / 512
	// unreadShare is the share for the beginnings of pipelined requests that wait.
	unreadShare = 1.0 / 64
	// assumedMemoryMB is the memory, in megabytes, of a machine with unknown memory. It is only assumed
	// of what legitimate peers need little of.
	assumedMemoryMB = 512

	// reservedDescriptors is the share of descriptors that are for files, and kept free.
	reservedDescriptors = 0.05
	// clientConnShare and peerConnShare are the shares of the other descriptors for connections of clients
	// and of routers. The rest is for connections to workers, to the store and to routers.
	clientConnShare = 0.4
	peerConnShare   = 0.25
	// clientConnMemory is the memory in bytes that a connection of a client takes with its request, and
	// clientMemoryShare the share of the machine's memory for all of them.
	clientConnMemory  = 32 << 10
	clientMemoryShare = 0.25
	// maxReadyConns and maxMetricsConns are enough for all who ask for readiness and metrics.
	maxReadyConns   = 64
	maxMetricsConns = 16

	// longestReportShare is the share of the memory for messages of other routers that one may take.
	longestReportShare = 1.0 / 8
)

// Limits of the servers of readiness and metrics.
const (
	probeHeaderBytes = 8 << 10
	probeTimeout     = 5 * time.Second
	probeIdleTimeout = 60 * time.Second
)

// gates limit what the connections to each port make this process hold.
type gates struct {
	clients, ready, peers, metrics *intake.Gate
}

func newGates(machine settings.Machine, log *decision.Log) gates {
	limits := gateLimits(machine, intake.Descriptors())
	gate := func(port string) *intake.Gate {
		g := intake.NewGate(limits[port])
		g.OnRefused = func(reason intake.Reason) {
			log.Line(decision.KindConnectionsClosed).Str("port", port).Str("reason", string(reason)).
				Int("connections", g.Conns()).Int64("held", g.Held()).Uint64("total", g.Refused(reason)).Msg("")
		}
		return g
	}
	return gates{clients: gate(portClients), ready: gate(portReady), peers: gate(portPeers), metrics: gate(portMetrics)}
}

// Names of the ports in logs and metrics.
const (
	portClients = "clients"
	portReady   = "ready"
	portPeers   = "peers"
	portMetrics = "metrics"
)

// gateLimits returns the limits of each port on a machine. descriptors is the limit of the process; zero
// means none.
func gateLimits(machine settings.Machine, descriptors int) map[string]intake.Limits {
	if machine.Descriptors > 0 && (descriptors == 0 || machine.Descriptors < descriptors) {
		descriptors = machine.Descriptors
	}
	sockets := (1 - reservedDescriptors) * float64(descriptors)
	memory := memoryBytes(machine)
	clients := clientMemoryShare * memory / clientConnMemory
	peers := clients
	if descriptors > 0 {
		clients, peers = min(clients, clientConnShare*sockets), min(peers, peerConnShare*sockets)
	}
	return map[string]intake.Limits{
		portClients: {Conns: int(clients), Bytes: int64(unfinishedShare * memory)},
		portPeers:   {Conns: int(peers), Bytes: int64(unfinishedShare * memory)},
		portReady:   {Conns: maxReadyConns, Bytes: int64(probeShare * memory)},
		portMetrics: {Conns: maxMetricsConns, Bytes: int64(probeShare * memory)},
	}
}

// memoryBytes returns the memory of the machine in bytes, or an assumption if it is unknown.
func memoryBytes(machine settings.Machine) float64 {
	if machine.MemoryMB > 0 {
		return machine.MemoryMB * bytesInMegabyte
	}
	return assumedMemoryMB * bytesInMegabyte
}

// longestReport returns the maximum length in bytes of a message of another router.
func longestReport(machine settings.Machine) int {
	return int(longestReportShare * unfinishedShare * memoryBytes(machine))
}

// newProbeServer returns a server of a port whose requests have small heads and no bodies.
func newProbeServer(gate *intake.Gate, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: probeIdleTimeout,
		MaxHeaderBytes: probeHeaderBytes,
	}
	gate.Attach(server)
	return server
}

// register registers metrics of the gates.
func (g gates) register(registerer prometheus.Registerer) {
	for port, gate := range map[string]*intake.Gate{portClients: g.clients, portReady: g.ready, portPeers: g.peers, portMetrics: g.metrics} {
		labels := prometheus.Labels{"port": port}
		registerer.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "shalefork_router_accepted_connections", Help: "Open connections that were accepted on a port.", ConstLabels: labels,
			}, func() float64 { return float64(gate.Conns()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "shalefork_router_unfinished_bytes", Help: "Bytes of messages on a port that are incomplete or being handled.", ConstLabels: labels,
			}, func() float64 { return float64(gate.Held()) }),
		)
		for _, reason := range []intake.Reason{intake.TooManyConns, intake.TooManyBytes} {
			registerer.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "shalefork_router_closed_connections_total", Help: "Connections on a port that were closed since there were too many, or too many bytes of unfinished messages.",
				ConstLabels: prometheus.Labels{"port": port, "reason": string(reason)},
			}, func() float64 { return float64(gate.Refused(reason)) }))
		}
	}
}
