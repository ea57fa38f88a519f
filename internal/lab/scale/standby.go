package scale

import (
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/wire"
)

// standby is a controller outside the group. It follows a voter and passes the
// table on to the gateway of its machine.
type standby struct {
	*node
	follower cellstate.TableFollower
	streams  tableSource
	stream   *following
}

func newStandby(on *node) *standby { return &standby{node: on} }

func (s *standby) take(update wire.TableUpdate) {
	if !update.Heartbeat && s.follower.Apply(update) {
		s.streams.on = s.node
		s.streams.publish(s.follower.State())
	}
}

// source is a process that streams tables.
type source struct {
	on      *node
	streams *tableSource
}

// following is a process that follows the table of one source after another.
type following struct {
	reader  *node
	sources []source
	turn    int
	// silence is how long a stream may be silent, pause the time from its end
	// to the next one.
	silence, pause time.Duration
	take           func(wire.TableUpdate)
	stream         *tableStream
	heardAt        time.Duration
}

// followCheck is how often the emulation looks whether a stream has ended.
const followCheck = 20 * time.Millisecond

// open opens a stream of the source whose turn it is.
func (f *following) open() {
	if !f.reader.alive {
		return
	}
	current := f.sources[f.turn%len(f.sources)]
	if !current.on.alive {
		f.reader.cell.After(current.on.failsAfter(f.silence), f.next)
		return
	}
	f.heardAt = f.reader.cell.Now()
	f.stream = current.streams.open(current.on, f.reader, f.hear)
	f.watch(current)
}

func (f *following) hear(update wire.TableUpdate) {
	f.heardAt = f.reader.cell.Now()
	f.take(update)
}

func (f *following) next() {
	f.turn++
	f.reader.cell.After(f.pause, f.open)
}

// watch turns to the next source after the stream broke or fell silent.
func (f *following) watch(current source) {
	c := f.reader.cell
	c.After(followCheck, func() {
		broken := !current.on.alive && !current.on.silent
		if !broken && c.Now()-f.heardAt < f.silence {
			f.watch(current)
			return
		}
		f.stream.closed = true
		f.next()
	})
}

// openStreams makes every standby follow the voters, each from another on, and
// every gateway the controllers, its own machine's first.
func (c *cell) openStreams() {
	for _, each := range c.standbys {
		each.stream = &following{
			reader: each.node, sources: c.voterSources(each.machine), silence: followSilence, pause: followPause, take: each.take,
		}
		each.stream.open()
	}
	for _, each := range c.gateways {
		each.stream = &following{
			reader: each.node, sources: c.sourcesFrom(each.machine), silence: gatewaySilence, take: each.takeTable,
		}
		each.stream.open()
	}
}

// voterSources lists the voters from one on that depends on the standby, as if
// by a hash of its name, and the leader last, which refuses to be followed
// before. If the leader is to be the source it is the first for all, as it is
// for a while where it was followed before it was elected.
func (c *cell) voterSources(standby int) []source {
	leader := c.leader()
	var sources []source
	count := len(c.replicas)
	step := 1
	if standby/count%2 == 1 {
		step = count - 1
	}
	for i := range count {
		each := c.replicas[(standby+i*step)%count]
		if each != leader {
			sources = append(sources, source{each.node, &each.streams})
		}
	}
	last := source{leader.node, &leader.streams}
	if c.source == leader {
		return append([]source{last}, sources...)
	}
	return append(sources, last)
}

// gatewayChoices is how many controllers a gateway's settings name.
const gatewayChoices = 4

// sourcesFrom lists the controllers of a machine and of the next ones.
func (c *cell) sourcesFrom(machine int) []source {
	var sources []source
	for i := range min(gatewayChoices, c.shape.Machines) {
		sources = append(sources, c.controllerSource((machine+i)%c.shape.Machines))
	}
	return sources
}

func (c *cell) controllerSource(machine int) source {
	if machine < voterCount {
		each := c.replicas[machine]
		return source{each.node, &each.streams}
	}
	each := c.standbys[machine-voterCount]
	return source{each.node, &each.streams}
}
