package scale

import (
	"bytes"
	"fmt"
	"runtime"
	"time"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/ledger"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// Size is what one process keeps of one thing.
type Size struct {
	Thing string `json:"thing"`
	// Encoded bytes as JSON, zero where it is never encoded.
	Encoded int `json:"encoded_bytes"`
	// Heap bytes of one copy.
	Heap float64 `json:"heap_bytes"`
}

// copies are made of each thing, so that the heap's growth can be measured.
const copies = 200

// SizeSet is what the processes of a cell of one shape keep.
type SizeSet struct {
	Shape Shape  `json:"shape"`
	Sizes []Size `json:"sizes"`
}

// manySlices is a cell with more slices, for the slope.
const manySlices = 896

// measureSizes measures two cells that differ in their slices. Nothing else may
// run meanwhile.
func measureSizes(overhead Overhead, seed uint64) ([]SizeSet, error) {
	var sets []SizeSet
	for _, count := range []int{defaultShape().Slices, manySlices} {
		shape := defaultShape()
		shape.Slices = count
		c, err := newRunningCell(shape, overhead, 0, seed)
		if err != nil {
			return nil, err
		}
		sets = append(sets, SizeSet{Shape: shape, Sizes: c.sizes()})
	}
	return sets, nil
}

func (c *cell) sizes() []Size {
	state := encode(c.state())
	snapshot := encode(c.source.streams.latest.Snapshot())
	busiest := c.busiest()
	return []Size{
		{"cell's state (replica)", len(state), heapOf(func(int) any { return decode[cellstate.State](state) })},
		{"lease book (leader)", 0, heapOf(func(int) any { return c.copyBook() })},
		{"log between compactions (replica)", c.logBytes(), 0},
		{"table (gateway)", len(snapshot), heapOf(func(int) any { return tableOf(c, snapshot) })},
		{"table (standby)", len(snapshot), heapOf(func(int) any { return followerOf(snapshot) })},
		{"grant set (keyed server)", len(encode(busiest.grants)), heapOf(func(int) any { return busiest.copyHolder() })},
		{"machine list of the fleet (leader)", len(c.machines), 0},
		{"idempotency record, running", len(encode(recordOf(0, nil))), heapOfRecords(nil)},
		{"idempotency record, answered", len(encode(recordOf(0, anAnswer()))), heapOfRecords(anAnswer())},
		{"team's head with 32 versions (platform)", len(c.headEvent()), 0},
		{"bundle (platform)", len(c.contentEntry()), 0},
	}
}

// heapOf is the growth of the heap for one of many copies.
func heapOf(build func(number int) any) float64 {
	held := make([]any, copies)
	before := heapBytes()
	for i := range held {
		held[i] = build(i)
	}
	after := heapBytes()
	runtime.KeepAlive(held)
	return (float64(after) - float64(before)) / copies
}

func (c *cell) busiest() *server {
	best := c.servers[0]
	for _, each := range c.servers {
		if len(each.grants) > len(best.grants) {
			best = each
		}
	}
	return best
}

// copyBook is a new leader's book after each server has answered once.
func (c *cell) copyBook() *grant.Book {
	state := c.state()
	book := grant.New(grant.Config{Cell: c.name, Duration: time.Second, PoolDuration: time.Second}, clock.Exact(0), state)
	for _, name := range state.ServerNames() {
		response := wire.RenewResponse{Server: state.Servers[name].Incarnation, Reading: 1}
		if held, isServer := c.byName[name].(*server); isServer {
			response.Load = held.report()
		}
		book.Answered(clock.Exact(1), name, response)
	}
	return book
}

// logBytes is the most that the log holds: the commands of one compaction, as
// long as an assignment.
func (c *cell) logBytes() int {
	assignment := c.state().Assignments[0]
	command := encode(cellstate.Command{Assign: &cellstate.Assign{
		Slice: assignment.Slice, Owner: assignment.Owner, Incarnation: assignment.OwnerIncarnation,
	}})
	return compactEvery * len(command)
}

func tableOf(c *cell, snapshot []byte) *table.Table {
	routes, _ := table.New(c.name).Apply(decode[wire.TableUpdate](snapshot))
	return routes
}

func followerOf(snapshot []byte) *cellstate.TableFollower {
	follower := &cellstate.TableFollower{}
	follower.Apply(decode[wire.TableUpdate](snapshot))
	return follower
}

func (s *server) copyHolder() *lease.Holder {
	holder := lease.NewHolder(s.cell.name, incarnationOf(s.node))
	grants := decode[[]wire.SliceGrant](encode(s.grants))
	holder.Renew(clock.Exact(1), wire.RenewRequest{
		Cell: s.cell.name, Server: incarnationOf(s.node), Generation: 1, Term: 1, Set: 1,
		Duration: time.Second, Slices: &grants,
	})
	return holder
}

// answerBytes is the body of a kept answer to a confirmation.
const answerBytes = 300

func anAnswer() *ledger.Answer {
	return &ledger.Answer{
		Status: 201,
		Header: map[string][]string{"Content-Type": {"application/json"}, "Date": {"Wed, 02 Dec 2026 08:00:00 GMT"}},
		Body:   bytes.Repeat([]byte("x"), answerBytes),
	}
}

func questionOf(number int) ledger.Question {
	return ledger.Question{
		Key:     ledger.Key{Service: "tawila/booking", Value: fmt.Sprintf("%032x", number)},
		Digest:  ledger.Digest(fmt.Sprintf("%064x", number)),
		Attempt: wire.RequestID(fmt.Sprintf("%026d", number)),
		RunsFor: time.Second,
	}
}

func recordOf(number int, answer *ledger.Answer) ledger.Record {
	book := ledger.NewBook(1, time.Hour)
	asked := questionOf(number)
	_, record := book.Begin(0, asked, ledger.Stamp{Fence: 1, Sequence: uint64(number)})
	if answer != nil {
		record, _ = book.Finish(0, asked.Key, record.Stamp, answer)
	}
	return record
}

// recordsHeld is how many records are made to measure one.
const recordsHeld = 20000

func heapOfRecords(answer *ledger.Answer) float64 {
	book := ledger.NewBook(recordsHeld, time.Hour)
	before := heapBytes()
	for number := range recordsHeld {
		book.Put(0, decode[ledger.Record](encode(recordOf(number, answer))))
	}
	after := heapBytes()
	runtime.KeepAlive(book)
	return (float64(after) - float64(before)) / recordsHeld
}

// LedgerCost is what one request with an Idempotency-Key costs the ledger: the
// gateway that took it asks the owner, which copies to a third, and tells it the
// end, which is copied too.
type LedgerCost struct {
	Exchanges int `json:"exchanges"`
	// Bytes of all exchanges, each counted once.
	Bytes float64 `json:"bytes"`
	// CPU of all three, without sockets.
	CPU time.Duration `json:"cpu_ns"`
}

// measureLedger plays requests through two books with real messages.
func measureLedger(overhead Overhead) LedgerCost {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	owner, second := ledger.NewBook(recordsHeld, time.Hour), ledger.NewBook(recordsHeld, time.Hour)
	lengths := 0
	started := threadTime()
	for number := range recordsHeld {
		lengths += playRequest(owner, second, number)
	}
	spent := threadTime() - started
	const exchangesEach = 4
	perRequest := float64(lengths)/recordsHeld + exchangesEach*(overhead.RequestBytes+overhead.ResponseBytes)
	return LedgerCost{Exchanges: exchangesEach, Bytes: perRequest, CPU: spent / recordsHeld}
}

// playRequest returns the length of all frames of one request.
func playRequest(owner, second *ledger.Book, number int) int {
	grant := ledger.Grant{Slice: ledgerSlice(), Fence: wire.NewFence(1, 40), Bundle: 1}
	asked := questionOf(number)
	length := 0
	begin := passOn(&length, ledger.BeginRequest{
		Cell: "cell-000", Grant: grant, Key: asked.Key, Digest: asked.Digest, Attempt: asked.Attempt, RunsFor: asked.RunsFor,
	})
	stamp := ledger.Stamp{Fence: grant.Fence, Sequence: uint64(number)}
	_, record := owner.Begin(0, ledger.Question{
		Key: begin.Key, Digest: begin.Digest, Attempt: begin.Attempt, RunsFor: begin.RunsFor,
	}, stamp)
	copyTo(&length, second, record)
	passOn(&length, ledger.BeginResponse{Verdict: ledger.VerdictProceed, Stamp: stamp})
	finish := passOn(&length, ledger.FinishRequest{
		Cell: "cell-000", Grant: grant, Key: asked.Key, Stamp: stamp, Answer: anAnswer(),
	})
	record, _ = owner.Finish(0, finish.Key, finish.Stamp, finish.Answer)
	copyTo(&length, second, record)
	passOn(&length, ledger.FinishResponse{})
	return length
}

func copyTo(length *int, second *ledger.Book, record ledger.Record) {
	copied := passOn(length, ledger.CopyRequest{Cell: "cell-000", Fence: record.Stamp.Fence, Record: record})
	second.Put(0, copied.Record)
	holder := ledger.Holder{Name: "system/ledger/10.20.0.1:7002", Incarnation: "0123456789abcdef"}
	passOn(length, ledger.CopyResponse{Holder: holder, Accepted: true})
}

// passOn encodes and decodes a message and adds its length.
func passOn[Message any](length *int, message Message) Message {
	encoded := encode(message)
	*length += len(encoded)
	return decode[Message](encoded)
}

func ledgerSlice() keyspace.Slice {
	return keyspace.Slice{Service: ledger.Service, Partition: ledger.Partition, Range: keyspace.SplitEvenly(cellstate.LedgerSlices)[3]}
}
