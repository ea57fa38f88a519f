package lease_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/tracetest"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

// TestTraces plays each script of events and compares the answers with its
// golden file. "AT VERB name=value ..." is one event; docs of the values are
// at the methods that parse them.
func TestTraces(t *testing.T) {
	tracetest.Play(t, play)
}

type player struct {
	t       *testing.T
	holder  *lease.Holder
	tickets map[string]lease.Ticket
}

func play(t *testing.T, script string) string {
	p := player{t: t, holder: lease.NewHolder("casa", "s1"), tickets: map[string]lease.Ticket{}}
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSuffix(line, "\n")
		fmt.Fprintln(&out, line)
		if line != "" && !strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, "  ->", p.event(line))
		}
	}
	return out.String()
}

func (p player) event(line string) string {
	words := strings.Fields(line)
	at, err := time.ParseDuration(words[0])
	assert.NilError(p.t, err, line)
	values := map[string]string{"cell": "casa", "server": "s1", "gen": "1", "term": "1", "set": "0",
		"reading": "0s", "duration": "600ms", "version": "1", "fence": "0", "slice": "a", "ticket": "x"}
	for _, word := range words[2:] {
		name, value, _ := strings.Cut(word, "=")
		values[name] = value
	}
	now := clock.Exact(at)
	switch words[1] {
	case "renew":
		return p.renew(now, values)
	case "admit":
		ticket, reason := p.holder.Admit(now, bundle.CellName(values["cell"]), slice(values["slice"]),
			wire.Fence(p.number(values["fence"])), bundle.Version(p.number(values["version"])))
		p.tickets[values["ticket"]] = ticket
		return answer(reason)
	case "check":
		return answer(p.holder.Check(now, p.tickets[values["ticket"]]))
	case "finish":
		p.holder.Finish(p.tickets[values["ticket"]])
	case "drain":
		p.holder.Drain()
	}
	return p.view(now)
}

// renew reads slices as "name:fence:version[:state[:shared]]", joined by commas.
func (p player) renew(now clock.Instant, values map[string]string) string {
	reading, err := time.ParseDuration(values["reading"])
	assert.NilError(p.t, err)
	duration, err := time.ParseDuration(values["duration"])
	assert.NilError(p.t, err)
	request := wire.RenewRequest{
		Cell: bundle.CellName(values["cell"]), Server: wire.Incarnation(strings.Trim(values["server"], "-")),
		Generation: wire.Generation(p.number(values["gen"])), Term: p.number(values["term"]),
		Set: p.number(values["set"]), Reading: reading, Duration: duration,
	}
	if text, given := values["slices"]; given {
		grants := p.grants(text)
		request.Slices = &grants
	}
	response := p.holder.Renew(now, request)
	encoded, err := json.Marshal(response)
	assert.NilError(p.t, err)
	return string(encoded) + " " + p.view(now)
}

func (p player) grants(text string) []wire.SliceGrant {
	grants := []wire.SliceGrant{}
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == '-' }) {
		fields := strings.Split(part, ":")
		state := wire.SliceServing
		if len(fields) > 3 {
			state = wire.SliceState(fields[3])
		}
		grants = append(grants, wire.SliceGrant{Slice: slice(fields[0]),
			Fence: wire.Fence(p.number(fields[1])), Bundle: bundle.Version(p.number(fields[2])), State: state,
			Shared: len(fields) > 4})
	}
	return grants
}

func (p player) view(now clock.Instant) string {
	expiry, held := p.holder.Expiry(now)
	var void []uint64
	for _, ticket := range p.holder.Void(now) {
		void = append(void, ticket.ID)
	}
	return fmt.Sprintf("held=%t until=%s in-flight=%d void=%v idle=%t",
		held, expiry, p.holder.InFlight(), void, p.holder.Idle(now))
}

func (p player) number(text string) uint64 {
	number, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(p.t, err)
	return number
}

func slice(name string) keyspace.Slice {
	return keyspace.Slice{Service: "t/s", Partition: keyspace.PartitionName(name)}
}

func answer(reason wire.Reason) string {
	if reason == "" {
		return "yes"
	}
	return string(reason)
}
