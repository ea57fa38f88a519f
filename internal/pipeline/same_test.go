package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tell answers with what the server has taken the request for.
func tell(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	text := fmt.Sprintf("%s %s %s %q", request.Method, request.Host, request.RequestURI, body)
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writer.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(writer, text)
}

// last ends what is sent, so that the server closes the connection.
const last = "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// answersOf sends bytes to a server and returns its answers, as far as they come.
func answersOf(t *testing.T, address string, sent []byte) []string {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(200 * time.Millisecond))
	go func() { _, _ = connection.Write(append(append([]byte(nil), sent...), last...)) }()
	var answers []string
	reader := bufio.NewReader(connection)
	for {
		method := http.MethodGet
		got, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return answers
		}
		body, _ := io.ReadAll(got.Body)
		answers = append(answers, fmt.Sprint(got.StatusCode, " ", string(body)))
	}
}

// Rows in which the end of a request could be seen in two ways, and such as are no requests at all.
var oddRows = map[string]string{
	"plain":                 get("/1") + get("/2") + get("/3"),
	"a body":                get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/3"),
	"two lengths":           get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n" + get("/3"),
	"equal lengths":         get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + get("/3"),
	"length and chunks":     get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/3"),
	"chunks":                get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/3"),
	"odd chunks":            get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n" + get("/3"),
	"a length of spaces":    get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\n" + get("/3"),
	"a length with a sign":  get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc" + get("/3"),
	"a name with a space":   get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc" + get("/3"),
	"a folded header":       get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nX: y\r\n Content-Length: 3\r\n\r\nabc" + get("/3"),
	"bare line feeds":       get("/1") + "GET /2 HTTP/1.1\nHost: a\n\n" + get("/3"),
	"a bare line feed":      get("/1") + "GET /2 HTTP/1.1\r\nHost: a\nContent-Length: 3\r\n\r\nabc" + get("/3"),
	"a bare return":         get("/1") + "GET /2 HTTP/1.1\r\nHost: a\rContent-Length: 3\r\n\r\nabc" + get("/3"),
	"no host":               get("/1") + "GET /2 HTTP/1.1\r\n\r\n" + get("/3"),
	"two hosts":             get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" + get("/3"),
	"an odd host":           get("/1") + "GET /2 HTTP/1.1\r\nHost: a b\r\n\r\n" + get("/3"),
	"a whole target":        get("/1") + "GET http://b/2 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/3"),
	"an old version":        get("/1") + "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n" + get("/3"),
	"another version":       get("/1") + "GET /2 HTTP/2.0\r\nHost: a\r\n\r\n" + get("/3"),
	"an empty line":         get("/1") + "\r\n" + get("/2") + get("/3"),
	"only an empty line":    "\r\n\r\n" + get("/2"),
	"an empty line at post": "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc\r\n" + get("/2"),
	"spaces in the target":  get("/1") + "GET /2 x HTTP/1.1\r\nHost: a\r\n\r\n" + get("/3"),
	"a zero in a header":    get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n" + get("/3"),
	"an odd method":         get("/1") + "G@T /2 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/3"),
	"closes":                get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/3"),
	"an upgrade":            get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + get("/3"),
	"an early end":          get("/1") + "GET /2 HTTP/1.1\r\nHo",
	"options":               get("/1") + "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" + get("/3"),
	"a long head":           get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\n" + get("/3"),
	"a huge head":           get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n" + get("/3"),
}

// Whatever comes, the connections answer as net/http's server does that reads one request
// after the other.
func TestOddRowsAreAnsweredAsByNetHTTP(t *testing.T) {
	plain := httptest.NewServer(http.HandlerFunc(tell))
	t.Cleanup(plain.Close)
	s := serve(t, usual, tell)
	for name, row := range oddRows {
		t.Run(name, func(t *testing.T) {
			want := answersOf(t, strings.TrimPrefix(plain.URL, "http://"), []byte(row))
			assert.DeepEqual(t, answersOf(t, s.address, []byte(row)), want)
		})
	}
}

// FuzzRows looks for bytes that the connections read otherwise than net/http's server.
func FuzzRows(f *testing.F) {
	for _, row := range oddRows {
		if len(row) < 1000 {
			f.Add([]byte(row))
		}
	}
	plain := httptest.NewServer(http.HandlerFunc(tell))
	f.Cleanup(plain.Close)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	splitter, server := New(http.HandlerFunc(tell), usual), &http.Server{}
	splitter.Attach(server)
	go func() { _ = server.Serve(splitter.Listen(inner)) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(t *testing.T, row []byte) {
		want := answersOf(t, strings.TrimPrefix(plain.URL, "http://"), row)
		assert.DeepEqual(t, answersOf(t, inner.Addr().String(), row), want)
	})
}
