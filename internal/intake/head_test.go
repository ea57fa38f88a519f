package intake

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// countingReserver grants up to limit bytes.
type countingReserver struct{ limit, used int64 }

func (r *countingReserver) ReserveSmall(bytes int64) bool {
	if r.used+bytes > r.limit {
		return false
	}
	r.used += bytes
	return true
}

func (r *countingReserver) Release(bytes int64) { r.used -= bytes }

func readResponse(text string, memory Reserver) (body string, reserved int64, err error) {
	heads := NewHeadReader(strings.NewReader(text))
	heads.BeginHead(nil, memory)
	response, err := http.ReadResponse(bufio.NewReader(heads), nil)
	reserved, refused := heads.EndHead()
	if err != nil {
		return "", reserved, refused
	}
	read, err := io.ReadAll(response.Body)
	return string(read), reserved, err
}

func TestLongHeadIsTooLong(t *testing.T) {
	for name, test := range map[string]struct {
		length int
		want   error
	}{"within the limit": {length: 60 << 10}, "beyond it": {length: 100 << 10, want: ErrHeadTooLong}} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: " + strings.Repeat("a", test.length) + "\r\n\r\n"
			_, _, err := readResponse(text, &countingReserver{limit: 1 << 30})
			assert.ErrorIs(t, err, test.want)
		})
	}
}

// A head of many short lines takes several times its bytes once it is parsed.
func TestHeadOfShortLinesIsTooLong(t *testing.T) {
	for name, test := range map[string]struct {
		lines int
		want  error
	}{"few": {lines: 300}, "many": {lines: 9000, want: ErrHeadTooLong}} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", test.lines) + "\r\n"
			_, reserved, err := readResponse(text, &countingReserver{limit: 1 << 20})
			assert.ErrorIs(t, err, test.want)
			assert.Assert(t, reserved <= 4<<10*headFactor, "%d bytes reserved", reserved)
		})
	}
}

// The lines of a body that arrive with a long head don't count as lines of the head.
func TestLinesOfBodyAreNotLinesOfHead(t *testing.T) {
	body := strings.Repeat("\n", 100_000)
	text := "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\nX-A: " + strings.Repeat("a", 5000) + "\r\n\r\n" + body
	memory := &countingReserver{limit: 1 << 20}
	got, reserved, err := readResponse(text, memory)
	assert.NilError(t, err)
	assert.Equal(t, got, body)
	assert.Equal(t, reserved, memory.used)
}
