package workers

// Incarnation identifies one run of a worker, from its start to its end. Incarnations are only
// compared for equality: the store's revision shows which of two is newer, since a worker's clock
// may step back.
type Incarnation struct {
	ID ID
	// StartTime is the time of its start as reported by the worker; zero if it reports none.
	StartTime StartTime
}

// StartTime is when a worker started, in milliseconds since 1970 by the worker's own clock.
type StartTime int64

// MayEqual reports whether two incarnations may be the same: one whose start time is not known may
// be any other of the same worker.
func (i Incarnation) MayEqual(other Incarnation) bool {
	return i.ID == other.ID && (i.StartTime == other.StartTime || i.StartTime == 0 || other.StartTime == 0)
}
