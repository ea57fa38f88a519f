// Package decision writes one log line for each decision that touches a request
// or changes what the process believes, within a budget a second for each kind.
// Writing never blocks: lines that find no room are dropped and counted.
package decision

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Bounds of the log.
const (
	// linesPerSecond is the budget of each kind.
	linesPerSecond = 10
	// burstLines may be written at once.
	burstLines = 40
	// queuedLines wait for the writer.
	queuedLines = 512
	// leftOutEvery is the pause between lines that count what was left out.
	leftOutEvery = 5 * time.Second
)

// Log writes the lines of one process. It is safe for concurrent use.
type Log struct {
	logger  *log.Logger
	writer  *queue
	mu      sync.Mutex
	budgets map[Kind]*budget
	leftOut map[Kind]int
	told    time.Time
}

type budget struct {
	left float64
	at   time.Time
}

// New returns a log to standard output whose lines name the process.
func New(node string) *Log {
	return NewTo(os.Stdout, node)
}

// NewTo returns a log to a writer.
func NewTo(writer io.Writer, node string) *Log {
	lines := &queue{lines: make(chan []byte, queuedLines), stop: make(chan struct{}), writer: writer}
	go lines.run()
	return &Log{
		logger: &log.Logger{
			Level:   log.InfoLevel,
			Context: log.NewContext(nil).Str("node", node).Int("pid", os.Getpid()).Value(),
			Writer:  log.IOWriter{Writer: lines},
		},
		writer:  lines,
		budgets: map[Kind]*budget{},
		leftOut: map[Kind]int{},
	}
}

// Line begins a line; nil, on which all methods do nothing, if the kind has no
// budget left. Finish it with Msg.
func (l *Log) Line(kind Kind) *log.Entry {
	if !l.admit(kind, time.Now()) {
		return nil
	}
	return l.logger.Info().Str("kind", string(kind))
}

func (l *Log) admit(kind Kind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tellLeftOut(now)
	of := l.budgets[kind]
	if of == nil {
		of = &budget{left: burstLines, at: now}
		l.budgets[kind] = of
	}
	of.left = min(burstLines, of.left+now.Sub(of.at).Seconds()*linesPerSecond)
	of.at = now
	if of.left < 1 {
		l.leftOut[kind]++
		return false
	}
	of.left--
	return true
}

// tellLeftOut writes what was left out since the last time.
func (l *Log) tellLeftOut(now time.Time) {
	if now.Sub(l.told) < leftOutEvery || len(l.leftOut) == 0 {
		return
	}
	l.told = now
	for kind, count := range l.leftOut {
		l.logger.Info().Str("kind", string(KindLinesLeftOut)).Str("of", string(kind)).Int("lines", count).
			Int64("dropped", l.writer.dropped.Load()).Msg("over the budget")
	}
	l.leftOut = map[Kind]int{}
}

// Dropped returns how many lines found the writer busy.
func (l *Log) Dropped() int64 { return l.writer.dropped.Load() }

// Flush waits, for a short time, until the lines so far are written.
func (l *Log) Flush() {
	for range 20 {
		if len(l.writer.lines) == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Close ends the writer; lines that still wait are dropped.
func (l *Log) Close() { close(l.writer.stop) }

// queue writes lines from a goroutine of its own.
type queue struct {
	lines   chan []byte
	stop    chan struct{}
	writer  io.Writer
	dropped atomic.Int64
}

// Write implements io.Writer; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *queue) run() {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.writer.Write(line)
		case <-q.stop:
			return
		}
	}
}
