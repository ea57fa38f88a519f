package grant_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// The model explores every order of the steps of two leaders and their servers
// around one slice. Time passes in ticks, at any moment; so a pause is a tick
// between two steps of a process, and a delay one between sending and
// receiving. A grant lasts two ticks.
const (
	tick      = 200 * time.Millisecond
	duration  = 2 * tick
	leaseEnds = 2 // the first leader's leadership lease, in ticks
)

// mutation breaks one rule that the protocol needs.
type mutation string

const (
	noMutation         mutation = ""
	expiryFromReceipt  mutation = "expiry counted from receipt"
	leaseBeforeReading mutation = "leadership checked before the reading"
	noWait             mutation = "no wait by the new leader"
	voteInsidePromise  mutation = "a vote given inside the promise"
)

// scenario bounds an exploration.
type scenario struct {
	mutation mutation
	ticks    int
	// releases, works and restarts allow one planned release, one request that
	// server a runs, and one restart of server a whose former run lives on.
	releases, works, restarts bool
	// delayB lets the messages of server b take time, too.
	delayB bool
}

// process is a book or a holder. The object is never changed: a step copies it
// first, or makes it anew from the list of events that led to it.
type process[T any] struct {
	object T
	clone  func(T) T
	make   func() T
	events []func(T)
	text   string // what the object's later answers depend on
}

func (p process[T]) copied() T {
	if p.clone != nil {
		return p.clone(p.object)
	}
	made := p.make()
	for _, event := range p.events {
		event(made)
	}
	return made
}

// after returns the process after one more event. What an event tells is taken
// from its first run; in later runs it tells the same.
func (p process[T]) after(event func(T)) process[T] {
	p.object = p.copied()
	event(p.object)
	if p.clone == nil {
		p.events = append(slices.Clip(p.events), event)
	}
	return p
}

type (
	leaderProcess = process[*grant.Book]
	serverProcess = process[*lease.Holder]
)

// message is a renewal on its way to a server, or an answer on its way back.
type message struct {
	leader, holder int
	server         bundle.ServerName
	request        wire.RenewRequest
	answer         *wire.RenewResponse
	text           string
}

func (m message) String() string {
	return fmt.Sprint(m.leader, " ", m.holder, " ", textOf(m.request), " ", textOf(m.answer))
}

// withText notes the book's fingerprint as of now.
func withText(p leaderProcess, now clock.Instant) leaderProcess {
	p.text = p.object.Fingerprint(now.Upper)
	return p
}

// world is one state of the model. Worlds share what they do not change.
type world struct {
	now      int
	state    cellstate.State
	log      xxh3.Uint128 // of the state
	leaders  [2]leaderProcess
	elected  bool
	pending  [2][]proposal
	waiting  [2]map[bundle.ServerName]bool
	checked  bool // the first leader's lease check, under leaseBeforeReading
	holders  []serverProcess
	at       map[bundle.ServerName]int // the holder at each address
	messages []message
	released bool
	work     workState
	ticket   lease.Ticket
	trace    *step
}

// workState is how far the one request that server a runs has come.
type workState int

const (
	workNone workState = iota
	workRunning
	workFinished
)

// proposal is a command that is not committed yet, and its JSON.
type proposal struct {
	command cellstate.Command
	text    string
}

// step is one line of the way to a state.
type step struct {
	now    int
	format string
	values []any
	before *step
}

func (w *world) key() xxh3.Uint128 {
	var text strings.Builder
	fmt.Fprint(&text, w.now, w.log, w.elected, w.waiting, w.checked, w.at, w.released, w.work)
	for i, leader := range w.leaders {
		if leader.object != nil {
			fmt.Fprint(&text, "|", leader.text)
		}
		for _, pending := range w.pending[i] {
			text.WriteString(pending.text)
		}
	}
	for _, holder := range w.holders {
		fmt.Fprint(&text, "|", holder.text)
	}
	lines := make([]string, 0, len(w.messages))
	for _, sent := range w.messages {
		lines = append(lines, sent.text)
	}
	slices.Sort(lines)
	fmt.Fprint(&text, lines)
	return xxh3.HashString128(text.String())
}

func textOf(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}
