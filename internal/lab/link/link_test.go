package link

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const responseBody = "an answer that is longer than what is passed of one that is truncated"

func newLink(t *testing.T) (*Link, *http.Client) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, responseBody)
	}))
	t.Cleanup(server.Close)
	link, err := New("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	return link, &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
}

// get sends a request through the link. It fails unless the whole response arrives.
func get(link *Link, client *http.Client) error {
	response, err := client.Get("http://" + link.Address())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err == nil && string(content) != responseBody {
		return fmt.Errorf("got %q", content)
	}
	return err
}

func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault Fault
		// openWorks and newWorks tell whether a response arrives on the connection that is open
		// when the fault is set, and on a new one.
		openWorks, newWorks bool
	}{
		"none":      {fault: NoFault, openWorks: true, newWorks: true},
		"delays":    {fault: Delays, openWorks: true, newWorks: true},
		"silences":  {fault: BlocksTraffic},
		"deafens":   {fault: BlocksResponses},
		"mutes":     {fault: BlocksRequests},
		"strands":   {fault: BlocksExisting, newWorks: true},
		"resets":    {fault: ResetsConnections},
		"truncates": {fault: TruncatesResponses},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			link, client := newLink(t)
			assert.NilError(t, get(link, client))
			link.SetFault(c.fault)
			assert.Equal(t, get(link, client) == nil, c.openWorks)
			client.CloseIdleConnections()
			assert.Equal(t, get(link, client) == nil, c.newWorks)
			link.SetFault(NoFault)
			client.CloseIdleConnections()
			assert.NilError(t, get(link, client))
		})
	}
}

// Bytes on a shared bandwidth queue: the last of several bodies waits for all earlier ones.
func TestLinksShareBandwidth(t *testing.T) {
	const bytesPerSecond = 64 << 10
	bandwidth := NewBandwidth(bytesPerSecond)
	start := time.Now()
	assert.Equal(t, bandwidth.reserve(start, bytesPerSecond/2), start.Add(time.Second/2))
	assert.Equal(t, bandwidth.reserve(start, bytesPerSecond/2), start.Add(time.Second))
	assert.Equal(t, bandwidth.QueueDelay(start.Add(300*time.Millisecond)), 700*time.Millisecond)
	assert.Equal(t, bandwidth.reserve(start.Add(2*time.Second), bytesPerSecond), start.Add(3*time.Second))
	link, client := newLink(t)
	link.SetBandwidth(nil, NewBandwidth(1000))
	began := time.Now()
	assert.NilError(t, get(link, client))
	assert.Assert(t, time.Since(began) >= time.Duration(len(responseBody))*time.Millisecond)
}

// A fault of one origin's connections does not affect those of others.
func TestFaultsByOrigin(t *testing.T) {
	for name, c := range map[string]struct {
		fault           Fault
		affected, other bool
	}{
		"none":     {fault: NoFault, affected: true, other: true},
		"silences": {fault: BlocksTraffic, other: true},
		"deafens":  {fault: BlocksResponses, other: true},
		"mutes":    {fault: BlocksRequests, other: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			link, affected := newLink(t)
			other := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
			origins := make(chan string, 2)
			origins <- "struck"
			origins <- "other"
			link.SetOriginLookup(func(_, _ netip.AddrPort) string { return <-origins })
			link.SetOriginFault("third", BlocksTraffic) // makes new connections wait for their origin
			link.SetOriginBandwidth("other", nil, NewBandwidth(10000))
			assert.NilError(t, get(link, affected))
			began := time.Now()
			assert.NilError(t, get(link, other))
			assert.Assert(t, time.Since(began) >= time.Duration(len(responseBody))*time.Millisecond/10)
			link.SetOriginFault("struck", c.fault)
			assert.Equal(t, get(link, other) == nil, c.other)
			assert.Equal(t, get(link, affected) == nil, c.affected)
		})
	}
}
