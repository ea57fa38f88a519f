// Package decision writes one log line for each decision that affects a request or changes
// the state of the process, with a rate limit for each kind of line. Writing never blocks:
// lines that exceed the queue are dropped and counted.
package decision

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Limits of the log.
const (
	// linesPerSecond is the sustained rate of each kind.
	linesPerSecond = 10
	// burstLines is how many lines of a kind may be written at once.
	burstLines = 40
	// maxQueuedLines is how many lines may wait for the writer.
	maxQueuedLines = 512
	// summaryInterval is the minimum interval between summaries of the lines left out.
	summaryInterval = 5 * time.Second
)

// Log writes the lines of one process. It is safe for concurrent use.
type Log struct {
	logger  *log.Logger
	writer  *queue
	mu      sync.Mutex
	budgets map[Kind]*budget
	// leftOut counts the lines left out since lastSummary.
	leftOut     map[Kind]int
	lastSummary time.Time
}

// budget is the token bucket of one kind.
type budget struct {
	remaining  float64
	refilledAt time.Time
}

// New returns a log to standard output. Each line names the node and the process id.
func New(node string) *Log {
	return NewTo(os.Stdout, node)
}

// NewTo returns a log to a writer.
func NewTo(writer io.Writer, node string) *Log {
	lines := &queue{lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), writer: writer}
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

// Line begins a line, which Msg finishes. It returns nil, on which all methods do nothing, if
// the kind has exceeded its rate limit.
func (l *Log) Line(kind Kind) *log.Entry {
	if !l.allow(kind, time.Now()) {
		return nil
	}
	return l.logger.Info().Str("kind", string(kind))
}

func (l *Log) allow(kind Kind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logLinesLeftOut(now)
	b := l.budgets[kind]
	if b == nil {
		b = &budget{remaining: burstLines, refilledAt: now}
		l.budgets[kind] = b
	}
	b.remaining = min(burstLines, b.remaining+now.Sub(b.refilledAt).Seconds()*linesPerSecond)
	b.refilledAt = now
	if b.remaining < 1 {
		l.leftOut[kind]++
		return false
	}
	b.remaining--
	return true
}

// logLinesLeftOut logs how many lines were left out since the last summary.
func (l *Log) logLinesLeftOut(now time.Time) {
	if now.Sub(l.lastSummary) < summaryInterval || len(l.leftOut) == 0 {
		return
	}
	l.lastSummary = now
	for kind, count := range l.leftOut {
		l.logger.Info().Str("kind", string(KindLinesLeftOut)).Str("of", string(kind)).Int("lines", count).
			Int64("dropped", l.writer.dropped.Load()).Msg("over the budget")
	}
	l.leftOut = map[Kind]int{}
}

// Dropped returns how many lines were dropped because the queue to the writer was full.
func (l *Log) Dropped() int64 { return l.writer.dropped.Load() }

// Flush waits up to 100 ms until the queue to the writer is empty.
func (l *Log) Flush() {
	for range 20 {
		if len(l.writer.lines) == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Close stops the writer; lines that are still queued are dropped.
func (l *Log) Close() { close(l.writer.stop) }

// queue writes lines from a separate goroutine.
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
