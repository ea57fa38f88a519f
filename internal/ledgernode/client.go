package ledgernode

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// askPause lies between two tries to reach an owner.
	askPause = 20 * time.Millisecond
	// beginTimeout bounds one try to reach an owner.
	beginTimeout = time.Second
	// finishTimeout bounds the recording of an end, before the caller is
	// answered.
	finishTimeout = time.Second
)

// Begin asks the owner of the key whether the request may be sent. It waits for
// an owner until ctx ends; then the response is refused with ReasonLedgerUnready.
func (n *Node) Begin(ctx context.Context, asked ledger.Question) ledger.BeginResponse {
	request := ledger.BeginRequest{
		Cell: n.config.Cell, Key: asked.Key, Digest: asked.Digest,
		Attempt: asked.Attempt, RunsFor: asked.RunsFor,
	}
	for {
		changed := n.directory.Changed()
		response, ok := n.tryBegin(ctx, request)
		if ok {
			return response
		}
		if !waitFor(ctx, changed, askPause) {
			return ledger.BeginResponse{Refused: wire.ReasonLedgerUnready}
		}
	}
}

// tryBegin asks the owner that the table names. It returns false if there is
// none, or if it could not be reached or owns the slice no more.
func (n *Node) tryBegin(ctx context.Context, request ledger.BeginRequest) (ledger.BeginResponse, bool) {
	entry, server, ok := n.directory.Owner(request.Key.Hash())
	if !ok || entry.State != wire.SliceServing {
		return ledger.BeginResponse{}, false
	}
	request.Grant = grantOf(entry)
	limited, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	response, err := n.callBegin(limited, server, request)
	if err != nil {
		return ledger.BeginResponse{}, false
	}
	return response, response.Refused == "" || response.Refused == wire.ReasonLedgerUnready
}

func (n *Node) callBegin(ctx context.Context, server wire.TableServer, request ledger.BeginRequest) (ledger.BeginResponse, error) {
	if server.Name == n.config.Self {
		return n.begin(ctx, request), nil
	}
	return post[ledger.BeginResponse](ctx, n.client, server.Address, ledger.PathBegin, request)
}

// End is how a request ended.
type End struct {
	// Answer to keep; nil if there is none, or it is too long to keep.
	Answer *ledger.Answer
	// NotRun says that it is proved that no server ran the request.
	NotRun bool
}

// Finish records how a request ended, within a bounded time. It returns false
// if that could not be done; the record then ends as unknown by itself.
func (n *Node) Finish(ctx context.Context, key ledger.Key, stamp ledger.Stamp, end End) bool {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	request := ledger.FinishRequest{
		Cell: n.config.Cell, Key: key, Stamp: stamp, Answer: end.Answer, NotRun: end.NotRun,
	}
	done := false
	for !done {
		changed := n.directory.Changed()
		done = n.tryFinish(limited, request)
		if !done && !waitFor(limited, changed, askPause) {
			break
		}
	}
	n.metrics.Finishes.WithLabelValues(resultOf(done)).Inc()
	return done
}

func (n *Node) tryFinish(ctx context.Context, request ledger.FinishRequest) bool {
	entry, server, ok := n.directory.Owner(request.Key.Hash())
	if !ok || entry.State != wire.SliceServing {
		return false
	}
	request.Grant = grantOf(entry)
	if server.Name == n.config.Self {
		return n.finish(ctx, request).Refused == ""
	}
	response, err := post[ledger.FinishResponse](ctx, n.client, server.Address, ledger.PathFinish, request)
	return err == nil && response.Refused == ""
}

// waitFor waits for the change or d, and returns false once ctx has ended.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
