package decision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// slowWriter blocks until it is let go.
type slowWriter struct {
	let chan struct{}
}

func (w *slowWriter) Write(line []byte) (int, error) {
	<-w.let
	return len(line), nil
}

type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

func TestLinesAreBoundedForEachKind(t *testing.T) {
	var written buffer
	log := NewTo(&written, "n1")
	for range 1000 {
		log.Line(KindRequest).Str("id", "x").Msg("")
	}
	log.Line(KindConfig).Msg("in force")
	log.Flush()
	time.Sleep(20 * time.Millisecond)
	kinds := map[string]int{}
	for _, line := range written.lines() {
		var read struct{ Kind string }
		assert.NilError(t, json.Unmarshal([]byte(line), &read), line)
		kinds[read.Kind]++
	}
	assert.Assert(t, kinds["request"] >= burstLines && kinds["request"] < burstLines+linesPerSecond, "%v", kinds)
	assert.Equal(t, kinds["config"], 1)
}

func TestAFullPipeNeverBlocks(t *testing.T) {
	writer := &slowWriter{let: make(chan struct{})}
	defer close(writer.let)
	log := NewTo(writer, "n1")
	began := time.Now()
	for _, described := range Descriptions() {
		for range burstLines {
			log.Line(described.Kind).Msg("")
		}
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Assert(t, log.Dropped() > 0)
}

func TestLogsPageMatchesTheCode(t *testing.T) {
	page := "# Log lines\n\nEach process writes JSON lines to standard output. Every line has `time`, `level`, `node`,\n`pid` and `kind`. " +
		fmt.Sprintf("A kind may take %d lines a second, %d at once; what is over that is\ncounted in `lines-left-out`. Requests that went as planned are only counted in the metrics.\n", linesPerSecond, burstLines) +
		"This page is made from the code by a test of `internal/decision`.\n\n| kind | tells | fields |\n|---|---|---|\n"
	for _, one := range Descriptions() {
		page += fmt.Sprintf("| `%s` | %s | %s |\n", one.Kind, one.Meaning, one.Fields)
	}
	golden.Assert(t, page, "../../../docs/operations/logs.md")
}

func TestEveryKindIsDescribed(t *testing.T) {
	source, err := os.ReadFile("kinds.go")
	assert.NilError(t, err)
	declared := regexp.MustCompile(`Kind = "([^"]+)"`).FindAllStringSubmatch(string(source), -1)
	described := map[Kind]bool{}
	for _, one := range Descriptions() {
		described[one.Kind] = true
	}
	assert.Equal(t, len(declared), len(described))
	for _, one := range declared {
		assert.Assert(t, described[Kind(one[1])], one[1])
	}
}
