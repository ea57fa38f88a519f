package controller

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// A batch of messages goes as JSON lines: an envelope with what all messages of
// the batch share, then one line a message under short names. Heartbeats are
// most of what controllers send, so their size counts.

// envelope says whom a batch is from and for. The answer to a batch has none:
// it goes the other way.
type envelope struct {
	Cell       string           `json:"cell"`
	Generation wire.Generation  `json:"generation"`
	From       wire.Incarnation `json:"from"`
	To         wire.Incarnation `json:"to"`
}

func envelopeOf(message consensus.Message) envelope {
	return envelope{Cell: message.Cell, Generation: message.Generation, From: message.From, To: message.To}
}

// answered is the envelope of the answer.
func (e envelope) answered() envelope {
	e.From, e.To = e.To, e.From
	return e
}

// batchLine is a consensus.Message without what the envelope holds.
type batchLine struct {
	Kind     consensus.MessageKind `json:"k"`
	Term     consensus.Term        `json:"t"`
	LogIndex consensus.Index       `json:"i,omitempty"`
	LogTerm  consensus.Term        `json:"j,omitempty"`
	Entries  []consensus.Entry     `json:"e,omitempty"`
	Commit   consensus.Index       `json:"c,omitempty"`
	Round    time.Duration         `json:"r,omitempty"`
	Reject   bool                  `json:"x,omitempty"`
	Snapshot *consensus.Snapshot   `json:"s,omitempty"`
}

func lineOf(message consensus.Message) batchLine {
	return batchLine{
		Kind:     message.Kind,
		Term:     message.Term,
		LogIndex: message.LogIndex,
		LogTerm:  message.LogTerm,
		Entries:  message.Entries,
		Commit:   message.Commit,
		Round:    message.Round,
		Reject:   message.Reject,
		Snapshot: message.Snapshot,
	}
}

func (l batchLine) message(shared envelope) consensus.Message {
	return consensus.Message{
		Kind:       l.Kind,
		Cell:       shared.Cell,
		Generation: shared.Generation,
		From:       shared.From,
		To:         shared.To,
		Term:       l.Term,
		LogIndex:   l.LogIndex,
		LogTerm:    l.LogTerm,
		Entries:    l.Entries,
		Commit:     l.Commit,
		Round:      l.Round,
		Reject:     l.Reject,
		Snapshot:   l.Snapshot,
	}
}

// encodeBatch writes the envelope and the messages.
func encodeBatch(shared envelope, messages []consensus.Message) ([]byte, error) {
	var buffer bytes.Buffer
	if err := wire.NewLineWriter(&buffer).Write(shared); err != nil {
		return nil, err
	}
	lines, err := encodeLines(messages)
	return append(buffer.Bytes(), lines...), err
}

// encodeLines writes the messages alone, as in an answer.
func encodeLines(messages []consensus.Message) ([]byte, error) {
	var buffer bytes.Buffer
	writer := wire.NewLineWriter(&buffer)
	for _, message := range messages {
		if err := writer.Write(lineOf(message)); err != nil {
			return nil, err
		}
	}
	return buffer.Bytes(), nil
}

// decodeBatch reads an envelope and its messages.
func decodeBatch(body io.Reader) (envelope, []consensus.Message, error) {
	reader := wire.NewLineReader(io.LimitReader(body, maxMessageBytes))
	var shared envelope
	if err := reader.Read(&shared); err != nil {
		return envelope{}, nil, err
	}
	messages, err := decodeLines(reader, shared)
	return shared, messages, err
}

// decodeLines reads messages up to the end.
func decodeLines(reader *wire.LineReader, shared envelope) ([]consensus.Message, error) {
	var messages []consensus.Message
	for {
		var line batchLine
		err := reader.Read(&line)
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return nil, err
		}
		messages = append(messages, line.message(shared))
	}
}

// sameEnvelope returns the first messages of a queue that share an envelope,
// and the rest.
func sameEnvelope(messages []consensus.Message) (first, rest []consensus.Message) {
	shared := envelopeOf(messages[0])
	for i, message := range messages {
		if envelopeOf(message) != shared {
			return messages[:i], messages[i:]
		}
	}
	return messages, nil
}
