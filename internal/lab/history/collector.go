package history

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/shalefork/shalefork/internal/wire"
)

// PathHistory takes Lines by POST at a Collector, and gives a server's own
// lines by GET.
const PathHistory = "/lab/history"

// Collector keeps what servers and callers record, outside of their processes,
// so that it outlives a process that is killed. It is safe for concurrent use.
type Collector struct {
	mu         sync.Mutex
	executions []Execution
	calls      []Call
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
		c.executions = append(c.executions, *line.Execution)
	}
	if line.Call != nil {
		c.calls = append(c.calls, *line.Call)
	}
}

// History returns the lines so far: the last phase of each execution, and all
// calls in the order in which they came.
func (c *Collector) History() History {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions = Latest(c.executions)
	return History{
		Executions: append([]Execution(nil), c.executions...),
		Calls:      append([]Call(nil), c.calls...),
	}
}
