package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/wire"
)

// maxRenewalBytes bounds a server's answer to a renewal.
const maxRenewalBytes = 4 << 20

// sendRenewal sends a renewal by a goroutine of its own and tells the book what
// came of it. Its time is bounded by the renewal period: an older answer would
// only extend a grant that a younger one extends further.
func (r *replica) sendRenewal(term *leadership, renewal grant.Renewal) {
	r.metrics.RenewalsSent.Inc()
	r.background(func(ctx context.Context) {
		answer, err := r.renewServer(ctx, renewal)
		r.postToTerm(ctx, term, func(r *replica) { r.renewed(renewal, answer, err) })
	})
}

func (r *replica) renewed(renewal grant.Renewal, answer wire.RenewResponse, err error) {
	now := r.clock.Now()
	if err != nil {
		r.metrics.RenewalsFailed.Inc()
		r.leadership.book.Failed(now, renewal.Server)
		return
	}
	r.leadership.book.Answered(now, renewal.Server, answer)
}

func (c *Controller) renewServer(ctx context.Context, renewal grant.Renewal) (wire.RenewResponse, error) {
	var answer wire.RenewResponse
	err := c.postJSON(ctx, jsonCall{
		url:      "http://" + renewal.Address + wire.PathRenew,
		body:     renewal.Request,
		answer:   &answer,
		limit:    maxRenewalBytes,
		deadline: c.times.renew,
	})
	return answer, err
}

// jsonCall is one request of JSON to another process, answered with JSON.
type jsonCall struct {
	url      string
	body     any
	answer   any
	limit    int64
	deadline time.Duration
	header   http.Header
}

// postJSON sends the call and decodes an answer of status 200.
func (c *Controller) postJSON(ctx context.Context, call jsonCall) error {
	ctx, cancel := context.WithTimeout(ctx, call.deadline)
	defer cancel()
	encoded, err := json.Marshal(call.body)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.url, bytes.NewReader(encoded))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("User-Agent", "")
	for name, values := range call.header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Error.New("%s answered %s", call.url, response.Status)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(response.Body, call.limit)).Decode(call.answer))
}
