package bodies

import (
	"errors"
	"io"
	"sync"
	"time"
)

// errClosed is returned once the pipe is closed, since the answer is no longer needed.
var errClosed = errors.New("the pipe for the answer is closed")

// part is a section of an answer.
type part struct {
	bytes []byte
	// reserved is the memory to release once the part is written. The reservation of a block is
	// attached to its last part.
	reserved int64
}

// Pipe buffers an answer on its way from a worker to a caller. It reads as fast as the worker
// sends, up to a limit, so that a caller that reads slowly does not keep the worker busy. One
// goroutine may fill it while another reads from it.
type Pipe struct {
	budget      *MemoryBudget
	maxBuffered int64

	mu      sync.Mutex
	changed sync.Cond
	parts   []part
	// buffered is the number of bytes that are not written to the caller yet.
	buffered int64
	// endErr is the reason for which reading ended: io.EOF if the answer is complete, nil while
	// more may arrive.
	endErr error
	closed bool
	// done is closed when reading ends, and full once no more can be buffered.
	done, full chan struct{}
	fullOnce   sync.Once
}

// NewPipe returns a pipe that buffers at most the given number of bytes.
func NewPipe(budget *MemoryBudget, maxBuffered int64) *Pipe {
	p := &Pipe{budget: budget, maxBuffered: maxBuffered, done: make(chan struct{}), full: make(chan struct{})}
	p.changed.L = &p.mu
	return p
}

// Fill reads from a worker until the answer ends or the pipe is closed. It returns nil if the
// answer is complete, and the reason otherwise. If it gets no memory, it waits until the caller has
// read all that is buffered, and continues in small steps.
func (p *Pipe) Fill(from io.Reader) error {
	for {
		block, reserved, err := p.allocate()
		if err == nil {
			err = p.fillBlock(block, reserved, from)
		}
		if err == nil {
			continue
		}
		p.finish(err)
		if errors.Is(err, io.EOF) {
			return nil
		}
		return err
	}
}

// allocate returns a block of memory, and how much of it is reserved from the budget.
func (p *Pipe) allocate() (block []byte, reserved int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed {
		if p.buffered+pieceSize <= p.maxBuffered && p.budget.Reserve(pieceSize) {
			return make([]byte, pieceSize), pieceSize, nil
		}
		p.fullOnce.Do(func() { close(p.full) })
		if p.buffered == 0 { // so that each answer makes progress even if the budget is exhausted
			return make([]byte, firstPieceSize), 0, nil
		}
		p.changed.Wait()
	}
	return nil, 0, errClosed
}

// fillBlock reads into one block, and makes each part available as soon as it arrives.
func (p *Pipe) fillBlock(block []byte, reserved int64, from io.Reader) error {
	for len(block) > 0 {
		count, err := from.Read(block)
		last := err != nil || count == len(block)
		release := int64(0)
		if last {
			release = reserved
		}
		if !p.add(part{bytes: block[:count:count], reserved: release}) && !last {
			p.budget.Release(reserved)
			return errClosed
		}
		if err != nil {
			return err
		}
		block = block[count:]
	}
	return nil
}

// add buffers a part for the caller. It returns false if the pipe is closed.
func (p *Pipe) add(added part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.budget.Release(added.reserved)
		return false
	}
	p.parts = append(p.parts, added)
	p.buffered += int64(len(added.bytes))
	p.changed.Broadcast()
	return true
}

func (p *Pipe) finish(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endErr = err
	close(p.done)
	p.changed.Broadcast()
}

// Await waits until the answer is complete, has failed, or can't be buffered further, or until the
// timeout has passed; zero means no timeout. It returns whether the answer is complete, and the
// error if it has failed.
func (p *Pipe) Await(timeout time.Duration) (complete bool, err error) {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-p.done:
	case <-p.full:
	case <-expired:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(p.endErr, io.EOF) {
		return true, nil
	}
	return false, p.endErr
}

// Spool moves a complete answer from the pipe into a spool, and closes the pipe.
func (p *Pipe) Spool() *Spool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &Spool{budget: p.budget, length: p.buffered}
	for _, pending := range p.parts {
		s.reserved += pending.reserved
		if len(pending.bytes) > 0 {
			s.pieces = append(s.pieces, pending.bytes)
		}
	}
	p.parts, p.buffered, p.closed = nil, 0, true
	return s
}

// WriteTo writes the answer to a caller as it arrives, and calls flush after each part. Its error
// may come from the caller or the worker; Err returns only the worker's.
func (p *Pipe) WriteTo(to io.Writer, flush func() error) (written int64, err error) {
	for {
		next, err := p.nextPart()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return written, nil
			}
			return written, err
		}
		count, err := to.Write(next.bytes)
		written += int64(count)
		if err == nil {
			err = flush()
		}
		p.budget.Release(next.reserved)
		if err != nil {
			return written, err
		}
	}
}

// nextPart waits for the next part and removes it from the buffer.
func (p *Pipe) nextPart() (part, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.parts) == 0 {
		switch {
		case p.closed:
			return part{}, errClosed
		case p.endErr != nil:
			return part{}, p.endErr
		}
		p.changed.Wait()
	}
	next := p.parts[0]
	p.parts = p.parts[1:]
	p.buffered -= int64(len(next.bytes))
	p.changed.Broadcast()
	return next, nil
}

// Close discards what is buffered, and ends Fill.
func (p *Pipe) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pending := range p.parts {
		p.budget.Release(pending.reserved)
	}
	p.parts, p.buffered, p.closed = nil, 0, true
	p.changed.Broadcast()
}

// Complete reports whether all of the answer has arrived.
func (p *Pipe) Complete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Is(p.endErr, io.EOF)
}

// Err returns the reason for which the answer ended before it was complete, or nil.
func (p *Pipe) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(p.endErr, io.EOF) {
		return nil
	}
	return p.endErr
}
