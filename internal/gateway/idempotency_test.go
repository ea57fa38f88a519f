package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/memnet"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/settings"
	"github.com/shalefork/shalefork/internal/wire"
)

// ledgerCell is a cell of several gateways whose ledger is one slice.
type ledgerCell struct {
	*cell
	index uint64
	ran   atomic.Int64
	// serve answers booking number n.
	serve func(writer http.ResponseWriter, request *http.Request, n int64)
}

var ledgerSlice = keyspace.Slice{Service: ledger.Service, Partition: ledger.Partition, Range: keyspace.FullRange()}

// inLedgerCell starts the gateways and makes the first one the owner.
func inLedgerCell(t *testing.T, gateways []string, run func(c *ledgerCell), change ...func(*settings.Gateway)) {
	t.Helper()
	inCell(t, func(plain *cell) {
		c := &ledgerCell{cell: plain}
		c.serve = func(writer http.ResponseWriter, _ *http.Request, _ int64) { _, _ = writer.Write([]byte("booked")) }
		c.cell.serve("w1:1", echo(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != pathHealth {
				c.serve(writer, request, c.ran.Add(1))
			}
		}))
		for _, name := range gateways {
			c.gateway(name, change...)
		}
		c.own(gateways[0], gateways...)
		run(c)
	})
}

// own publishes a table with the gateways and gives the ledger to one of them.
func (c *ledgerCell) own(owner string, gateways ...string) {
	c.index++
	update := tableOf(c.index, []bundle.Service{keyedService("book", false)}, "w1")
	for i, name := range gateways {
		update.Servers = append(update.Servers, wire.TableServer{
			Name: gatewayName(name), Address: name + ":81", Zone: bundle.Zone([]string{"z1", "z2", "z3"}[i]),
		})
	}
	fence := wire.NewFence(1, c.index)
	update.Assignments = append(update.Assignments, wire.TableEntry{
		Slice: ledgerSlice, Server: gatewayName(owner), Fence: fence, Bundle: 1, State: wire.SliceServing,
	})
	c.renew(owner, fence)
	c.controller.publish(update)
	time.Sleep(time.Second) // the takeover ends, or stays incomplete
	synctest.Wait()
}

func gatewayName(name string) bundle.ServerName {
	return bundle.ServerName(ledger.ServerPrefix + name + ":81")
}

// renew grants the ledger's slice as a leader does.
func (c *ledgerCell) renew(owner string, fence wire.Fence) {
	request := wire.RenewRequest{Cell: testCell, Leader: "leader", Generation: 1, Term: 1}
	first := c.postRenewal(owner, request)
	request.Server, request.Reading, request.Duration, request.Set = first.Server, first.Reading, time.Hour, c.index
	request.Slices = &[]wire.SliceGrant{{Slice: ledgerSlice, Fence: fence, Bundle: 1, State: wire.SliceServing}}
	assert.Equal(c.t, c.postRenewal(owner, request).Refused, wire.RenewRefusal(""))
}

func (c *ledgerCell) postRenewal(owner string, message wire.RenewRequest) wire.RenewResponse {
	encoded, err := json.Marshal(message)
	assert.NilError(c.t, err)
	request, err := http.NewRequest("POST", "http://"+owner+":81"+wire.PathRenew, bytes.NewReader(encoded))
	assert.NilError(c.t, err)
	request.Header.Set(peerauth.Header, testToken)
	response, err := c.client.Do(request)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	var decoded wire.RenewResponse
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&decoded))
	return decoded
}

// book asks a gateway for a booking under a key.
func (c *ledgerCell) book(gateway, key, content string, headers ...string) answer {
	return c.askAt(gateway, "POST", "/book/r7", content, append(headers, wire.HeaderIdempotencyKey, key)...)
}

// lose cuts a gateway off for good.
func (c *ledgerCell) lose(name string) {
	c.network.Lose(memnet.Place(name + ":81"))
	synctest.Wait()
}

func TestRepeatIsAnsweredFromTheLedger(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		for _, gateway := range []string{"g2", "g1", "g3", "g2"} {
			got := c.book(gateway, "k", "two seats")
			assert.Equal(t, got.body, "booked")
		}
		c.book("g3", "k", "four seats").refused(t, 422, wire.OutcomeNotRun, wire.ReasonKeyReused)
		c.book("g3", "k", "two seats", "Authorization", "another").refused(t, 422, wire.OutcomeNotRun, wire.ReasonKeyReused)
		c.book("g3", "", "two seats").refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

func TestRepeatDuringTheFirstRunIsInProgress(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		release := make(chan struct{})
		c.serve = func(writer http.ResponseWriter, _ *http.Request, _ int64) {
			<-release
			_, _ = writer.Write([]byte("booked"))
		}
		first := make(chan answer)
		go func() { first <- c.book("g2", "k", "x") }()
		synctest.Wait()
		got := c.book("g1", "k", "x")
		got.refused(t, 409, wire.OutcomeUnknown, wire.ReasonInProgress)
		assert.Equal(t, got.header.Get("Retry-After"), "1")
		close(release)
		assert.Equal(t, (<-first).body, "booked")
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// After the loss of the owner the second copy answers.
func TestRepeatAfterTheOwnerIsLost(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g2", "k", "x").body, "booked")
		c.lose("g1")
		c.own("g3", "g1", "g2", "g3")
		assert.Equal(t, c.book("g2", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
		assert.Equal(t, c.book("g2", "new", "x").body, "booked")
	})
}

// The owner is lost while the request runs; its end reaches the next owner.
func TestOwnerLostDuringTheRun(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		release := make(chan struct{})
		c.serve = func(writer http.ResponseWriter, _ *http.Request, _ int64) {
			<-release
			_, _ = writer.Write([]byte("booked"))
		}
		first := make(chan answer)
		go func() { first <- c.book("g2", "k", "x") }()
		time.Sleep(time.Millisecond)
		c.lose("g1")
		time.AfterFunc(900*time.Millisecond, func() { close(release) })
		c.own("g3", "g1", "g2", "g3")
		assert.Equal(t, (<-first).body, "booked")
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// A request whose outcome is unknown never runs again under its key.
func TestUnknownOutcomeIsKept(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		c.serve = func(http.ResponseWriter, *http.Request, int64) { panic(http.ErrAbortHandler) }
		for range 3 {
			c.book("g2", "k", "x").refused(t, 502, wire.OutcomeUnknown, wire.ReasonAnswerLost)
		}
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// A request that is proved not to have run may come again under its key.
func TestNotRunFreesTheKey(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		c.serve = func(writer http.ResponseWriter, _ *http.Request, n int64) {
			if n == 1 {
				serverRefusal(writer, wire.ReasonMalformed)
				return
			}
			_, _ = writer.Write([]byte("booked"))
		}
		c.book("g2", "k", "x").refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
	})
}

// With owner and copy lost at once, no unknown key is begun: it may have run.
func TestTwoLostGatewaysStopNewKeys(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		c.lose("g1")
		c.lose("g2")
		c.own("g3", "g1", "g2", "g3")
		for range 2 {
			c.book("g3", "new", "x").refused(t, 503, wire.OutcomeUnknown, wire.ReasonLedgerUnready)
		}
		assert.Equal(t, c.ran.Load(), int64(1))
		c.network.Heal("g2:81")
		time.Sleep(time.Second)
		assert.Equal(t, c.book("g3", "new", "x").body, "booked")
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(2))
	})
}

// Where operators limit the doubt, keys that are not found are served again when
// it is over; known ones have been all the time.
func TestDoubtEndsWhenTheSettingsSaySo(t *testing.T) {
	const doubt = time.Minute
	limit := func(config *settings.Gateway) { config.LedgerDoubt = bundle.Duration(doubt) }
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		c.lose("g1")
		c.lose("g2")
		c.own("g3", "g1", "g2", "g3")
		c.book("g3", "new", "x").refused(t, 503, wire.OutcomeUnknown, wire.ReasonLedgerUnready)
		time.Sleep(doubt)
		c.network.Heal("g2:81") // for the second copy
		c.gateway("g2", limit)
		c.renew("g3", wire.NewFence(1, c.index))
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.book("g3", "new", "x").body, "booked")
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(2))
	}, limit)
}

// A gateway that was started anew answers, but does not vouch for copies that
// its former self may have held.
func TestRestartedGatewayDoesNotVouch(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		c.lose("g1")
		c.lose("g2")
		c.network.Heal("g2:81")
		c.gateway("g2")
		c.own("g3", "g1", "g2", "g3")
		c.book("g3", "new", "x").refused(t, 503, wire.OutcomeUnknown, wire.ReasonLedgerUnready)
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// Once the owner has copied its records again, the gateway that was started
// anew vouches too, and the loss of the owner after it is survived.
func TestCopiesAreMadeAgain(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2", "g3"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
		c.lose("g2")
		time.Sleep(10 * time.Second)
		c.network.Heal("g2:81")
		c.gateway("g2")
		time.Sleep(10 * time.Second)
		c.lose("g1")
		c.own("g3", "g1", "g2", "g3")
		assert.Equal(t, c.book("g3", "k", "x").body, "booked")
		assert.Equal(t, c.book("g3", "new", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(2))
	})
}

func TestFullLedgerRefuses(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g2", "k", "x").body, "booked")
		c.book("g2", "new", "x").refused(t, 503, wire.OutcomeNotRun, wire.ReasonLedgerUnready)
		assert.Equal(t, c.book("g2", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
	}, func(config *settings.Gateway) { config.LedgerEntries = 1 })
}

// Without a second gateway that answers, nothing is sent; a gateway that knows
// of no other goes on alone.
func TestSecondCopyIsNeeded(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		c.lose("g2")
		c.book("g1", "k", "x").refused(t, 503, wire.OutcomeNotRun, wire.ReasonLedgerUnready)
		assert.Equal(t, c.ran.Load(), int64(0))
	})
	inLedgerCell(t, []string{"g1"}, func(c *ledgerCell) {
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
		assert.Equal(t, c.book("g1", "k", "x").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// Keys travel between gateways as JSON, which has no bytes that are not UTF-8:
// two gateways would know the same key by two names, and run it twice.
func TestIdempotencyKeyThatIsNoTextIsRefused(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		for _, gateway := range []string{"g2", "g1"} {
			c.book(gateway, "k\xff", "two seats").refused(t, 400, wire.OutcomeNotRun, wire.ReasonMalformed)
		}
		assert.Equal(t, c.book("g2", "clé-é", "two seats").body, "booked")
		assert.Equal(t, c.book("g1", "clé-é", "two seats").body, "booked")
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}

// An answer is replayed as it was or not at all.
func TestAnswerThatCannotBeKeptIsNotReplayed(t *testing.T) {
	inLedgerCell(t, []string{"g1", "g2"}, func(c *ledgerCell) {
		c.serve = func(writer http.ResponseWriter, _ *http.Request, _ int64) {
			writer.Header().Set("X-Name", "Caf\xe9")
			_, _ = writer.Write([]byte("booked"))
		}
		assert.Equal(t, c.book("g2", "k", "x").header.Get("X-Name"), "Caf\xe9")
		c.book("g2", "k", "x").refused(t, 502, wire.OutcomeUnknown, wire.ReasonAnswerLost)
		assert.Equal(t, c.ran.Load(), int64(1))
	})
}
