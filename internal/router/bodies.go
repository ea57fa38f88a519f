package router

import (
	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/decision"
)

const (
	// bodiesShare is the share of the machine's memory that bodies in flight may take. As much
	// again goes to what the collector has not taken back yet; the rest is the process's own.
	bodiesShare = 0.25
	// bytesInMegabyte turns the setting into bytes.
	bytesInMegabyte = 1 << 20
)

// newRoom returns the room for bodies in flight, which logs when it is full and when no longer.
func (r *Router) newRoom() *bodies.Room {
	room := bodies.NewRoom(int64(bodiesShare * float64(r.settings.Machine.MemoryMB) * bytesInMegabyte))
	room.Changed = func(full bool, used int64) {
		r.log.Line(decision.KindBodies).Bool("full", full).Int64("used", used).Int64("limit", room.Limit()).Msg("")
	}
	return room
}
