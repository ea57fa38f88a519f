// Package loopback gives the processes of a test addresses on this machine that nobody else
// is given.
//
// A port of 127.0.0.1 that is free when it is looked for may be taken when it is used: by
// another test, or as the near end of any connection that is made meanwhile. Routers of a
// test did not start for that. Each test process therefore has a loopback address of its own,
// from its process id, and counts the ports on it.
package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports that are given, in turn.
const (
	firstPort = 20000
	portCount = 40000
)

// given counts the addresses that were given.
var addressCount atomic.Uint32

// Address returns an address, of TCP, that was not given before by this process while
// others are in use, and that nobody listens at.
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

// host returns the loopback address of a process: Linux's process ids have 22 bits at most.
func hostAddress(pid int) netip.Addr {
	const own = 64 // 127.64.0.0 to 127.127.255.255
	return netip.AddrFrom4([4]byte{127, own | byte(pid>>16)&63, byte(pid >> 8), byte(pid)})
}

func isFree(address netip.AddrPort) bool {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
