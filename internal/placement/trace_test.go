package placement

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/tracetest"
)

// TestTraces replays each script in testdata and compares all that it prints.
//
//	bundle SLICES CHURN MOVES ZONES SERVER:ZONE...  the cell's one service
//	traffic HASH=RATE...   replaces all traffic; hashes are hexadecimal
//	run DURATION STEP      plans and applies at each step
//	die|return|drain|undrain|restart SERVER...
//	leader                 starts a new planner
//	quick                  lets releases begin and end between two plans
func TestTraces(t *testing.T) {
	tracetest.Play(t, replay)
}

type traceRun struct {
	t      *testing.T
	cell   *testCell
	output strings.Builder
}

func replay(t *testing.T, script string) string {
	run := &traceRun{t: t}
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fmt.Fprintf(&run.output, "> %s\n", line)
		fields := strings.Fields(line)
		run.step(fields[0], fields[1:])
	}
	return run.output.String()
}

func (r *traceRun) step(verb string, arguments []string) {
	switch verb {
	case "bundle":
		r.cell = newTestCell(parseBundle(r.t, arguments))
	case "traffic":
		r.cell.traffic = parseTraffic(r.t, arguments)
	case "run":
		r.run(parseDuration(r.t, arguments[0]), parseDuration(r.t, arguments[1]))
	case "quick":
		r.cell.quick = true
	case "leader":
		r.cell.planner = NewPlanner()
	default:
		for _, argument := range arguments {
			r.changeServer(verb, bundle.ServerName("team/keyed/"+argument))
		}
	}
}

func (r *traceRun) changeServer(verb string, server bundle.ServerName) {
	switch verb {
	case "die", "return":
		r.cell.dead[server] = verb == "die"
	case "restart":
		r.cell.restart(server)
	case "drain", "undrain":
		r.cell.drain(server, verb == "drain")
	default:
		r.t.Fatalf("unknown verb %q", verb)
	}
}

func (r *traceRun) run(duration, step time.Duration) {
	for end := r.cell.now + duration; r.cell.now < end; r.cell.now += step {
		r.cell.endReleases()
		for _, command := range r.cell.planner.Plan(r.cell.view()) {
			cause := r.cell.planner.CauseOf(command)
			fmt.Fprintf(&r.output, "%8s %s", r.cell.now, describe(command, cause))
			if rejection := r.cell.apply(command); rejection != "" {
				fmt.Fprintf(&r.output, " REJECTED %s", rejection)
			}
			r.output.WriteString("\n")
		}
	}
	fmt.Fprintf(&r.output, "  imbalance %.2f, %d slices\n", r.cell.imbalance(), len(r.cell.state.Assignments))
}

func parseBundle(t *testing.T, arguments []string) bundle.Bundle {
	count, err := strconv.Atoi(arguments[0])
	assert.NilError(t, err)
	churn, err := strconv.ParseFloat(arguments[1], 64)
	assert.NilError(t, err)
	moves, err := strconv.Atoi(arguments[2])
	assert.NilError(t, err)
	service := bundle.Service{
		Name:       "keyed",
		Kind:       bundle.KindKeyed,
		Placement:  bundle.Placement{Slices: count, ChurnWeight: churn, MovesPerMinute: moves},
		Partitions: []bundle.Partition{{Name: "all"}},
	}
	for zone := range strings.SplitSeq(arguments[3], ",") {
		service.Partitions[0].Zones = append(service.Partitions[0].Zones, bundle.Zone(zone))
	}
	for _, argument := range arguments[4:] {
		name, zone, _ := strings.Cut(argument, ":")
		service.Backends = append(service.Backends, bundle.Backend{Name: name, Address: name + ":1", Zone: bundle.Zone(zone)})
	}
	return bundle.Bundle{Team: "team", Version: 1, Cell: "cell", Services: []bundle.Service{service}}
}

func parseTraffic(t *testing.T, arguments []string) []trafficPoint {
	var points []trafficPoint
	for _, argument := range arguments {
		hash, rate, _ := strings.Cut(argument, "=")
		parsed, err := strconv.ParseUint(hash+strings.Repeat("0", 16-len(hash)), 16, 64)
		assert.NilError(t, err)
		perSecond, err := strconv.ParseFloat(rate, 64)
		assert.NilError(t, err)
		points = append(points, trafficPoint{hash: keyspace.Hash(parsed), rate: perSecond})
	}
	return points
}

func parseDuration(t *testing.T, text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return parsed
}
