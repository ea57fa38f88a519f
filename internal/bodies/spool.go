package bodies

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// pieceBytes is the length of a piece of memory in bytes: small beside a body of 60 kB,
	// long beside what a system call costs.
	pieceBytes = 16 << 10
	// firstPiece is the length of the first piece of a body whose length is not known.
	firstPiece = 4 << 10
)

// ErrNoMemory: the room has no memory left.
var ErrNoMemory = errors.New("no memory is left for bodies in flight")

// Spool is a body in memory, or its beginning. Its bytes are never used for another body:
// a send that was given up may read them still.
type Spool struct {
	room   *MemoryBudget
	small  bool
	pieces [][]byte
	// only is where the single piece of a small body stands.
	only   [1][]byte
	length int64

	mu sync.Mutex
	// taken are the room's bytes, of which ahead are for pieces that are still to come.
	taken, ahead int64
	freed        bool
}

// NewSpool returns an empty spool, whose memory is taken from a room. One for a small body
// gets memory while large ones get none.
func NewSpool(room *MemoryBudget, small bool) *Spool { return &Spool{room: room, small: small} }

// Length returns how many bytes it holds.
func (s *Spool) Length() int64 {
	if s == nil {
		return 0
	}
	return s.length
}

// Await takes memory for the next piece of a large body, and waits for it for a while if need
// be; false if there is none.
func (s *Spool) ReserveNext(ctx context.Context, patience time.Duration) bool {
	if !s.room.ReserveWithin(ctx, pieceBytes, patience) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.small = false
	s.taken += pieceBytes
	s.ahead += pieceBytes
	return true
}

// Pieces returns the bytes, in order. They must not be changed; the list is the caller's own.
func (s *Spool) Pieces() net.Buffers {
	if s == nil {
		return nil
	}
	return append(net.Buffers(nil), s.pieces...)
}

// Start returns the first bytes, so many at most.
func (s *Spool) Prefix(most int) []byte {
	if s == nil || len(s.pieces) == 0 {
		return nil
	}
	if len(s.pieces) == 1 {
		return s.pieces[0][:min(most, len(s.pieces[0]))]
	}
	start := make([]byte, 0, min(int64(most), s.length))
	for _, piece := range s.pieces {
		start = append(start, piece[:min(len(piece), most-len(start))]...)
	}
	return start
}

// Fill reads a body until it ends, which whole tells, or so many bytes are held. length is
// that of the body in bytes; below zero if not known. Where the room is full it returns
// ErrNoMemory; what is held stays, and the rest can be read still.
func (s *Spool) Fill(from io.Reader, length, most int64) (whole bool, err error) {
	for s.length < most && s.length != length {
		piece := s.next(length, most)
		if piece == nil {
			return false, ErrNoMemory
		}
		whole, err = s.fill(piece, from)
		if whole || err != nil {
			return whole, err
		}
	}
	return s.length == length, nil
}

// fill reads one piece.
func (s *Spool) fill(piece []byte, from io.Reader) (whole bool, err error) {
	count := 0
	for count < len(piece) && err == nil {
		var more int
		more, err = from.Read(piece[count:])
		count += more
	}
	if count > 0 {
		if s.pieces == nil {
			s.pieces = s.only[:0]
		}
		s.pieces = append(s.pieces, piece[:count])
		s.length += int64(count)
	}
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// next takes memory for the next piece; nil if there is none.
func (s *Spool) next(length, most int64) []byte {
	size := min(pieceBytes, most-s.length)
	switch {
	case length >= 0:
		size = min(size, length-s.length)
	case s.length == 0:
		size = min(size, firstPiece)
	}
	take := s.room.Reserve
	if s.small {
		take = s.room.ReserveSmall
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.freed:
		return nil
	case s.ahead >= size:
		s.ahead -= size
	case !take(size):
		return nil
	default:
		s.taken += size
	}
	return make([]byte, size)
}

// Free gives the memory back to the room. What reads the bytes may go on.
func (s *Spool) Free() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.Release(s.taken)
	s.taken, s.freed = 0, true
}
