package memnet

import (
	"sync"
	"time"
)

// Cut takes a place off the network: its connections break, and dials from and
// to it get no answer.
func (n *Network) Cut(place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[place] = true
	n.breakAt(place)
}

// Lose breaks the connections of a place and refuses dials to it at once, as a
// machine does whose process is gone.
func (n *Network) Lose(place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[place] = time.Now().Add(forever)
	n.breakAt(place)
}

// forever is longer than any test.
const forever = 1000 * time.Hour

// Heal ends a Cut, a Lose and a Refuse.
func (n *Network) Heal(place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, place)
	delete(n.refusing, place)
}

// Refuse makes dials to a place fail at once until d has passed.
func (n *Network) Refuse(place Place, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[place] = time.Now().Add(d)
}

// Separate cuts a place off from some others only.
func (n *Network) Separate(place Place, others ...Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range others {
		n.apart[pair{place, other}] = true
		n.apart[pair{other, place}] = true
		for open := range n.open {
			if open.touches(place) && open.touches(other) {
				_ = open.Conn.Close()
			}
		}
	}
}

// Reject separates a place from some others, as a firewall does that answers
// every dial at once.
func (n *Network) Reject(place Place, others ...Place) {
	n.Separate(place, others...)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range others {
		n.rejecting[pair{place, other}] = true
		n.rejecting[pair{other, place}] = true
	}
}

// Rejoin ends every Separate and Reject of a place.
func (n *Network) Rejoin(place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for between := range n.apart {
		if between.from == place || between.to == place {
			delete(n.apart, between)
			delete(n.rejecting, between)
		}
	}
}

// Break closes the open connections of a place.
func (n *Network) Break(place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.breakAt(place)
}

func (n *Network) breakAt(place Place) {
	for open := range n.open {
		if open.touches(place) {
			_ = open.Conn.Close()
		}
	}
}

// CloseAll breaks every connection and thaws every process, for the end of a
// test.
func (n *Network) CloseAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, frozen := range n.gates {
		frozen.open()
	}
	for open := range n.open {
		_ = open.Conn.Close()
	}
}

// Delay makes each write from and to a place take longer.
func (n *Network) Delay(place Place, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[place] = delay
}

func (n *Network) delayOf(near, far string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total time.Duration
	for _, end := range []string{near, far} {
		for _, place := range places(end) {
			total += n.delays[place]
		}
	}
	return total
}

// Freeze stops all bytes from and to a host, with its connections kept, until
// Thaw. A process that must stop altogether calls Wait itself.
func (n *Network) Freeze(frozen Place) {
	n.gateAt(frozen).close()
}

// Thaw lets a frozen host go on as if nothing had happened.
func (n *Network) Thaw(frozen Place) {
	n.gateAt(frozen).open()
}

// Wait returns at once unless the host is frozen; then it returns at Thaw.
func (n *Network) Wait(place Place) {
	n.gateAt(place).wait()
}

func (n *Network) gateOf(address string) *gate {
	return n.gateAt(host(address))
}

func (n *Network) gateAt(place Place) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gates[place] == nil {
		n.gates[place] = &gate{}
	}
	return n.gates[place]
}

// gate is open unless its process is frozen.
type gate struct {
	mu sync.Mutex
	// thawed is nil while the gate is open.
	thawed chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}
