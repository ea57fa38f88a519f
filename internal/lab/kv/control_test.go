package kv_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/kv"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

func steer(t *testing.T, server *httptest.Server, control string) (int, string) {
	t.Helper()
	response, err := server.Client().Post(server.URL+kv.PathControl, "application/json", strings.NewReader(control))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

func TestControlSteersTheStore(t *testing.T) {
	store := memory.New()
	server := httptest.NewServer(kv.NewServer(store))
	defer server.Close()
	status, _ := steer(t, server, `{"outage":{"on":true,"for":"1h"},"machines":{"lag":"0s","set":[
		{"address":"127.0.0.9","name":"m9","zone":"nl-1","state":"leaving"}],"remove":["127.0.0.8"]}}`)
	assert.Equal(t, status, http.StatusOK)
	_, err := store.Machines(t.Context())
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	status, _ = steer(t, server, `{"outage":{"on":false}}`)
	assert.Equal(t, status, http.StatusOK)
	machines, err := store.Machines(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, machines[0].State, platform.MachineLeaving)
	status, _ = steer(t, server, `{"lose_answers":{"next":1},"rate":{"per_second":1000,"burst":1000},"slow":{"delay":"1ms"}}`)
	assert.Equal(t, status, http.StatusOK)
	_, err = store.CompareAndSwap(t.Context(), write("a", "b", 0))
	assert.ErrorIs(t, err, memory.ErrAnswerLost)
}

func TestControlRefusesWhatItDoesNotKnow(t *testing.T) {
	server := httptest.NewServer(kv.NewServer(memory.New()))
	defer server.Close()
	for control, expected := range map[string]string{
		`{}`:                           "expected one of outage",
		`{"outages":{}}`:               "unknown field",
		`{"slow":{"delay":5}}`:         `expected a duration such as \"250ms\", found 5`,
		`{"slow":{"delay":"1s"}} {}`:   "nothing after it",
		`{"lose_answers":{"next":-1}}`: "lose_answers: expected",
		`{"rate":{"per_second":5}}`:    "rate: expected",
		`{"machines":{"set":[{}]}}`:    "IP number",
		`{"machines":{"set":[{"address":"127.0.0.1","state":"gone"}]}}`: "state live or leaving",
	} {
		status, body := steer(t, server, control)
		assert.Equal(t, status, http.StatusBadRequest, control)
		assert.Assert(t, strings.Contains(body, expected), "%s: %s", control, body)
	}
}

func TestRunStopsWithItsContext(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() {
		stopped <- kv.Run(ctx, kv.Config{Listener: listener, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}})
	}()
	transport := &http.Transport{}
	client := platform.NewClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
	_, err = client.CompareAndSwap(ctx, write("a", "b", 0))
	assert.NilError(t, err)
	err = client.Watch(t.Context(), "", 0, func(platform.Event) { cancel() })
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.NilError(t, <-stopped)
	transport.CloseIdleConnections()
}
