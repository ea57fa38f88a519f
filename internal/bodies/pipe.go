package bodies

import (
	"errors"
	"io"
	"sync"
	"time"
)

// errClosed: whoever read from the pipe wants no more.
var errClosed = errors.New("the answer is not wanted any more")

// part is some bytes of an answer, and what is given back to the room once they are through.
type part struct {
	bytes []byte
	gives int64
}

// Pipe carries an answer from a worker to a caller. It takes what the worker sends as fast as
// it comes, within a bound, so that a caller who reads slowly holds no worker up. One may fill
// it while another reads from it.
type Pipe struct {
	room *MemoryBudget
	most int64

	mu      sync.Mutex
	changed sync.Cond
	parts   []part
	// held is how many bytes wait for the caller.
	held int64
	// end is why no more comes: io.EOF if the answer is whole; nil while more may come.
	end    error
	closed bool
	// done is closed at the end, and crowded once no more can be held.
	done, crowded chan struct{}
	once          sync.Once
}

// NewPipe returns a pipe that holds so many bytes at most.
func NewPipe(room *MemoryBudget, most int64) *Pipe {
	p := &Pipe{room: room, most: most, done: make(chan struct{}), crowded: make(chan struct{})}
	p.changed.L = &p.mu
	return p
}

// Fill reads from a worker until the answer ends or is not wanted any more, and returns the
// reason: nil if it is whole. Where there is no room it waits until the caller has taken what
// is held, and goes on in small steps.
func (p *Pipe) Fill(from io.Reader) error {
	for {
		block, taken, err := p.next()
		if err == nil {
			err = p.fill(block, taken, from)
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

// next returns memory, and how much of it was taken from the room.
func (p *Pipe) next() (block []byte, taken int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed {
		if p.held+pieceBytes <= p.most && p.room.Reserve(pieceBytes) {
			return make([]byte, pieceBytes), pieceBytes, nil
		}
		p.once.Do(func() { close(p.crowded) })
		if p.held == 0 { // so that each answer goes on
			return make([]byte, firstPiece), 0, nil
		}
		p.changed.Wait()
	}
	return nil, 0, errClosed
}

// fill reads into one block, and gives on what comes as it comes.
func (p *Pipe) fill(block []byte, taken int64, from io.Reader) error {
	for len(block) > 0 {
		count, err := from.Read(block)
		last := err != nil || count == len(block)
		gives := int64(0)
		if last {
			gives = taken
		}
		if !p.add(part{bytes: block[:count:count], gives: gives}) && !last {
			p.room.Release(taken)
			return errClosed
		}
		if err != nil {
			return err
		}
		block = block[count:]
	}
	return nil
}

// add holds bytes for the caller; false if it wants no more.
func (p *Pipe) add(come part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.room.Release(come.gives)
		return false
	}
	p.parts = append(p.parts, come)
	p.held += int64(len(come.bytes))
	p.changed.Broadcast()
	return true
}

func (p *Pipe) finish(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = err
	close(p.done)
	p.changed.Broadcast()
}

// Await waits until the answer is whole or broken, or no more of it can be held, or a time has
// passed; zero: no time does. It returns whether it is whole, and why it broke.
func (p *Pipe) Await(hold time.Duration) (whole bool, err error) {
	var passed <-chan time.Time
	if hold > 0 {
		timer := time.NewTimer(hold)
		defer timer.Stop()
		passed = timer.C
	}
	select {
	case <-p.done:
	case <-p.crowded:
	case <-passed:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(p.end, io.EOF) {
		return true, nil
	}
	return false, p.end
}

// Spool returns a whole answer, which the pipe holds no longer.
func (p *Pipe) Spool() *Spool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &Spool{room: p.room, length: p.held}
	for _, one := range p.parts {
		s.taken += one.gives
		if len(one.bytes) > 0 {
			s.pieces = append(s.pieces, one.bytes)
		}
	}
	p.parts, p.held, p.closed = nil, 0, true
	return s
}

// WriteTo gives the answer to a caller as it comes; flush is called after each part. Its error
// is the caller's or the worker's; Err tells the worker's.
func (p *Pipe) WriteTo(to io.Writer, flush func() error) (written int64, err error) {
	for {
		next, err := p.take()
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
		p.room.Release(next.gives)
		if err != nil {
			return written, err
		}
	}
}

// take waits for the next bytes.
func (p *Pipe) take() (part, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.parts) == 0 {
		switch {
		case p.closed:
			return part{}, errClosed
		case p.end != nil:
			return part{}, p.end
		}
		p.changed.Wait()
	}
	next := p.parts[0]
	p.parts = p.parts[1:]
	p.held -= int64(len(next.bytes))
	p.changed.Broadcast()
	return next, nil
}

// Close gives up what is held and what is to come.
func (p *Pipe) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.parts {
		p.room.Release(one.gives)
	}
	p.parts, p.held, p.closed = nil, 0, true
	p.changed.Broadcast()
}

// Whole reports whether all of the answer has come.
func (p *Pipe) Complete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Is(p.end, io.EOF)
}

// Err returns why the answer ended before it was whole; nil if it did not.
func (p *Pipe) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(p.end, io.EOF) {
		return nil
	}
	return p.end
}
