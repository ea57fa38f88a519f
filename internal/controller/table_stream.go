package controller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// Query parameters of a table request: the cell, the version of the table that
// the reader holds already, if any, and whether the leader shall refuse, since
// the reader may follow another member.
const (
	queryCell        = "cell"
	queryGeneration  = "generation"
	queryVersion     = "version"
	querySpareLeader = "spare_leader"
)

// beatsToSpare is for how many heartbeats a member leads before it ends the
// streams that shall spare the leader: long after the loss that made it the
// leader, when nobody waits for a new owner.
const beatsToSpare = 30

// tableWriteTimeout ends a stream whose reader takes nothing.
const tableWriteTimeout = 10 * time.Second

// tableStream is one open stream to a gateway or a standby.
type tableStream struct {
	controller *Controller
	lines      *wire.LineWriter
	flush      *http.ResponseController
	sent       cellstate.TableView
	// held is the version that the reader had at first.
	held wire.TableVersion
	// sparesLeader says that the reader rather follows a member that does not
	// lead; beatsLed counts the heartbeats in a row at which this process led.
	sparesLeader bool
	beatsLed     int
}

// serveTable streams the table: a snapshot, then deltas as they come, and a
// heartbeat each second in between. While this process does not hear the group's
// leader its table may have been overtaken, so it is silent, and the reader
// turns to another controller.
func (c *Controller) serveTable(writer http.ResponseWriter, request *http.Request) {
	cell := request.URL.Query().Get(queryCell)
	if cell != "" && bundle.CellName(cell) != c.settings.Cell {
		http.Error(writer, "this controller serves another cell", http.StatusNotFound)
		return
	}
	sparesLeader := request.URL.Query().Get(querySpareLeader) != ""
	if sparesLeader && c.leads() {
		http.Error(writer, "this member leads; follow another", http.StatusServiceUnavailable)
		return
	}
	c.metrics.TableStreams.Inc()
	defer c.metrics.TableStreams.Dec()
	stream := &tableStream{
		controller: c,
		lines:      wire.NewLineWriter(writer),
		flush:      http.NewResponseController(writer),
		held:       heldVersion(request),

		sparesLeader: sparesLeader,
	}
	writer.Header().Set("Content-Type", "application/jsonl")
	stream.run(request)
}

func (s *tableStream) run(request *http.Request) {
	// The server's time-out for reading a request must not end a long stream.
	if err := s.flush.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	heartbeat := time.NewTicker(tableHeartbeat)
	defer heartbeat.Stop()
	for {
		view, changed := s.controller.tables.latest()
		if s.update(view) != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-s.controller.stopping:
			return
		case <-changed:
		case <-heartbeat.C:
			if s.hasLedLong() || (s.controller.hearsLeader() && s.write(s.heartbeat()) != nil) {
				return
			}
		}
	}
}

// hasLedLong counts the heartbeats at which this process leads, and reports
// whether a stream that shall spare the leader is to end.
func (s *tableStream) hasLedLong() bool {
	s.beatsLed++
	if !s.controller.leads() {
		s.beatsLed = 0
	}
	return s.sparesLeader && s.beatsLed >= beatsToSpare
}

// leads reports whether this process is the leader in its own eyes.
func (c *Controller) leads() bool {
	return c.view.Load().status.Role == consensus.RoleLeader
}

// hearsLeader reports whether this process is the leader by its lease, hears the
// leader as a member, or follows a member that does.
func (c *Controller) hearsLeader() bool {
	current := c.view.Load()
	switch {
	case !current.member:
		return c.following.Load()
	case current.status.Role == consensus.RoleLeader:
		return current.leading
	default:
		return current.status.Leader != ""
	}
}

// heldVersion reads the version that the reader holds; zero if it has none.
func heldVersion(request *http.Request) wire.TableVersion {
	query := request.URL.Query()
	generation, _ := strconv.ParseUint(query.Get(queryGeneration), 10, 32)
	index, _ := strconv.ParseUint(query.Get(queryVersion), 10, 64)
	return wire.TableVersion{Generation: wire.Generation(generation), Index: index}
}

// update sends what leads from the table sent last to view. A reader that
// holds the same version gets no snapshot, one that holds a later version
// nothing until this controller has a still later one.
func (s *tableStream) update(view cellstate.TableView) error {
	version := view.State.Version()
	if version == s.held {
		s.sent = view
	}
	if !version.Newer(s.sent.State.Version()) || !version.Newer(s.held) {
		return nil
	}
	first := s.sent.State.Cell == ""
	update := cellstate.Delta(s.sent, view)
	if first || s.sent.State.Generation != view.State.Generation {
		update = view.Snapshot()
	}
	s.sent = view
	return s.write(update)
}

func (s *tableStream) heartbeat() wire.TableUpdate {
	version := s.sent.State.Version()
	return wire.TableUpdate{Cell: s.controller.settings.Cell, Version: version, From: version, Heartbeat: true}
}

func (s *tableStream) write(update wire.TableUpdate) error {
	s.flush.SetWriteDeadline(time.Now().Add(tableWriteTimeout))
	if err := s.lines.Write(update); err != nil {
		return err
	}
	return Error.Wrap(s.flush.Flush())
}
