package peerlink

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// maxUnpackedBytes limits the size of an unpacked message.
const maxUnpackedBytes = 16 << 20

// pack encodes a value as compressed JSON.
func pack(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // messages are plain data
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = writer.Write(encoded)
	_ = writer.Close()
	return packed.Bytes()
}

// unpack decodes a value that was encoded by pack.
func unpack(packed []byte, into any) error {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(json.Unmarshal(encoded, into))
}
