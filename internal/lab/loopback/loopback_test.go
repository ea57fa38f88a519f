package loopback

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEachProcessHasItsOwnAddress(t *testing.T) {
	for name, c := range map[string]struct {
		pid  int
		want string
	}{
		"small":    {pid: 1, want: "127.64.0.1"},
		"usual":    {pid: 70000, want: "127.65.17.112"},
		"greatest": {pid: 1<<22 - 1, want: "127.127.255.255"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, hostAddress(c.pid), netip.MustParseAddr(c.want)) })
	}
}

// Outgoing connections use ports of another address than the allocated ones.
func TestOutgoingConnectionUsesOtherAddress(t *testing.T) {
	address := Address()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	local := conn.LocalAddr().(*net.TCPAddr).AddrPort()
	assert.Assert(t, local.Addr() != address.Addr(), "%v", local)
}

func TestAddressesAreUnique(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 200 {
		address := Address()
		assert.Assert(t, !seen[address])
		seen[address] = true
	}
}
