package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

// outgoing makes the request for one try. Its id is the try's own, so that a
// late answer to an earlier try never passes for the answer to this one.
func (g *Gateway) outgoing(ctx context.Context, c *call, to target, id wire.RequestID) *http.Request {
	sent := &http.Request{
		Method:        c.request.Method,
		URL:           targetURL(c.request.URL, to.server.Address),
		Host:          c.request.Host,
		Header:        c.request.Header.Clone(),
		ContentLength: c.body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	sent.Body = c.outgoingBody()
	stripHopByHop(sent.Header)
	g.setHeaders(sent.Header, c, to, id)
	return sent.WithContext(ctx)
}

func targetURL(from *url.URL, address string) *url.URL {
	to := *from
	to.Scheme = "http"
	to.Host = address
	to.User = nil
	return &to
}

func (g *Gateway) setHeaders(header http.Header, c *call, to target, id wire.RequestID) {
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http would add its own
	}
	header.Set(peerauth.Header, g.settings.Token)
	header.Set(wire.HeaderCell, string(g.settings.Cell))
	header.Set(wire.HeaderService, string(c.route.name))
	header.Set(wire.HeaderSlice, to.entry.Slice.String())
	header.Set(wire.HeaderFence, to.entry.Fence.String())
	header.Set(wire.HeaderBundle, formatVersion(to.entry.Bundle))
	header.Set(wire.HeaderRequestID, string(id))
	if to.left > 0 {
		header.Set(wire.HeaderDeadline, formatMilliseconds(to.left))
	}
	if c.key != "" {
		header.Set(wire.HeaderKey, c.key)
	}
}

func formatVersion(version bundle.Version) string {
	return strconv.FormatUint(uint64(version), 10)
}

// formatMilliseconds rounds down, so that a server never has longer than the
// caller, but never to zero, which would mean no deadline.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

// outgoingBody returns the body of one try. Without one, net/http sends a
// request again on its own where method or headers call it idempotent, so such
// a request that must not be repeated gets an empty body that cannot be rewound.
func (c *call) outgoingBody() io.ReadCloser {
	if c.body.empty() && (c.repeatable() || !looksIdempotent(c.request)) {
		return nil
	}
	return onceBody{c.body.open()}
}

// looksIdempotent mirrors net/http's rule for requests that it replays.
func looksIdempotent(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return true
	}
	header := request.Header
	return header.Get("Idempotency-Key") != "" || header.Get("X-Idempotency-Key") != "" ||
		header["Idempotency-Key"] != nil || header["X-Idempotency-Key"] != nil
}
