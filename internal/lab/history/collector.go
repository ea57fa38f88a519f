package history

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/shalefork/shalefork/internal/wire"
)

// PathHistory takes Lines by POST at a Collector, and gives a server's own
// lines by GET.
const PathHistory = "/lab/history"

// Collector keeps what servers and callers record, outside of their processes,
// so that it outlives a process that is killed. The zero value is ready and
// keeps everything. It is safe for concurrent use.
type Collector struct {
	// limit is the most executions, and the most calls, that are kept: the
	// newest ones. Zero keeps all.
	limit int

	mu         sync.Mutex
	executions map[identity]Execution
	// order has the executions as they came.
	order []identity
	calls []Call
}

// ServeHTTP stores the lines of one POST. It answers 204 once all are stored,
// and 400 for a line that is not one; the lines before it are stored.
func (c *Collector) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		http.Error(writer, "histories are sent by POST", http.StatusMethodNotAllowed)
		return
	}
	reader := wire.NewLineReader(request.Body)
	for {
		var line Line
		err := reader.Read(&line)
		if errors.Is(err, io.EOF) {
			writer.WriteHeader(http.StatusNoContent)
			return
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		c.Add(line)
	}
}

// Add stores one line.
func (c *Collector) Add(line Line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if line.Execution != nil {
		c.addExecution(*line.Execution)
	}
	if line.Call != nil {
		c.calls = append(c.calls, *line.Call)
		c.calls = c.calls[c.excess(len(c.calls)):]
	}
}

// addExecution keeps the last phase. Lines that were sent again may come after
// later ones.
func (c *Collector) addExecution(execution Execution) {
	if c.executions == nil {
		c.executions = map[identity]Execution{}
	}
	id := execution.identity()
	present, found := c.executions[id]
	if found && present.Phase.order() > execution.Phase.order() {
		return
	}
	c.executions[id] = execution
	if found {
		return
	}
	c.order = append(c.order, id)
	excess := c.excess(len(c.order))
	for _, oldest := range c.order[:excess] {
		delete(c.executions, oldest)
	}
	c.order = c.order[excess:]
}

func (c *Collector) excess(count int) int {
	if c.limit == 0 {
		return 0
	}
	return max(0, count-c.limit)
}

// History returns the lines so far: the last phase of each execution, and all
// calls in the order in which they came.
func (c *Collector) History() History {
	c.mu.Lock()
	defer c.mu.Unlock()
	executions := slices.SortedFunc(maps.Values(c.executions), byArrival)
	return History{Executions: executions, Calls: slices.Clone(c.calls)}
}
