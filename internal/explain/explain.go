// Package explain reads the log lines of many processes and shows one request's
// course, or what the processes believed at a moment.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/decision"
)

// Error is the class of errors of this package.
var Error = errs.Class("explain")

// Line is one log line.
type Line struct {
	Time   time.Time
	Node   string
	Kind   decision.Kind
	ID     string
	Fields map[string]any
}

// maxLine bounds a line.
const maxLine = 1 << 20

// Read reads lines; what is no log line is passed over, and anything before a
// line's first brace, as other programs put times there. It returns how many
// lines were passed over.
func Read(reader io.Reader) (lines []Line, passed int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			passed++
			continue
		}
		lines = append(lines, line)
	}
	return lines, passed, Error.Wrap(scanner.Err())
}

func parse(text string) (Line, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[brace:]), &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, asText(fields["time"]))
	kind := asText(fields["kind"])
	if err != nil || kind == "" {
		return Line{}, false
	}
	return Line{Time: at, Node: asText(fields["node"]), Kind: decision.Kind(kind), ID: asText(fields["id"]), Fields: fields}, true
}

func asText(value any) string {
	text, _ := value.(string)
	return text
}

// Course returns the lines that name a request, those that tell of crashes and quarantine of
// the same request in other attempts, and the last word before it that each process on its way
// had on its configuration, its leader and the workers it was sent to.
func TraceRequest(lines []Line, id string) []Line {
	var named []Line
	nodes := map[string]time.Time{}
	workers := map[string]bool{}
	for _, line := range lines {
		if line.ID != id {
			continue
		}
		named = append(named, line)
		if first, known := nodes[line.Node]; !known || line.Time.Before(first) {
			nodes[line.Node] = line.Time
		}
		if worker := asText(line.Fields["worker"]); worker != "" {
			workers[worker] = true
		}
	}
	named = append(named, otherAttempts(lines, id, fingerprints(named))...)
	named = append(named, keyTakenAway(lines, named)...)
	for node, first := range nodes {
		named = append(named, beliefs(lines, node, first, workers)...)
	}
	named = append(named, quotaCauses(lines, named)...)
	sortLines(named)
	return slices.CompactFunc(named, sameConfiguration)
}

// sameConfiguration reports whether two lines tell that one process took one configuration: it is
// both what took a key away and the last one before the request, if no other came between.
func sameConfiguration(a, b Line) bool {
	return a.Kind == decision.KindConfig && b.Kind == decision.KindConfig && a.Node == b.Node &&
		a.Time.Equal(b.Time) && a.Fields["version"] == b.Fields["version"]
}

// fingerprints returns what lines call the request over all its attempts.
func fingerprints(named []Line) map[string]bool {
	found := map[string]bool{}
	for _, line := range named {
		if fingerprint := asText(line.Fields["fingerprint"]); fingerprint != "" {
			found[fingerprint] = true
		}
	}
	return found
}

// otherAttempts returns the lines that name the same request by another attempt's id.
func otherAttempts(lines []Line, id string, fingerprints map[string]bool) []Line {
	var found []Line
	for _, line := range lines {
		if line.ID != id && fingerprints[asText(line.Fields["fingerprint"])] {
			found = append(found, line)
		}
	}
	return found
}

// keyTakenAway returns the lines of the configurations that took away the API keys of requests,
// at the processes that say so.
func keyTakenAway(lines, named []Line) []Line {
	var found []Line
	for _, request := range named {
		version := request.Fields["gone_with"]
		if version == nil {
			continue
		}
		for _, line := range lines {
			if line.Kind == decision.KindConfig && line.Node == request.Node && line.Fields["version"] == version {
				found = append(found, line)
			}
		}
	}
	return found
}

// beliefs are the last lines of a process before a time, by what they are about.
func beliefs(lines []Line, node string, before time.Time, workers map[string]bool) []Line {
	last := map[string]Line{}
	for _, line := range lines {
		if line.Node != node || line.ID != "" || !line.Time.Before(before) {
			continue
		}
		about := subject(line, workers)
		if old, known := last[about]; about != "" && (!known || old.Time.Before(line.Time)) {
			last[about] = line
		}
	}
	var found []Line
	for _, line := range last {
		found = append(found, line)
	}
	return found
}

// subject is what a line is about; empty if that is told neither by its kind nor
// by one of the workers.
func subject(line Line, workers map[string]bool) string {
	switch line.Kind {
	case decision.KindConfig, decision.KindConfigRefused:
		return "configuration"
	case decision.KindLeaderFound, decision.KindLeaderLost, decision.KindElected, decision.KindResigned:
		return "leader"
	case decision.KindStoreLost, decision.KindStoreRegained:
		return "store " + asText(line.Fields["for"])
	case decision.KindStart, decision.KindReady:
		return "life"
	case decision.KindWorker, decision.KindOrderFailed:
		worker := strings.TrimPrefix(asText(line.Fields["worker"]), "servers/")
		if workers == nil || workers[worker] {
			return "worker " + worker
		}
	}
	return ""
}

// Around returns what each process believed at a time.
func StateAt(lines []Line, at time.Time) []Line {
	nodes := map[string]bool{}
	for _, line := range lines {
		nodes[line.Node] = true
	}
	var found []Line
	for node := range nodes {
		found = append(found, beliefs(lines, node, at, nil)...)
	}
	sortLines(found)
	return found
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Node, b.Node)
	})
}

// standing fields are shown in columns, or are the same for all lines.
var standing = map[string]bool{"time": true, "level": true, "node": true, "pid": true, "kind": true}

// Write shows lines, with times as each process's own clock told them, and how
// far from the first line they are.
func Write(writer io.Writer, lines []Line) error {
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if !standing[name] && line.Fields[name] != nil {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		var fields []string
		for _, name := range names {
			fields = append(fields, fmt.Sprintf("%s=%v", name, line.Fields[name]))
		}
		after := line.Time.Sub(lines[0].Time).Seconds()
		_, err := fmt.Fprintf(writer, "%s %+9.3f s  %-18s %-18s %s\n",
			line.Time.Format("15:04:05.000"), after, line.Node, line.Kind, strings.Join(fields, " "))
		if err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
