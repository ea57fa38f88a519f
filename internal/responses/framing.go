package responses

import (
	"bytes"
	"errors"
	"net/http"
)

// ErrFraming is returned for a head that leaves open where its message ends.
var ErrFraming = errors.New("ambiguous length of the body")

// Names of the fields that frame a body.
var (
	transferEncoding = []byte("Transfer-Encoding")
	contentLength    = []byte("Content-Length")
)

// CheckFraming returns an error if a head names a length that HTTP does not allow in it, so that other readers may
// see another end of its message. raw begins with the head as it was received: net/http removes such fields.
// That matters only where the end decides what a caller gets: the body of a reply to an order is not used, and
// the store's is valid JSON only as a whole.
func CheckFraming(r *http.Response, raw []byte) error {
	encoded, length := framingFields(raw)
	switch {
	case encoded && (length || !r.ProtoAtLeast(1, 1)), (encoded || length) && IsInterim(r):
		return ErrFraming
	}
	return nil
}

// framingFields reports which fields of a head frame its body.
func framingFields(raw []byte) (encoded, length bool) {
	_, raw, _ = bytes.Cut(raw, []byte("\n"))
	for {
		line, rest, found := bytes.Cut(raw, []byte("\n"))
		if !found || len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return encoded, length
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		encoded = encoded || bytes.EqualFold(name, transferEncoding)
		length = length || bytes.EqualFold(name, contentLength)
		raw = rest
	}
}
