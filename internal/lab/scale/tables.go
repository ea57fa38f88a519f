package scale

import (
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// tableHeartbeat is the period of heartbeat lines.
	tableHeartbeat = time.Second
	// followSilence is how long a standby bears a silent stream.
	followSilence = 3 * tableHeartbeat
	// followPause is a standby's pause before the next stream.
	followPause = 500 * time.Millisecond
	// gatewaySilence is how long a gateway bears a silent stream.
	gatewaySilence = 2 * time.Second
)

// tableSource is what one controller streams to others. Each stream computes
// and encodes its own delta, as in package controller.
type tableSource struct {
	on      *node
	latest  cellstate.TableView
	streams []*tableStream
}

// tableStream is one open stream.
type tableStream struct {
	source  *tableSource
	reader  *node
	sent    cellstate.TableView
	deliver func(update wire.TableUpdate)
	closed  bool
}

// open adds a stream, which begins with a snapshot.
func (s *tableSource) open(on, reader *node, deliver func(wire.TableUpdate)) *tableStream {
	s.on = on
	stream := &tableStream{source: s, reader: reader, deliver: deliver}
	s.streams = append(s.streams, stream)
	on.run(partTable, stream.update)
	stream.beat()
	return stream
}

// publish wakes the streams if the state is younger.
func (s *tableSource) publish(state cellstate.State) {
	if !state.Version().Newer(s.latest.State.Version()) {
		return
	}
	s.latest = cellstate.TableView{State: state}
	for _, stream := range s.streams {
		s.on.cell.After(0, func() { s.on.run(partTable, stream.update) })
	}
}

func (t *tableStream) update() {
	view := t.source.latest
	version := view.State.Version()
	if t.closed || !t.source.on.alive || !version.Newer(t.sent.State.Version()) {
		return
	}
	update := cellstate.Delta(t.sent, view)
	if t.sent.State.Cell == "" {
		update = view.Snapshot()
	}
	t.sent = view
	t.write(update)
}

// beat sends a heartbeat each period.
func (t *tableStream) beat() {
	c := t.source.on.cell
	c.After(tableHeartbeat, func() {
		if t.closed || !t.source.on.alive {
			return
		}
		t.source.on.run(partTable, func() {
			version := t.sent.State.Version()
			t.write(wire.TableUpdate{Cell: c.name, Version: version, From: version, Heartbeat: true})
		})
		t.beat()
	})
}

func (t *tableStream) write(update wire.TableUpdate) {
	line := encode(update)
	size := float64(len(line)+1) + t.source.on.cell.overhead.LineBytes
	t.source.on.sent(partTable, size)
	t.source.on.cell.After(oneWay, func() {
		if t.closed || !t.reader.alive {
			return
		}
		t.reader.received(partTable, size)
		t.reader.run(partTable, func() { t.deliver(decode[wire.TableUpdate](line)) })
	})
}
