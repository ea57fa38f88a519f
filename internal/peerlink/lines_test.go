package peerlink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLinesRoundTrip(t *testing.T) {
	near, far := net.Pipe()
	sent := Hello{Node: "r1", Term: 7}
	go func() {
		_ = writeLine(near, sent)
		_ = near.Close()
	}()
	reader := bufio.NewReader(far)
	var got Hello
	assert.NilError(t, readLine(reader, &got))
	assert.DeepEqual(t, got, sent)
	assert.Assert(t, errors.Is(readLine(reader, &got), io.EOF))
}

func TestLineOverTheLimitIsRefused(t *testing.T) {
	line := `"` + strings.Repeat("a", maxLine) + "\"\n"
	var got string
	assert.Assert(t, readLine(bufio.NewReader(strings.NewReader(line)), &got) != nil)
	long := `"` + strings.Repeat("a", maxLine/2) + `"`
	assert.NilError(t, readLine(bufio.NewReader(strings.NewReader(long+"\n")), &got))
	assert.Equal(t, len(got), maxLine/2)
}

// FuzzReadLine shows that no input makes the reader of lines panic.
func FuzzReadLine(f *testing.F) {
	f.Add([]byte(`{"l":true,"t":3,"s":[{"s":"tables","r":[[0,9,0,1]]}]}` + "\n"))
	f.Add([]byte(`{"l":`))
	f.Add([]byte("\n\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			var update Update
			if err := readLine(reader, &update); errors.Is(err, io.EOF) || errors.Is(err, bufio.ErrBufferFull) {
				return
			}
		}
	})
}
