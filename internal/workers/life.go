package workers

// Life is one run of a worker, from its start to its end. Two lives are only compared for
// equality: which of them is newer is told by the store's revision, since a worker's time
// of day may step back.
type Life struct {
	ID ID
	// Born is what the worker says of the time of its start; zero if it says nothing.
	Born Born
}

// Born is a worker's start, in milliseconds since 1970 by the worker's own clock.
type Born int64
