package wire

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// MaxLineBytes bounds one line of a stream.
const MaxLineBytes = 8 << 20

// Error is the class of errors of this package.
var Error = errs.Class("wire")

// ErrLineTooLong says that a line went past MaxLineBytes.
var ErrLineTooLong = Error.New("line longer than %d bytes", MaxLineBytes)

// LineWriter writes one JSON value a line.
type LineWriter struct {
	encoder *json.Encoder
}

// NewLineWriter returns a writer of lines to w.
func NewLineWriter(w io.Writer) *LineWriter {
	return &LineWriter{encoder: json.NewEncoder(w)}
}

// Write writes value as one line.
func (w *LineWriter) Write(value any) error {
	return Error.Wrap(w.encoder.Encode(value))
}

// LineReader reads one JSON value a line.
type LineReader struct {
	scanner *bufio.Scanner
}

// NewLineReader returns a reader of lines from r.
func NewLineReader(r io.Reader) *LineReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	return &LineReader{scanner: scanner}
}

// Read decodes the next line into value. It returns io.EOF at a clean end,
// ErrLineTooLong for a line over the limit, and an error of class Error for a
// line that is not the JSON of value.
func (r *LineReader) Read(value any) error {
	if !r.scanner.Scan() {
		return r.endError()
	}
	return Error.Wrap(json.Unmarshal(r.scanner.Bytes(), value))
}

func (r *LineReader) endError() error {
	err := r.scanner.Err()
	if err == nil {
		return io.EOF
	}
	if err == bufio.ErrTooLong {
		return ErrLineTooLong
	}
	return Error.Wrap(err)
}
