package worker

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/lab/history"
)

// Query parameters of a request.
const (
	// queryStream spreads the body over a time, such as "10s".
	queryStream = "stream"
	// queryBytes is the number of bytes of padding.
	queryBytes = "bytes"
	// queryLength set to "declared" declares the length of a streamed body.
	queryLength    = "length"
	lengthDeclared = "declared"
)

const (
	// maxBodyBytes bounds what a request can ask for.
	maxBodyBytes = 1 << 30
	// streamPause is the time between two pieces of a streamed body.
	streamPause = 50 * time.Millisecond
	// pieceBytes bounds one write.
	pieceBytes = 32 << 10
)

// plan is the body that a request asks for.
type plan struct {
	head   history.Head
	line   []byte
	stream time.Duration
	// declared says that the length is sent before the body.
	declared bool
}

func (p plan) length() int64 {
	return int64(len(p.line)) + p.head.Padding
}

// newPlan reads the request's wishes; what it can't read counts as absent.
func (w *worker) newPlan(j *job) plan {
	query := j.request.URL.Query()
	padding, err := strconv.ParseInt(query.Get(queryBytes), 10, 64)
	if err != nil || padding < 0 || padding > maxBodyBytes {
		padding = w.config.BodyBytes
	}
	stream, err := time.ParseDuration(query.Get(queryStream))
	if err != nil {
		stream = 0
	}
	head := history.Head{
		Nonce:     j.execution.Nonce,
		RequestID: j.execution.RequestID,
		Server:    j.execution.Server,
		Key:       j.execution.Key,
		Fence:     j.execution.Fence,
		Bundle:    j.execution.Bundle,
		Padding:   padding,
	}
	line, err := json.Marshal(head)
	if err != nil {
		panic("the head of a body must encode: " + err.Error())
	}
	declared := stream <= 0 || query.Get(queryLength) == lengthDeclared
	return plan{head: head, line: append(line, '\n'), stream: stream, declared: declared}
}

// answer sends the body, spoiled if the controls say so.
func (w *worker) answer(j *job) {
	body := w.newPlan(j)
	corruption := w.corruption()
	previous := w.previous.swap(body)
	if corruption != CorruptNothing {
		w.answerCorrupt(j, body, previous, corruption)
		return
	}
	setHeaders(j.writer.Header(), body)
	_ = writeBody(j, j.writer, body)
}

func (w *worker) corruption() Corruption {
	behaviour := w.controls.current()
	if rand.Float64() >= behaviour.CorruptShare {
		return CorruptNothing
	}
	return behaviour.Corruption
}

func setHeaders(header http.Header, body plan) {
	header.Set("Content-Type", "application/octet-stream")
	if body.declared {
		header.Set("Content-Length", strconv.FormatInt(body.length(), 10))
	}
}

// writeBody writes the body in pieces, with pauses if it is streamed, until it
// is whole or the request is cancelled. A body that was not finished is broken
// off, never ended.
func writeBody(j *job, writer http.ResponseWriter, body plan) error {
	if _, err := writer.Write(body.line); err != nil {
		return err
	}
	if body.stream <= 0 {
		return writePadding(writer, body.head.Padding)
	}
	flush := http.NewResponseController(writer).Flush
	pieces := max(1, int64(body.stream/streamPause))
	sent := int64(0)
	for piece := range pieces {
		_ = flush()
		select {
		case <-time.After(body.stream / time.Duration(pieces)):
		case <-j.request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		upTo := body.head.Padding * (piece + 1) / pieces
		if err := writePadding(writer, upTo-sent); err != nil {
			return err
		}
		sent = upTo
	}
	return nil
}

var padding = bytes.Repeat([]byte{history.PaddingByte}, pieceBytes)

func writePadding(writer io.Writer, count int64) error {
	for count > 0 {
		piece := min(count, pieceBytes)
		if _, err := writer.Write(padding[:piece]); err != nil {
			return err
		}
		count -= piece
	}
	return nil
}

// previousAnswer remembers the last body, to cross answers.
type previousAnswer struct {
	mu   sync.Mutex
	last plan
}

// swap returns the answer before and remembers this one.
func (p *previousAnswer) swap(next plan) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last
	p.last = next
	return last
}
