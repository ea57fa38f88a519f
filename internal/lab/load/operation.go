package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/wire"
)

// operation is what one caller wants done, over as many requests as it takes.
type operation struct {
	number  uint64
	target  *target
	key     string
	gateway int
	// scheduled is when the caller wanted to begin; a late start counts as
	// latency of the answer.
	scheduled time.Time
	pull      Pull
}

// attempt is one request of an operation.
type attempt struct {
	operation  operation
	number     int
	gateway    string
	sent       time.Time
	answered   time.Time
	call       history.Call
	retryAfter time.Duration
	// unreached says that nothing listens at the gateway's address.
	unreached bool
}

// run makes requests until one succeeds, none may, or patience is at its end.
func (c *callers) run(ctx context.Context, operation operation) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for number := 0; ; number++ {
		attempt := c.try(ctx, operation, number)
		c.report.attempted(attempt)
		if attempt.succeeded() {
			c.report.finished(operation, attempt, true)
			return
		}
		if attempt.final() || !clock.Sleep(ctx, c.pause(attempt)) {
			c.report.finished(operation, attempt, false)
			return
		}
	}
}

// try makes one request at a gateway; each next try goes to another gateway.
func (c *callers) try(ctx context.Context, operation operation, number int) attempt {
	made := attempt{
		operation: operation,
		number:    number,
		gateway:   c.config.Gateways[(operation.gateway+number)%len(c.config.Gateways)],
		sent:      time.Now(),
		call: history.Call{
			Nonce:      c.nonce(operation, number),
			Service:    operation.target.name,
			Key:        operation.key,
			Repeatable: operation.target.service.Repeatable,
			Sent:       history.Now(),
		},
	}
	if !made.call.Repeatable {
		made.call.IdempotencyKey = fmt.Sprintf("booking-%d-%d", c.config.Seed, operation.number)
	}
	// Patience ends an operation between requests, never a request in flight.
	c.send(context.WithoutCancel(ctx), &made)
	made.answered = time.Now()
	if !made.unreached {
		call := made.call
		c.config.Recorder.Record(history.Line{Call: &call})
	}
	return made
}

// pullNonce begins the nonces of slow pulls.
const pullNonce = "pull-"

func (c *callers) nonce(operation operation, number int) history.Nonce {
	name := fmt.Sprintf("%d-%d-%d", c.config.Seed, operation.number, number)
	if operation.pull.Bytes > 0 {
		name = pullNonce + name
	}
	return history.Nonce(name)
}

func (c *callers) send(ctx context.Context, made *attempt) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+made.operation.pull.Stream)
	defer cancel()
	response, err := c.client.Do(made.request(ctx))
	if err != nil {
		made.unreached = errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer response.Body.Close()
	made.take(response)
}

func (a *attempt) request(ctx context.Context) *http.Request {
	request := a.operation.target.request(a.operation.key).WithContext(ctx)
	request.URL.Host = a.gateway
	request.Header.Set(history.HeaderNonce, string(a.call.Nonce))
	if a.call.IdempotencyKey != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, a.call.IdempotencyKey)
	}
	a.operation.pull.apply(request)
	return request
}

// take reads the answer to its end.
func (a *attempt) take(response *http.Response) {
	a.call.Status = response.StatusCode
	a.call.Outcome = wire.Outcome(response.Header.Get(wire.HeaderOutcome))
	a.call.Reason = wire.Reason(response.Header.Get(wire.HeaderReason))
	a.retryAfter = retryAfter(response.Header)
	if response.StatusCode != http.StatusOK {
		a.call.Answered = history.Now()
		return
	}
	body, err := history.ReadBody(response.Body)
	a.call.Body = body
	a.call.Whole = err == nil
	a.call.Answered = history.Now()
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

func (a *attempt) succeeded() bool {
	return succeeded(a.call)
}

func succeeded(call history.Call) bool {
	return call.Status == http.StatusOK && call.Whole
}

// final reports whether the answer says that asking again cannot help.
func (a *attempt) final() bool {
	switch a.call.Status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// pause is how long the caller waits before it asks again. A caller that gets
// no connection takes the next gateway at once, until it has tried them all.
func (c *callers) pause(last attempt) time.Duration {
	switch {
	case last.unreached && last.number+1 < len(c.config.Gateways):
		return 0
	case last.call.Repeatable:
		return lookupRetry
	case last.call.Status == 0:
		return defaultRetryAfter
	default:
		return last.retryAfter
	}
}
