package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/ledgernode"
	"github.com/shalefork/shalefork/internal/wire"
)

// maxIdempotencyKey bounds the caller's key.
const maxIdempotencyKey = 256

// maxLedgeredRun bounds how long a request without a deadline counts as running.
const maxLedgeredRun = 5 * time.Minute

// digestHeaders are part of what makes two requests the same: who asks, and in
// what form. Another caller who uses the same key never gets this one's answer.
var digestHeaders = []string{"Authorization", "Cookie", "Content-Type"}

// idempotencyKey returns the caller's key for a request that must not be
// repeated; empty if the request needs no record. A key has to be UTF-8: gateways
// send it to each other as JSON, which would change other bytes, so that one key
// would have two records.
func (c *call) idempotencyKey() (string, *refusal) {
	values := c.request.Header.Values(wire.HeaderIdempotencyKey)
	if c.repeatable() || len(values) == 0 {
		return "", nil
	}
	key, ok := only(values)
	if !ok || key == "" || len(key) > maxIdempotencyKey || !utf8.ValidString(key) {
		return "", notRun(wire.ReasonMalformed)
	}
	return key, nil
}

// answerOnce runs a call that carries an Idempotency-Key: at most one request
// with the key ever leaves, and its end is recorded before the caller hears it.
func (g *Gateway) answerOnce(writer http.ResponseWriter, c *call, key string) {
	ctx, cancel := c.withDeadline(c.request.Context())
	defer cancel()
	named := ledger.Key{Service: c.route.name, Value: key}
	begun := g.begin(ctx, c, named)
	if refused := refusalOf(begun); refused != nil {
		g.refuse(writer, c.id, refused)
		return
	}
	if begun.Verdict == ledger.VerdictReplay {
		g.replay(writer, c, begun.Answer)
		return
	}
	g.runOnce(ctx, writer, c, named, begun.Stamp, cancel)
}

// begin asks the ledger. The wait for it leaves the deadline as it is: the
// exchange that follows checks again before it sends.
func (g *Gateway) begin(ctx context.Context, c *call, key ledger.Key) ledger.BeginResponse {
	holding, stopHolding := holdContext(ctx, c)
	defer stopHolding()
	runsFor := c.limit
	if runsFor == 0 {
		runsFor = maxLedgeredRun
	}
	return g.ledger.Begin(holding, ledger.Question{
		Key:     key,
		Digest:  c.digest(),
		Attempt: c.id,
		RunsFor: runsFor,
	})
}

// refusalOf returns the refusal that the ledger's verdict calls for; nil if the
// request may go out or has an answer.
func refusalOf(begun ledger.BeginResponse) *refusal {
	if begun.Refused != "" {
		return unknown(http.StatusServiceUnavailable, wire.ReasonLedgerUnready)
	}
	switch begun.Verdict {
	case ledger.VerdictProceed, ledger.VerdictReplay:
		return nil
	case ledger.VerdictKeyReused:
		return notRun(wire.ReasonKeyReused)
	case ledger.VerdictInProgress:
		return unknown(http.StatusConflict, wire.ReasonInProgress)
	case ledger.VerdictFull:
		return notRun(wire.ReasonLedgerUnready)
	default:
		return unknown(http.StatusBadGateway, wire.ReasonAnswerLost)
	}
}

// runOnce sends the request, records its end, and only then answers.
func (g *Gateway) runOnce(ctx context.Context, writer http.ResponseWriter, c *call, key ledger.Key, stamp ledger.Stamp, cancel context.CancelFunc) {
	got, refused := g.exchange(ctx, c)
	if refused != nil {
		end := ledgernode.End{NotRun: refused.outcome == wire.OutcomeNotRun}
		g.ledger.Finish(ctx, key, stamp, end)
		g.refuse(writer, c.id, refused)
		return
	}
	kept, whole, err := keepAnswer(got.response)
	if err != nil {
		got.finish()
		g.ledger.Finish(ctx, key, stamp, ledgernode.End{})
		g.refuse(writer, c.id, unknown(http.StatusBadGateway, wire.ReasonAnswerLost))
		return
	}
	end := ledgernode.End{}
	if whole {
		end.Answer = kept
	}
	g.ledger.Finish(ctx, key, stamp, end)
	g.observe(c, got)
	g.passOn(writer, c, got, cancel)
}

// keepAnswer reads the answer as far as it can be kept, and leaves the response
// readable from its start. whole says that all of it was read and that the
// record can hold it unchanged.
func keepAnswer(response *http.Response) (kept *ledger.Answer, whole bool, err error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, ledger.MaxAnswerBytes+1))
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	header := response.Header.Clone()
	stripHopByHop(header)
	stripSystem(header)
	kept = &ledger.Answer{Status: response.StatusCode, Header: header, Body: body}
	response.Body = prefixed{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
	return kept, len(body) <= ledger.MaxAnswerBytes && isText(header), nil
}

// isText reports whether the header goes through JSON unchanged.
func isText(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return false
			}
		}
	}
	return true
}

// prefixed is a body of which a part was read ahead.
type prefixed struct {
	io.Reader
	io.Closer
}

// replay answers with the kept answer.
func (g *Gateway) replay(writer http.ResponseWriter, c *call, kept *ledger.Answer) {
	header := writer.Header()
	for name, values := range kept.Header {
		header[name] = values
	}
	header.Set(wire.HeaderRequestID, string(c.id))
	g.closeAfter(writer)
	writer.WriteHeader(kept.Status)
	_, _ = writer.Write(kept.Body)
}

// digest is a hash of all that makes the request what it is, save the host: a
// repeat may come to another gateway by its address. Each part goes in
// with its length, so that no two requests run together.
func (c *call) digest() ledger.Digest {
	sum := sha256.New()
	addPart(sum, c.request.Method)
	addPart(sum, c.request.URL.RequestURI())
	for _, name := range digestHeaders {
		values := c.request.Header.Values(name)
		addPart(sum, strconv.Itoa(len(values)))
		for _, value := range values {
			addPart(sum, value)
		}
	}
	_, _ = sum.Write(c.body.head)
	return ledger.Digest(hex.EncodeToString(sum.Sum(nil)))
}

func addPart(sum hash.Hash, part string) {
	_, _ = io.WriteString(sum, strconv.Itoa(len(part))+":"+part)
}
