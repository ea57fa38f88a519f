package grant_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/lab/tracetest"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// TestTraces plays each script of events with real books, holders and state,
// and compares what happens with its golden file. A line is "TIME VERB ...",
// with the time in milliseconds, or as UPPER/LOWER where the clocks disagree.
func TestTraces(t *testing.T) {
	tracetest.Play(t, func(t *testing.T, script string) string {
		p := &player{
			cell: newCell(t, 1), books: map[string]*grant.Book{}, ends: map[string]time.Duration{},
			holders: map[string]*lease.Holder{}, messages: map[string]*traceMessage{},
		}
		return p.play(script)
	})
}

type traceMessage struct {
	leader  string
	renewal grant.Renewal
	answer  wire.RenewResponse
}

type player struct {
	*cell
	now      clock.Instant
	books    map[string]*grant.Book
	ends     map[string]time.Duration
	holders  map[string]*lease.Holder
	messages map[string]*traceMessage
	out      strings.Builder
}

func (p *player) play(script string) string {
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		fmt.Fprintln(&p.out, line)
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		p.now = parseInstant(words[0])
		p.event(words[1], words[2:])
	}
	return p.out.String()
}

func parseInstant(text string) clock.Instant {
	upper, lower, two := strings.Cut(text, "/")
	if !two {
		lower = upper
	}
	return clock.Instant{Upper: milliseconds(upper), Lower: milliseconds(lower)}
}

func milliseconds(text string) time.Duration {
	count, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return time.Duration(count) * millisecond
}

func (p *player) say(format string, values ...any) {
	fmt.Fprintf(&p.out, "  -> "+format+"\n", values...)
}

func (p *player) event(verb string, words []string) {
	switch verb {
	case "start": // SERVER INCARNATION: a new run, also in place of another
		p.holders[words[0]] = lease.NewHolder("casablanca-1", wire.Incarnation(words[1]))
	case "elect": // LEADER TERM LEASE-END
		config := testConfig()
		config.Term = uint64(milliseconds(words[1]) / millisecond)
		p.books[words[0]] = grant.New(config, p.now, p.state)
		p.ends[words[0]] = milliseconds(words[2])
	case "lead": // LEADER LEASE-END: its leadership lease is extended
		p.ends[words[0]] = milliseconds(words[1])
	case "due": // LEADER LABEL
		p.due(words[0], words[1])
	case "arrive":
		p.arrive(words[0])
	case "answer":
		p.answer(words[0])
	case "exchange":
		p.exchange(words[0])
	case "fail": // LEADER SERVER
		p.books[words[0]].Failed(p.now, fullName(words[1]))
	case "propose":
		p.propose(words[0])
	case "assign": // SERVER INCARNATION
		p.commit(cellstate.Command{Assign: &cellstate.Assign{
			Slice: p.state.Assignments[0].Slice, Owner: fullName(words[0]), Incarnation: wire.Incarnation(words[1]),
		}})
	case "release":
		held := p.state.Assignments[0]
		p.commit(cellstate.Command{BeginRelease: &cellstate.BeginRelease{Slice: held.Slice, Fence: held.Fence}})
	case "adopt":
		p.commit(cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: testBundle(2, 1)}})
	case "admits": // SERVER
		p.admits(words[0])
	default:
		panic(verb)
	}
}

func fullName(server string) bundle.ServerName {
	return bundle.ServerName("tawila/tables/" + server)
}

func shortName(server bundle.ServerName) string {
	return strings.TrimPrefix(string(server), "tawila/tables/")
}

// due names each renewal after the server and a label, as "a1".
func (p *player) due(leader, label string) []string {
	var names []string
	for _, renewal := range p.books[leader].Due(p.now, p.ends[leader]) {
		name := shortName(renewal.Server) + label
		p.messages[name] = &traceMessage{leader: leader, renewal: renewal}
		names = append(names, name)
		request := renewal.Request
		if request.Server == "" {
			p.say("%s: first contact", name)
			continue
		}
		grants := "unchanged"
		if request.Slices != nil {
			grants = grantsText(*request.Slices)
		}
		p.say("%s: run %s reading %v set %d grants %s", name, request.Server, request.Reading, request.Set, grants)
	}
	return names
}

func grantsText(grants []wire.SliceGrant) string {
	var texts []string
	for _, held := range grants {
		texts = append(texts, fmt.Sprintf("%s fence %d bundle %d", held.State, held.Fence&0xff, held.Bundle))
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

func (p *player) arrive(name string) {
	sent := p.messages[name]
	sent.answer = p.holders[shortName(sent.renewal.Server)].Renew(p.now, sent.renewal.Request)
	answer := sent.answer
	p.say("%s: run %s reading %v holds term %d set %d released %d refused %q",
		name, answer.Server, answer.Reading, answer.Term, answer.Set, len(answer.Released), answer.Refused)
}

func (p *player) answer(name string) {
	sent := p.messages[name]
	p.books[sent.leader].Answered(p.now, sent.renewal.Server, sent.answer)
}

// exchange sends what is due and answers at once, until nothing is due.
func (p *player) exchange(leader string) {
	for names := p.due(leader, "-"); len(names) > 0; names = p.due(leader, "-") {
		for _, name := range names {
			if p.holders[shortName(p.messages[name].renewal.Server)] == nil {
				p.books[leader].Failed(p.now, p.messages[name].renewal.Server)
				continue
			}
			p.arrive(name)
			p.answer(name)
		}
	}
}

// propose commits what the leader's book calls for.
func (p *player) propose(leader string) {
	p.commit(p.books[leader].Proposals(p.now)...)
}

func (p *player) commit(commands ...cellstate.Command) {
	for _, command := range commands {
		p.apply(command)
		p.say("%d commits %s", p.state.Index, commandText(command))
	}
	for _, book := range p.books {
		book.Observe(p.now, p.state)
	}
}

func commandText(command cellstate.Command) string {
	switch {
	case command.Assign != nil:
		return fmt.Sprint("assign to ", shortName(command.Assign.Owner))
	case command.Unassign != nil:
		return fmt.Sprint("unassign fence ", command.Unassign.Fence&0xff)
	case command.BeginRelease != nil:
		return fmt.Sprint("begin release of fence ", command.BeginRelease.Fence&0xff)
	case command.RegisterServer != nil:
		return fmt.Sprint("register run ", command.RegisterServer.Server.Incarnation)
	case command.DrainServer != nil:
		return fmt.Sprint("drain ", shortName(command.DrainServer.Server), " ", command.DrainServer.Draining)
	case command.MarkInForce != nil:
		return fmt.Sprint("version in force ", command.MarkInForce.Version)
	default:
		return fmt.Sprint("adopt version ", command.AdoptBundle.Bundle.Version)
	}
}

// admits says what the server makes of a request under the present fence, or
// under the highest that it can have.
func (p *player) admits(server string) {
	held := p.state.Assignments[0]
	answer := "not the owner"
	for fence := held.Fence; fence > wire.NewFence(1, 0); fence-- {
		ticket, reason := p.holders[server].Admit(p.now, "casablanca-1", held.Slice, fence, held.Bundle)
		if reason == "" {
			p.holders[server].Finish(ticket)
			answer = fmt.Sprintf("admits fence %d", fence&0xff)
			break
		}
		if reason != wire.ReasonWrongFence && reason != wire.ReasonNoGrant {
			answer = string(reason)
		}
	}
	p.say("%s: %s", server, answer)
}
