package ledgernode

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/wire"
)

// twoGateways is a table of two gateways.
type twoGateways struct{}

func (twoGateways) Version() wire.TableVersion { return wire.TableVersion{Generation: 1, Index: 1} }
func (twoGateways) Changed() <-chan struct{}   { return nil }
func (twoGateways) Gateways() []wire.TableServer {
	return []wire.TableServer{{Name: "system/ledger/g1"}, {Name: "system/ledger/g2", Address: "g2:81"}}
}

func (twoGateways) Owner(keyspace.Hash) (wire.TableEntry, wire.TableServer, bool) {
	return wire.TableEntry{}, wire.TableServer{}, false
}

// copies answers each request for a copy as the function says.
type copies func(ctx context.Context) (accepted bool)

func (c copies) RoundTrip(request *http.Request) (*http.Response, error) {
	accepted := c(request.Context())
	if request.Context().Err() != nil {
		return nil, request.Context().Err()
	}
	body, err := json.Marshal(ledger.CopyResponse{Holder: ledger.Holder{Name: "system/ledger/g2"}, Accepted: accepted})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}, err
}

// owning returns a node that owns the whole ledger, and its grant.
func owning(t *testing.T, answer copies) (*Node, ledger.Grant) {
	node := New(Config{Cell: "casa", Self: "system/ledger/g1"}, Dependencies{
		Clock: clock.NewVirtual(), Client: &http.Client{Transport: answer}, Directory: twoGateways{}, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	slice := keyspace.Slice{Service: ledger.Service, Partition: ledger.Partition, Range: keyspace.FullRange()}
	held := wire.SliceFence{Slice: slice, Fence: wire.NewFence(1, 1)}
	known := &tenure{slice: slice, fence: held.Fence, cancel: func() {}, complete: true, collected: make(chan struct{})}
	close(known.collected)
	node.tenures[held] = known
	grants := []wire.SliceGrant{{Slice: slice, Fence: held.Fence, Bundle: 1, State: wire.SliceServing}}
	answered := node.renew(t.Context(), wire.RenewRequest{
		Cell: "casa", Server: node.self.Incarnation, Generation: 1, Term: 1, Set: 1, Duration: time.Hour, Slices: &grants,
	})
	assert.Equal(t, answered.Refused, wire.RenewRefusal(""))
	return node, ledger.Grant{Slice: slice, Fence: held.Fence, Bundle: 1}
}

// A gateway that gave up waiting for the owner asks again. What becomes of the
// question that it gave up must not take the record from the one that may run.
func TestQuestionThatWasGivenUpTakesNoRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		node, grant := owning(t, func(ctx context.Context) bool {
			asked++
			if asked == 1 {
				<-ctx.Done()
			}
			return true
		})
		request := ledger.BeginRequest{Cell: "casa", Grant: grant, Key: ledger.Key{Service: "t/s", Value: "k"}, Attempt: "a", RunsFor: time.Minute}
		first, giveUp := context.WithCancel(t.Context())
		ended := make(chan ledger.BeginResponse)
		go func() { ended <- node.begin(first, request) }()
		synctest.Wait()
		assert.Equal(t, node.begin(t.Context(), request).Verdict, ledger.VerdictProceed)
		giveUp()
		assert.Equal(t, (<-ended).Verdict, ledger.VerdictFull)
		request.Attempt = "b"
		assert.Equal(t, node.begin(t.Context(), request).Verdict, ledger.VerdictInProgress)
	})
}

// A request that never left frees its key.
func TestRecordWithoutACopyIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := false
		node, grant := owning(t, func(context.Context) bool { return held })
		request := ledger.BeginRequest{Cell: "casa", Grant: grant, Key: ledger.Key{Service: "t/s", Value: "k"}, Attempt: "a", RunsFor: time.Minute}
		assert.Equal(t, node.begin(t.Context(), request).Verdict, ledger.VerdictFull)
		held = true
		request.Attempt = "b"
		assert.Equal(t, node.begin(t.Context(), request).Verdict, ledger.VerdictProceed)
	})
}
