package pipeline

import (
	"bytes"
	"strconv"
)

// maxHead is the maximum size in bytes of a request's head. Larger ones are left to net/http.
const maxHead = 64 << 10

// maxLengthDigits is the maximum number of digits of a Content-Length.
const maxLengthDigits = 15

var headEnd = []byte("\r\n\r\n")

// head describes the end of a request, as determined from its head.
type head struct {
	// length is the length of the head, including the empty line.
	length int
	// bodyLength is the length of the body.
	bodyLength int64
	// headOnly is set if the request has no body, exactly one plain Host header, and no Connection
	// or Expect header, so that it can be run without net/http.
	headOnly bool
	// ambiguous is set if the end of the request can't be determined with certainty from its head.
	ambiguous bool
}

// parseHead parses the head at the start of data. It returns false if data ends within the head. A
// head that is not in the plainest form is ambiguous: if two parsers may see different ends of a
// request, only one of them may read the connection.
func parseHead(data []byte) (head, bool) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return head{ambiguous: true}, len(data) >= maxHead
	}
	h := head{length: end + len(headEnd), headOnly: true}
	first, rest, _ := bytes.Cut(data[:end], headEnd[:2])
	if !isPlainRequestLine(first) {
		return head{ambiguous: true}, true
	}
	lengths, hosts := 0, 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, headEnd[:2])
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) || bytes.ContainsFunc(value, isControl) {
			return head{ambiguous: true}, true
		}
		value = bytes.Trim(value, " \t")
		switch {
		case equalName(name, "Content-Length"):
			length, ok := parseLength(value)
			if lengths++; !ok || lengths > 1 {
				return head{ambiguous: true}, true
			}
			h.bodyLength, h.headOnly = length, h.headOnly && length == 0
		case equalName(name, "Transfer-Encoding"), equalName(name, "Upgrade"):
			return head{ambiguous: true}, true
		case equalName(name, "Connection"), equalName(name, "Expect"):
			h.headOnly = false
		case equalName(name, "Host"):
			hosts++
			h.headOnly = h.headOnly && isPlainHost(value)
		}
	}
	h.headOnly = h.headOnly && hosts == 1
	return h, true
}

// isPlainHost reports whether a host contains only characters that every server accepts.
func isPlainHost(value []byte) bool {
	for _, char := range value {
		switch {
		case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		case bytes.IndexByte([]byte("-._:[]"), char) >= 0:
		default:
			return false
		}
	}
	return len(value) > 0
}

// isControl reports whether char is a control character that is invalid in a header value.
func isControl(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }

// isPlainRequestLine reports whether a line consists of a method, a target and HTTP/1.1, separated
// by single spaces.
func isPlainRequestLine(line []byte) bool {
	parts := bytes.Split(line, []byte(" "))
	return len(parts) == 3 && isToken(parts[0]) && len(parts[1]) > 0 && string(parts[2]) == "HTTP/1.1" &&
		!bytes.ContainsFunc(line, isControl)
}

func equalName(name []byte, header string) bool { return bytes.EqualFold(name, []byte(header)) }

func parseLength(value []byte) (int64, bool) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, false
	}
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return 0, false
		}
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	return length, err == nil
}

// isToken reports whether a word is a valid name of a method or header.
func isToken(word []byte) bool {
	for _, char := range word {
		switch {
		case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), char) >= 0:
		default:
			return false
		}
	}
	return len(word) > 0
}

// requestTracker finds the end of one request in the data of a connection. The zero value expects
// the first byte of the request.
type requestTracker struct {
	// partialHead contains the received part of an incomplete head.
	partialHead []byte
	// headComplete is set once the head is complete; then bodyLeft is the number of bytes still
	// missing from the body.
	headComplete bool
	bodyLeft     int64
	// unbounded is set if all further data of the connection is treated as part of the request,
	// since its end is ambiguous.
	unbounded bool
}

// consume returns how many bytes of data belong to the request.
func (t *requestTracker) consume(data []byte) int {
	if t.unbounded {
		return len(data)
	}
	count := 0
	if !t.headComplete {
		count = t.consumeHead(data)
		if !t.headComplete || t.unbounded {
			return len(data)
		}
	}
	body := int(min(t.bodyLeft, int64(len(data)-count)))
	t.bodyLeft -= int64(body)
	return count + body
}

// consumeHead looks for the end of the head in the data received so far, and returns how many bytes
// of data belong to the head.
func (t *requestTracker) consumeHead(data []byte) int {
	before := len(t.partialHead)
	if before > 0 {
		t.partialHead = append(t.partialHead, data...)
		data = t.partialHead
	}
	parsed, complete := parseHead(data)
	if !complete {
		if before == 0 {
			t.partialHead = append(t.partialHead, data...)
		}
		return len(data) - before
	}
	t.partialHead, t.headComplete, t.bodyLeft, t.unbounded = nil, true, parsed.bodyLength, parsed.ambiguous
	return parsed.length - before
}

// complete reports whether all of the request was received.
func (t *requestTracker) complete() bool { return t.headComplete && !t.unbounded && t.bodyLeft == 0 }
