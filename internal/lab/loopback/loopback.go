// Package loopback allocates addresses on this machine for the processes of a test, without
// collisions with other tests.
//
// A port of 127.0.0.1 that is found free may be in use by the time it is bound: by another test,
// or as the local port of an outgoing connection. Routers in tests failed to start because of
// this. Each test process therefore derives its own loopback address from its process ID, and
// allocates ports on it in sequence.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports that are allocated in sequence.
const (
	firstPort = 20000
	portCount = 40000
)

// addressCount is the number of addresses that were tried so far.
var addressCount atomic.Uint32

// Address returns a TCP address that no process listens on. This process does not allocate it
// again before it has tried all other ports.
func Address() netip.AddrPort {
	for range portCount {
		port := uint16(firstPort + (addressCount.Add(1)-1)%portCount)
		address := netip.AddrPortFrom(hostAddress(os.Getpid()), port)
		if isFree(address) {
			return address
		}
	}
	panic("all ports of the process's loopback address are in use")
}

// hostAddress returns the loopback address of a process. Process IDs on Linux have at most 22 bits.
func hostAddress(pid int) netip.Addr {
	const base = 64 // 127.64.0.0 to 127.127.255.255
	return netip.AddrFrom4([4]byte{127, base | byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
}

func isFree(address netip.AddrPort) bool {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
