// Package explain reads the log lines of many processes and selects those that explain one
// request, or the state of the processes at one time.
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

// maxLineBytes is the maximum length of a line; Read returns an error for a longer one.
const maxLineBytes = 1 << 20

// Read reads log lines. It ignores the text before the first brace of a line, where other
// programs insert timestamps, and skips lines that are not log lines. It returns the number
// of lines skipped.
func Read(reader io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, Error.Wrap(scanner.Err())
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

// TraceRequest returns the lines that have a request's id, the lines about crashes and the
// quarantine of the same request in other attempts, and, for each process that logged the
// request, the last lines before it about the configuration, the leader and the workers that
// the request was sent to. It adds the configuration that revoked the caller's API key, and
// the last line about the quota of a tenant whose request was refused because of it.
func TraceRequest(lines []Line, id string) []Line {
	var trace []Line
	// nodes maps each process that logged the request to the time of its first line.
	nodes := map[string]time.Time{}
	workers := map[string]bool{}
	for _, line := range lines {
		if line.ID != id {
			continue
		}
		trace = append(trace, line)
		if first, known := nodes[line.Node]; !known || line.Time.Before(first) {
			nodes[line.Node] = line.Time
		}
		if worker := asText(line.Fields["worker"]); worker != "" {
			workers[worker] = true
		}
	}
	trace = append(trace, otherAttempts(lines, id, fingerprints(trace))...)
	trace = append(trace, keyRevocations(lines, trace)...)
	for node, first := range nodes {
		trace = append(trace, latestLines(lines, node, first, workers)...)
	}
	trace = append(trace, latestQuotaLines(lines, trace)...)
	sortLines(trace)
	return slices.CompactFunc(trace, sameConfiguration)
}

// sameConfiguration reports whether two lines are about the same configuration at the same
// process. If no other configuration followed, the one that revoked a key is also the last one
// before the request, and the trace would show it twice.
func sameConfiguration(a, b Line) bool {
	return a.Kind == decision.KindConfig && b.Kind == decision.KindConfig && a.Node == b.Node &&
		a.Time.Equal(b.Time) && a.Fields["version"] == b.Fields["version"]
}

// fingerprints returns the fingerprints in the lines; a request has the same one in all its
// attempts.
func fingerprints(requestLines []Line) map[string]bool {
	found := map[string]bool{}
	for _, line := range requestLines {
		if fingerprint := asText(line.Fields["fingerprint"]); fingerprint != "" {
			found[fingerprint] = true
		}
	}
	return found
}

// otherAttempts returns the lines about the same request that have the id of another attempt.
func otherAttempts(lines []Line, id string, fingerprints map[string]bool) []Line {
	var found []Line
	for _, line := range lines {
		if line.ID != id && fingerprints[asText(line.Fields["fingerprint"])] {
			found = append(found, line)
		}
	}
	return found
}

// keyRevocations returns the lines of the configurations that revoked the API keys of requests,
// as logged by the processes that refused these requests.
func keyRevocations(lines, requestLines []Line) []Line {
	var found []Line
	for _, request := range requestLines {
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

// latestLines returns the last line of a process before a time on each subject, without the lines
// about requests.
func latestLines(lines []Line, node string, before time.Time, workers map[string]bool) []Line {
	last := map[string]Line{}
	for _, line := range lines {
		if line.Node != node || line.ID != "" || !line.Time.Before(before) {
			continue
		}
		topic := subject(line, workers)
		if previous, known := last[topic]; topic != "" && (!known || previous.Time.Before(line.Time)) {
			last[topic] = line
		}
	}
	var found []Line
	for _, line := range last {
		found = append(found, line)
	}
	return found
}

// subject returns the subject of a line, by its kind. It is empty for a line without one, and
// for a line about a worker that is not among workers; nil workers include all.
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

// StateAt returns the last line of each process before a time on each subject.
func StateAt(lines []Line, at time.Time) []Line {
	nodes := map[string]bool{}
	for _, line := range lines {
		nodes[line.Node] = true
	}
	var found []Line
	for node := range nodes {
		found = append(found, latestLines(lines, node, at, nil)...)
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

// columnFields are the fields that Write does not list by name: it shows time, node and kind in
// columns and omits level and pid, which are the same in all lines of a process.
var columnFields = map[string]bool{"time": true, "level": true, "node": true, "pid": true, "kind": true}

// Write writes lines as text, with the time by the clock of the process that logged the line,
// and the time since the first line.
func Write(writer io.Writer, lines []Line) error {
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if !columnFields[name] && line.Fields[name] != nil {
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
