package load

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// HeaderBodyBytes asks a worker for a body of that many bytes.
const HeaderBodyBytes = "Lab-Body-Bytes"

// pullChunk is how much a slow caller reads between two pauses.
const pullChunk = 64 << 10

// duration is about how long the pauses of a pull take together.
func (p Pull) duration() time.Duration {
	return time.Duration(p.Bytes/pullChunk+1) * p.Pause
}

func (p Pull) apply(request *http.Request) {
	if p.Bytes > 0 {
		request.Header.Set(HeaderBodyBytes, strconv.FormatInt(p.Bytes, 10))
	}
}

// slow returns a reader that pauses as the pull says.
func (p Pull) slow(reader io.Reader) io.Reader {
	if p.Pause == 0 {
		return reader
	}
	return &slowReader{reader: reader, pause: p.Pause}
}

type slowReader struct {
	reader io.Reader
	pause  time.Duration
	left   int
}

// Read pauses once for every chunk.
func (s *slowReader) Read(data []byte) (int, error) {
	if s.left <= 0 {
		time.Sleep(s.pause)
		s.left = pullChunk
	}
	count, err := s.reader.Read(data[:min(len(data), s.left)])
	s.left -= count
	return count, err
}
