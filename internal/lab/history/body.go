package history

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

// Error is the class of errors of this package.
var Error = errs.Class("history")

// Head is the first line of an answer's body, in JSON. Padding follows it.
type Head struct {
	Nonce     Nonce             `json:"nonce"`
	RequestID wire.RequestID    `json:"request_id"`
	Server    bundle.ServerName `json:"server"`
	Key       string            `json:"key,omitempty"`
	Fence     wire.Fence        `json:"fence"`
	Bundle    bundle.Version    `json:"bundle"`
	// Padding is the number of bytes after the first line.
	Padding int64 `json:"padding"`
}

// Body is what a caller read.
type Body struct {
	Head
	// Received is the number of bytes read after the first line.
	Received int64 `json:"received"`
}

// PaddingByte fills a body up to its length.
const PaddingByte = '.'

// ReadBody reads an answer's body to its end. The error says that it did not
// end cleanly; what was read up to there is returned as well, nil if not even
// the first line came.
func ReadBody(reader io.Reader) (*Body, error) {
	buffered := bufio.NewReader(reader)
	line, err := buffered.ReadBytes('\n')
	if err != nil {
		return nil, Error.Wrap(err)
	}
	body := &Body{}
	if err := json.Unmarshal(line, &body.Head); err != nil {
		return nil, Error.Wrap(err)
	}
	body.Received, err = io.Copy(io.Discard, buffered)
	return body, Error.Wrap(err)
}
