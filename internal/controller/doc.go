// Package controller is the process that decides, for one cell, which server
// owns which slice: a replica of the cell's control group, or a standby for
// one. It is the thin shell round the pure packages consensus, grant,
// placement, cellstate and generation.
//
// One goroutine, the loop, owns all state of those packages. Every other
// goroutine does I/O and posts what it learned to the loop as an event. The
// loop never waits for I/O, so neither a slow platform service nor a slow peer
// delays a heartbeat or a renewal.
package controller
