package controller

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/adminapi"
)

// brokenWriter takes a part of one write and then fails, as a connection does
// whose reader goes away.
type brokenWriter struct {
	header http.Header
	writes int
}

func (w *brokenWriter) Header() http.Header { return w.header }

func (w *brokenWriter) WriteHeader(int) {}

func (w *brokenWriter) Write(body []byte) (int, error) {
	w.writes++
	return len(body) / 2, errors.New("the reader is gone")
}

// TestStatusIsAnsweredOnce: an answer that could not be passed back whole must
// not be followed by a second one on the same connection.
func TestStatusIsAnsweredOnce(t *testing.T) {
	runSession(t, func(s *session) {
		s.bootCell(4)
		request := httptest.NewRequest(http.MethodGet, adminapi.PathStatus, nil)
		writer := &brokenWriter{header: http.Header{}}
		s.standby().Handler().ServeHTTP(writer, request)
		assert.Equal(t, writer.writes, 1)
	})
}
