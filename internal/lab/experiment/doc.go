// Package experiment measures imbalance, churn and unavailable time of whole
// deployments in emulated time.
//
// It drives the real pure packages (cellstate, grant, lease, placement, table,
// balance, retry) inside a discrete-event simulator. Machines, connections and
// callers are models; of consensus only its delays are: a command commits after
// one round trip to another zone, and a lost leader is replaced after an
// election time. Every run is a function of its scenario, variant and seed.
//
// docs/MEASURES.md defines each measure and says how to run.
package experiment

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("experiment")
