package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/table"
	"github.com/shalefork/shalefork/internal/wire"
)

// standby returns a controller that is no member.
func (s *session) standby() *process {
	for _, running := range s.controllers {
		if !running.view.Load().member {
			return running
		}
	}
	s.t.Fatal("no standby")
	return nil
}

// call asks a controller as one of the system's processes does.
func (s *session) call(to *process, method, path string, body any) *httptest.ResponseRecorder {
	encoded, err := json.Marshal(body)
	assert.NilError(s.t, err)
	request := httptest.NewRequest(method, path, bytes.NewReader(encoded))
	request.Header.Set("Shalefork-Token", testToken)
	recorder := httptest.NewRecorder()
	to.Handler().ServeHTTP(recorder, request)
	return recorder
}

func (s *session) register(to *process, server cellstate.Server) RegisterResponse {
	var answer RegisterResponse
	recorder := s.call(to, http.MethodPost, PathRegister, server)
	assert.NilError(s.t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	return answer
}

func (s *session) status(of *process) adminapi.Status {
	var status adminapi.Status
	recorder := s.call(of, http.MethodGet, adminapi.PathStatus, nil)
	assert.NilError(s.t, json.Unmarshal(recorder.Body.Bytes(), &status))
	return status
}

// tableReader follows a controller's stream as a gateway does.
type tableReader struct {
	mu   sync.Mutex
	held *table.Table
}

func (s *session) followTableOf(to *process) *tableReader {
	reader := &tableReader{held: table.New(testCell)}
	ctx, cancel := context.WithCancel(context.Background())
	s.cleanups = append(s.cleanups, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.address+wire.PathTable+"?cell="+testCell, nil)
	assert.NilError(s.t, err)
	request.Header.Set("Shalefork-Token", testToken)
	response, err := (&http.Client{Transport: transportFrom(s.network, "10.0.2.1:9000")}).Do(request)
	assert.NilError(s.t, err)
	assert.Equal(s.t, response.StatusCode, http.StatusOK)
	s.watched.Go(func() {
		defer response.Body.Close()
		lines := wire.NewLineReader(response.Body)
		for {
			var update wire.TableUpdate
			if lines.Read(&update) != nil {
				return
			}
			reader.take(s, update)
		}
	})
	return reader
}

func (r *tableReader) take(s *session, update wire.TableUpdate) {
	if update.Heartbeat {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next, outcome := r.held.Apply(update)
	assert.Check(s.t, outcome == table.OutcomeApplied, "table update: %s", outcome)
	r.held = next
}

// owned counts the slices with an owner.
func (r *tableReader) owned() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, slice := range keyspace.SplitEvenly(testSlices) {
		if entry, found := r.held.Lookup(testTeam+"/tables", "all", slice.First); found && entry.Server != "" {
			count++
		}
	}
	return count
}

func (r *tableReader) has(name bundle.ServerName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, found := r.held.Server(name)
	return found
}
