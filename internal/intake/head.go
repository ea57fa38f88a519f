package intake

import (
	"bytes"
	"errors"
	"io"
)

// Limits of the head of a response, up to which it is read.
const (
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the memory of a head's fields, which take more than their bytes.
	maxHeadLines = 512
	// headFactor is the memory that a head takes while it is parsed, as a multiple of its length.
	headFactor = 5
	// maxKeptHead is the length in bytes up to which the memory of a head is kept for the next one.
	maxKeptHead = 4 << 10
)

// ErrHeadTooLong is returned if a head is longer than any peer needs, or does not end.
var ErrHeadTooLong = errors.New("the head is too long")

// ErrNoMemory is returned if the heads of all connections together are too long.
var ErrNoMemory = errors.New("no memory for a long head")

// Reserver limits the memory of all messages together.
type Reserver interface {
	// ReserveSmall reserves bytes. It returns false if there is not enough memory.
	ReserveSmall(bytes int64) bool
	Release(bytes int64)
}

// HeadReader reads from a connection and bounds the heads that it carries. Bodies pass unchanged.
type HeadReader struct {
	from   io.Reader
	inHead bool
	// bytes and lines were read of the current head.
	bytes, lines int
	memory       Reserver
	reserved     int64
	// raw begins with the current head as it was received.
	raw []byte
	// refused is why the current head can't be read any further.
	refused error
}

// NewHeadReader returns a reader of a connection that expects no head.
func NewHeadReader(from io.Reader) *HeadReader { return &HeadReader{from: from} }

// BeginHead is called before a head is read, of which a part may be buffered. What the head takes beyond the first
// read is reserved from memory.
func (r *HeadReader) BeginHead(buffered []byte, memory Reserver) {
	r.inHead, r.bytes, r.lines, r.memory = true, 0, 0, memory
	if cap(r.raw) > maxKeptHead {
		r.raw = nil
	}
	r.raw = append(r.raw[:0], buffered...)
}

// EndHead is called once a head was read, or can't be. It returns how many bytes of memory are reserved for
// it, which the caller releases, and ErrHeadTooLong or ErrNoMemory if the head was refused.
func (r *HeadReader) EndHead() (reserved int64, refused error) {
	reserved, refused = r.reserved, r.refused
	r.inHead, r.reserved, r.refused = false, 0, nil
	return reserved, refused
}

// Raw returns the last head as it was received, and what was read together with it. It is valid until the next
// head begins.
func (r *HeadReader) Raw() []byte { return r.raw }

// Read implements io.Reader.
func (r *HeadReader) Read(into []byte) (int, error) {
	if !r.inHead {
		return r.from.Read(into)
	}
	if r.bytes >= maxHeadBytes || r.lines >= maxHeadLines {
		r.refused = ErrHeadTooLong
		return 0, r.refused
	}
	into = into[:min(len(into), maxHeadBytes-r.bytes)]
	if r.bytes > 0 { // the first read fits into the buffer that each connection has
		more := int64(headFactor * len(into))
		if !r.memory.ReserveSmall(more) {
			r.refused = ErrNoMemory
			return 0, r.refused
		}
		r.reserved += more
	}
	count, err := r.from.Read(into)
	r.raw = append(r.raw, into[:count]...)
	r.bytes += count
	r.lines += bytes.Count(into[:count], []byte("\n"))
	return count, err
}
