// Package scale measures what control costs at sizes that one machine cannot
// run as processes.
//
// A simulated node runs the real decision packages (consensus, cellstate, grant,
// placement, lease, table, ledger) and encodes and decodes the real frames, but
// its machines share one process and its network is emulated: time jumps from
// event to event. Bytes are those of the frames plus the HTTP headers that a
// real exchange was seen to need. Processor time is that of the thread while a
// node's own code runs, divided by the emulated time.
//
// The shells round the pure packages (package controller, package ledgernode)
// use goroutines and sockets and cannot run here; what they do after each event
// is done here in the same order. A real cell of processes runs beside the
// simulated ones, to show how far the simulated figures can be believed.
package scale

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("scale")
