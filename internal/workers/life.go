package workers

// Life is one run of a worker, from its start to its end. Two lives are only compared for
// equality: which of them is newer is told by the store's revision, since a worker's time
// of day may step back.
type Incarnation struct {
	ID ID
	// Born is what the worker says of the time of its start; zero if it says nothing.
	StartTime StartTime
}

// Born is a worker's start, in milliseconds since 1970 by the worker's own clock.
type StartTime int64

// MayBe reports whether two lives may be the same: one whose start is not known is taken for any
// other of the same worker.
func (l Incarnation) MayEqual(other Incarnation) bool {
	return l.ID == other.ID && (l.StartTime == other.StartTime || l.StartTime == 0 || other.StartTime == 0)
}
