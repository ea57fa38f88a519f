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

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

func TestEachKindHasARateLimit(t *testing.T) {
	var written lockedBuffer
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

func TestBlockedWriterNeverBlocksLogging(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	defer close(writer.release)
	log := NewTo(writer, "n1")
	start := time.Now()
	for _, described := range Descriptions() {
		for range burstLines {
			log.Line(described.Kind).Msg("")
		}
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, log.Dropped() > 0)
}

func TestLogsPageMatchesTheCode(t *testing.T) {
	page := "# Log lines\n\nEach process writes JSON lines to standard output. Every line has `time`, `level`, `node`,\n`pid` and `kind`. " +
		fmt.Sprintf("A kind may take %d lines a second, %d at once; lines beyond that are\ncounted in `lines-left-out`. Requests that end as expected are only counted in the metrics.\n", linesPerSecond, burstLines) +
		"This page is generated from the code by a test of `internal/decision`.\n\n| kind | meaning | fields |\n|---|---|---|\n"
	for _, description := range Descriptions() {
		page += fmt.Sprintf("| `%s` | %s | %s |\n", description.Kind, description.Meaning, description.Fields)
	}
	golden.Assert(t, page, "../../../docs/operations/logs.md")
}

func TestEveryKindIsDescribed(t *testing.T) {
	source, err := os.ReadFile("kinds.go")
	assert.NilError(t, err)
	declared := regexp.MustCompile(`Kind = "([^"]+)"`).FindAllStringSubmatch(string(source), -1)
	described := map[Kind]bool{}
	for _, description := range Descriptions() {
		described[description.Kind] = true
	}
	assert.Equal(t, len(declared), len(described))
	for _, match := range declared {
		assert.Assert(t, described[Kind(match[1])], match[1])
	}
}
