package controller

import (
	"context"

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
