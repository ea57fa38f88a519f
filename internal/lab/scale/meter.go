package scale

import (
	"time"

	"golang.org/x/sys/unix"
)

// component is a part of control that costs are charged to.
type component int

// Components.
const (
	partConsensus component = iota
	partRenewal
	partTable
	partLedger
	partRegister
	partPlatform
	partTick
	componentCount
)

// componentNames are in the order of the constants.
var componentNames = [componentCount]string{
	"consensus", "renewal", "table", "ledger", "register", "platform", "tick",
}

// Usage is what a process spent on one component in a window of emulated time.
type Usage struct {
	// CPU is processor time of the decisions and of encoding and decoding,
	// without sockets.
	CPU time.Duration
	// Sent and Received count requests, answers and lines of a stream.
	Sent, Received float64
	// SentBytes and ReceivedBytes hold frames and HTTP headers, without TCP.
	SentBytes, ReceivedBytes float64
}

func (u Usage) plus(other Usage) Usage {
	return Usage{
		CPU:           u.CPU + other.CPU,
		Sent:          u.Sent + other.Sent,
		Received:      u.Received + other.Received,
		SentBytes:     u.SentBytes + other.SentBytes,
		ReceivedBytes: u.ReceivedBytes + other.ReceivedBytes,
	}
}

// account counts what one process spends. All of it runs on one thread.
type account struct {
	parts   [componentCount]Usage
	running bool
}

// run charges the processor time of work to a part. Work inside work is
// charged once, to the outer part.
func (a *account) run(part component, work func()) {
	if a.running {
		work()
		return
	}
	a.running = true
	started := threadTime()
	work()
	a.parts[part].CPU += threadTime() - started
	a.running = false
}

func (a *account) sent(part component, bytes float64) {
	a.parts[part].Sent++
	a.parts[part].SentBytes += bytes
}

func (a *account) received(part component, bytes float64) {
	a.parts[part].Received++
	a.parts[part].ReceivedBytes += bytes
}

func (a *account) total() Usage {
	var sum Usage
	for _, part := range a.parts {
		sum = sum.plus(part)
	}
	return sum
}

// threadTime is the processor time of the calling thread. The goroutine must be
// locked to its thread.
func threadTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		panic(Error.Wrap(err))
	}
	return time.Duration(now.Nano())
}

// processTime is the processor time of this process, garbage collection and
// kernel included.
func processTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(Error.Wrap(err))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
