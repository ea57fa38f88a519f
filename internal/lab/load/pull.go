package load

import (
	"net/http"
	"strconv"
	"time"
)

// Query parameters that a worker of package lab/worker understands.
const (
	queryBytes  = "bytes"
	queryStream = "stream"
)

// Pull is a pull of a long body that the server sends slowly.
type Pull struct {
	// Bytes is the length of the body; zero means that it is no pull.
	Bytes int64
	// Stream is the time over which the server sends the body.
	Stream time.Duration
}

// apply asks the worker for the body of the pull.
func (p Pull) apply(request *http.Request) {
	if p.Bytes == 0 {
		return
	}
	query := request.URL.Query()
	query.Set(queryBytes, strconv.FormatInt(p.Bytes, 10))
	query.Set(queryStream, p.Stream.String())
	request.URL.RawQuery = query.Encode()
}
