package pipeline

import (
	"bytes"
	"strconv"
)

// mostHead is how much of a request's head is looked through for its end, in bytes.
const mostHead = 64 << 10

// longestLength is how many digits the length of a body may have.
const longestLength = 15

var headEnd = []byte("\r\n\r\n")

// head is what the head of a request says about where the request ends.
type head struct {
	// length of the head, with the empty line.
	length int
	// body is the length of the body.
	body int64
	// bare says that nothing follows the head, and that the connection stays open.
	bare bool
	// unclear says that the end can't be told from the head alone, or not without doubt.
	unclear bool
}

// scan reads the head that some bytes begin with; false if they end within it. What is not written
// as plainly as can be is unclear: where two readers may see different ends, one of them must read
// the connection alone.
func scan(data []byte) (head, bool) {
	end := bytes.Index(data, headEnd)
	if end < 0 {
		return head{unclear: true}, len(data) >= mostHead
	}
	h := head{length: end + len(headEnd), bare: true}
	first, rest, _ := bytes.Cut(data[:end], headEnd[:2])
	if !plainRequest(first) {
		return head{unclear: true}, true
	}
	lengths, hosts := 0, 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, headEnd[:2])
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !token(name) || bytes.ContainsFunc(value, control) {
			return head{unclear: true}, true
		}
		value = bytes.Trim(value, " \t")
		switch {
		case is(name, "Content-Length"):
			length, ok := readLength(value)
			if lengths++; !ok || lengths > 1 {
				return head{unclear: true}, true
			}
			h.body, h.bare = length, h.bare && length == 0
		case is(name, "Transfer-Encoding"), is(name, "Upgrade"):
			return head{unclear: true}, true
		case is(name, "Connection"), is(name, "Expect"):
			h.bare = false
		case is(name, "Host"):
			hosts++
			h.bare = h.bare && plainHost(value)
		}
	}
	h.bare = h.bare && hosts == 1
	return h, true
}

// plainHost reports whether a host has only characters that any server takes.
func plainHost(value []byte) bool {
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

// control reports whether a character may not stand in the value of a header.
func control(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }

// plainRequest reports whether a line is a method, a target and HTTP/1.1, with one space between.
func plainRequest(line []byte) bool {
	parts := bytes.Split(line, []byte(" "))
	return len(parts) == 3 && token(parts[0]) && len(parts[1]) > 0 && string(parts[2]) == "HTTP/1.1" &&
		!bytes.ContainsFunc(line, control)
}

func is(name []byte, header string) bool { return bytes.EqualFold(name, []byte(header)) }

func readLength(value []byte) (int64, bool) {
	if len(value) == 0 || len(value) > longestLength {
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

// token reports whether a word may name a method or a header.
func token(word []byte) bool {
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

// extent follows one request through the bytes of a connection. The zero value is before its first.
type extent struct {
	// seen are the bytes of a head that is not whole yet.
	seen []byte
	// known says that the head is whole, and left is what is still to come of the body.
	known bool
	left  int64
	// endless says that all bytes of the connection are taken to be the request's.
	endless bool
}

// take returns how many of the next bytes belong to the request.
func (e *extent) take(data []byte) int {
	if e.endless {
		return len(data)
	}
	taken := 0
	if !e.known {
		taken = e.takeHead(data)
		if !e.known || e.endless {
			return len(data)
		}
	}
	body := int(min(e.left, int64(len(data)-taken)))
	e.left -= int64(body)
	return taken + body
}

// takeHead looks for the end of the head in what came before and the next bytes, of which it returns
// how many belong to it.
func (e *extent) takeHead(data []byte) int {
	before := len(e.seen)
	if before > 0 {
		e.seen = append(e.seen, data...)
		data = e.seen
	}
	read, whole := scan(data)
	if !whole {
		if before == 0 {
			e.seen = append(e.seen, data...)
		}
		return len(data) - before
	}
	e.seen, e.known, e.left, e.endless = nil, true, read.body, read.unclear
	return read.length - before
}

// over reports whether all of the request has come.
func (e *extent) over() bool { return e.known && !e.endless && e.left == 0 }
