package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLinesRoundTrip(t *testing.T) {
	var buffer bytes.Buffer
	sent := RenewRequest{Cell: "casablanca", Server: "i1", Set: 7}
	assert.NilError(t, NewLineWriter(&buffer).Write(sent))
	reader := NewLineReader(&buffer)
	var got RenewRequest
	assert.NilError(t, reader.Read(&got))
	assert.DeepEqual(t, got, sent)
	assert.Equal(t, reader.Read(&got), io.EOF)
}

func TestLineOverTheLimitIsRefused(t *testing.T) {
	line := `"` + strings.Repeat("a", MaxLineBytes) + `"`
	var got string
	err := NewLineReader(strings.NewReader(line)).Read(&got)
	assert.Assert(t, errors.Is(err, ErrLineTooLong))
}

func TestFenceOrdersByGenerationThenIndex(t *testing.T) {
	assert.Assert(t, NewFence(2, 1) > NewFence(1, 1<<39))
	assert.Equal(t, NewFence(3, 5).Generation(), Generation(3))
}

// FuzzLineReader shows that no input makes the decoder of frames panic.
func FuzzLineReader(f *testing.F) {
	f.Add([]byte(`{"cell":"c","version":{"generation":1,"index":2},"snapshot":true}` + "\n"))
	f.Add([]byte(`{"cell":`))
	f.Add([]byte("\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewLineReader(bytes.NewReader(data))
		for {
			var update TableUpdate
			err := reader.Read(&update)
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil && errors.Is(err, ErrLineTooLong) {
				return
			}
		}
	})
}
