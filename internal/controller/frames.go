package controller

import (
	"bytes"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// The functions below give the frames between controllers to tools that measure
// them; the controller itself streams them.

// EncodeBatch returns messages from one controller to another as they are
// posted to PathMessages. There must be at least one.
func EncodeBatch(messages []consensus.Message) ([]byte, error) {
	return encodeBatch(envelopeOf(messages[0]), messages)
}

// DecodeBatch reads what EncodeBatch wrote.
func DecodeBatch(frames []byte) ([]consensus.Message, error) {
	_, messages, err := decodeBatch(bytes.NewReader(frames))
	return messages, err
}

// EncodeAnswer returns the messages in the answer to a batch.
func EncodeAnswer(messages []consensus.Message) ([]byte, error) {
	return encodeLines(messages)
}

// DecodeAnswer reads the answer to a batch, of which asked is one message.
func DecodeAnswer(frames []byte, asked consensus.Message) ([]consensus.Message, error) {
	return decodeLines(wire.NewLineReader(bytes.NewReader(frames)), envelopeOf(asked).answered())
}
