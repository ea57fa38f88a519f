// Package kv is the stand-in of the platform's service in tests: the
// key-value service and the machine list of package platform/memory, served
// over HTTP. Its faults are steered while it runs, by POST /lab/control. It
// keeps everything in memory only.
package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

// maxRequestBytes bounds a request: a value in base64 and some room.
const maxRequestBytes = platform.MaxValueBytes*4/3 + 4096

// Server serves a memory.Store over the platform's protocol.
type Server struct {
	store *memory.Store
	mux   *http.ServeMux
}

// NewServer returns the handler of the protocol and of PathControl.
func NewServer(store *memory.Store) *Server {
	s := &Server{store: store, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+platform.PathEntry, s.getEntry)
	s.mux.HandleFunc("GET "+platform.PathEntries, s.listEntries)
	s.mux.HandleFunc("POST "+platform.PathWrite, s.write)
	s.mux.HandleFunc("POST "+platform.PathDelete, s.delete)
	s.mux.HandleFunc("POST "+platform.PathLease, s.grantLease)
	s.mux.HandleFunc("POST "+platform.PathLeaseRenew, s.renewLease)
	s.mux.HandleFunc("GET "+platform.PathWatch, s.watch)
	s.mux.HandleFunc("GET "+platform.PathMachines, s.listMachines)
	s.mux.HandleFunc("POST "+PathControl, s.control)
	s.mux.HandleFunc("GET "+PathControl, s.counts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mux.ServeHTTP(writer, request)
}

func (s *Server) getEntry(writer http.ResponseWriter, request *http.Request) {
	entry, err := s.store.Get(request.Context(), request.URL.Query().Get("key"))
	answer(writer, entry, err)
}

func (s *Server) listEntries(writer http.ResponseWriter, request *http.Request) {
	listing, err := s.store.List(request.Context(), request.URL.Query().Get("prefix"))
	answer(writer, listing, err)
}

func (s *Server) write(writer http.ResponseWriter, request *http.Request) {
	var write platform.Write
	if !decode(writer, request, &write) {
		return
	}
	entry, err := s.store.CompareAndSwap(request.Context(), write)
	answer(writer, entry, err)
}

func (s *Server) delete(writer http.ResponseWriter, request *http.Request) {
	var message platform.DeleteRequest
	if !decode(writer, request, &message) {
		return
	}
	err := s.store.Delete(request.Context(), message.Key, message.Expect)
	answer(writer, struct{}{}, err)
}

func (s *Server) grantLease(writer http.ResponseWriter, request *http.Request) {
	var message platform.LeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	ttl := time.Duration(message.TTLMilliseconds) * time.Millisecond
	lease, err := s.store.GrantLease(request.Context(), ttl)
	answer(writer, platform.LeaseResponse{Lease: lease}, err)
}

func (s *Server) renewLease(writer http.ResponseWriter, request *http.Request) {
	var message platform.RenewLeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	err := s.store.RenewLease(request.Context(), message.Lease)
	answer(writer, struct{}{}, err)
}

func (s *Server) listMachines(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	if !query.Has("since") {
		machines, err := s.store.Machines(request.Context())
		answer(writer, machines, err)
		return
	}
	changes, err := s.store.MachineChanges(request.Context(), platform.MachineRevision(query.Get("since")))
	answer(writer, changes, err)
}

// decode reads one JSON value, strictly; it answers the failure itself.
func decode(writer http.ResponseWriter, request *http.Request, message any) bool {
	if err := decodeStrict(http.MaxBytesReader(writer, request.Body, maxRequestBytes), message); err != nil {
		fail(writer, platform.FailureMalformed, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func decodeStrict(body io.Reader, message any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("expected one JSON value and nothing after it")
	}
	return nil
}

// answer writes the value, or the failure that err stands for. For a lost
// answer it closes the connection without a byte.
func answer(writer http.ResponseWriter, value any, err error) {
	if errors.Is(err, memory.ErrAnswerLost) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		failure, status := platform.FailureOf(err)
		fail(writer, failure.Code, status, failure.Message)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// A caller that is gone is no concern of the store.
	_ = json.NewEncoder(writer).Encode(value)
}

func fail(writer http.ResponseWriter, code platform.FailureCode, status int, message string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(platform.Failure{Code: code, Message: message})
}
