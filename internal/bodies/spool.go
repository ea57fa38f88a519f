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
	// pieceSize is the length of a piece of memory in bytes: small compared to a body of 60 kB,
	// but large enough that the cost of system calls is negligible.
	pieceSize = 16 << 10
	// firstPieceSize is the length of the first piece of a body whose length is not known.
	firstPieceSize = 4 << 10
)

// ErrNoMemory is returned if the memory budget is exhausted.
var ErrNoMemory = errors.New("memory budget for bodies in flight is exhausted")

// Spool holds a body, or the beginning of one, in memory. Its memory is never reused for another
// body, since an abandoned send may still read it.
type Spool struct {
	budget *MemoryBudget
	small  bool
	pieces [][]byte
	// inline is the initial array of pieces; it avoids an allocation for bodies of one piece.
	inline [1][]byte
	length int64

	mu sync.Mutex
	// reserved is the number of bytes reserved from the budget; reservedAhead of them are for
	// pieces that are not allocated yet.
	reserved, reservedAhead int64
	freed                   bool
}

// NewSpool returns an empty spool that reserves its memory from a budget. A spool for a small body
// still gets memory when there is none for large ones.
func NewSpool(budget *MemoryBudget, small bool) *Spool { return &Spool{budget: budget, small: small} }

// Length returns the number of bytes held.
func (s *Spool) Length() int64 {
	if s == nil {
		return 0
	}
	return s.length
}

// ReserveNext reserves memory for the next piece of a large body, and waits for it up to the
// timeout. It returns false if there is not enough memory. From then on, the spool counts as one
// for a large body.
func (s *Spool) ReserveNext(ctx context.Context, timeout time.Duration) bool {
	if !s.budget.ReserveWithin(ctx, pieceSize, timeout) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.small = false
	s.reserved += pieceSize
	s.reservedAhead += pieceSize
	return true
}

// Pieces returns the bytes in order. The bytes must not be changed, but the returned slice may be.
func (s *Spool) Pieces() net.Buffers {
	if s == nil {
		return nil
	}
	return append(net.Buffers(nil), s.pieces...)
}

// Prefix returns at most limit bytes from the start of the body.
func (s *Spool) Prefix(limit int) []byte {
	if s == nil || len(s.pieces) == 0 {
		return nil
	}
	if len(s.pieces) == 1 {
		return s.pieces[0][:min(limit, len(s.pieces[0]))]
	}
	start := make([]byte, 0, min(int64(limit), s.length))
	for _, piece := range s.pieces {
		start = append(start, piece[:min(len(piece), limit-len(start))]...)
	}
	return start
}

// Fill reads a body until it ends, in which case complete is true, or until limit bytes are held.
// length is that of the body in bytes, negative if unknown. If the memory budget is exhausted, Fill
// returns ErrNoMemory; it keeps what it has read, and the rest can still be read from the reader.
func (s *Spool) Fill(from io.Reader, length, limit int64) (complete bool, err error) {
	for s.length < limit && s.length != length {
		piece := s.allocate(length, limit)
		if piece == nil {
			return false, ErrNoMemory
		}
		complete, err = s.fillPiece(piece, from)
		if complete || err != nil {
			return complete, err
		}
	}
	return s.length == length, nil
}

// fillPiece reads one piece.
func (s *Spool) fillPiece(piece []byte, from io.Reader) (complete bool, err error) {
	count := 0
	for count < len(piece) && err == nil {
		var n int
		n, err = from.Read(piece[count:])
		count += n
	}
	if count > 0 {
		if s.pieces == nil {
			s.pieces = s.inline[:0]
		}
		s.pieces = append(s.pieces, piece[:count])
		s.length += int64(count)
	}
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// allocate returns memory for the next piece, or nil if there is none or the spool was freed.
func (s *Spool) allocate(length, limit int64) []byte {
	size := min(pieceSize, limit-s.length)
	switch {
	case length >= 0:
		size = min(size, length-s.length)
	case s.length == 0:
		size = min(size, firstPieceSize)
	}
	reserve := s.budget.Reserve
	if s.small {
		reserve = s.budget.ReserveSmall
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.freed:
		return nil
	case s.reservedAhead >= size:
		s.reservedAhead -= size
	case !reserve(size):
		return nil
	default:
		s.reserved += size
	}
	return make([]byte, size)
}

// Free returns the memory to the budget. Readers may still read the bytes.
func (s *Spool) Free() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Release(s.reserved)
	s.reserved, s.freed = 0, true
}
