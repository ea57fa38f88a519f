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

const body = "an answer that is longer than what is passed of one that is truncated"

func newLink(t *testing.T) (*Link, *http.Client) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, body)
	}))
	t.Cleanup(server.Close)
	link, err := New("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	return link, &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
}

// ask returns whether a whole answer came.
func ask(link *Link, client *http.Client) error {
	response, err := client.Get("http://" + link.Address())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err == nil && string(content) != body {
		return fmt.Errorf("got %q", content)
	}
	return err
}

func TestHarms(t *testing.T) {
	for name, c := range map[string]struct {
		harm Fault
		// kept and fresh say that an answer comes on the connection that there was, and on a
		// new one.
		kept, fresh bool
	}{
		"none":      {harm: NoFault, kept: true, fresh: true},
		"delays":    {harm: Delays, kept: true, fresh: true},
		"silences":  {harm: BlocksTraffic},
		"deafens":   {harm: BlocksResponses},
		"mutes":     {harm: BlocksRequests},
		"strands":   {harm: BlocksExisting, fresh: true},
		"resets":    {harm: ResetsConnections},
		"truncates": {harm: TruncatesResponses},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			link, client := newLink(t)
			assert.NilError(t, ask(link, client))
			link.SetFault(c.harm)
			assert.Equal(t, ask(link, client) == nil, c.kept)
			client.CloseIdleConnections()
			assert.Equal(t, ask(link, client) == nil, c.fresh)
			link.SetFault(NoFault)
			client.CloseIdleConnections()
			assert.NilError(t, ask(link, client))
		})
	}
}

// What links share takes its turn: the last of several bodies has waited for all of them.
func TestLinksShareARate(t *testing.T) {
	const perSecond = 64 << 10
	rate := NewBandwidth(perSecond)
	start := time.Now()
	assert.Equal(t, rate.take(start, perSecond/2), start.Add(time.Second/2))
	assert.Equal(t, rate.take(start, perSecond/2), start.Add(time.Second))
	assert.Equal(t, rate.QueueDelay(start.Add(300*time.Millisecond)), 700*time.Millisecond)
	assert.Equal(t, rate.take(start.Add(2*time.Second), perSecond), start.Add(3*time.Second))
	link, client := newLink(t)
	link.SetBandwidth(nil, NewBandwidth(1000))
	began := time.Now()
	assert.NilError(t, ask(link, client))
	assert.Assert(t, time.Since(began) >= time.Duration(len(body))*time.Millisecond)
}

// What is done to the connections of one leaves those of others as they are.
func TestHarmsByWhoAsks(t *testing.T) {
	for name, c := range map[string]struct {
		harm          Fault
		struck, other bool
	}{
		"none":     {harm: NoFault, struck: true, other: true},
		"silences": {harm: BlocksTraffic, other: true},
		"deafens":  {harm: BlocksResponses, other: true},
		"mutes":    {harm: BlocksRequests, other: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			link, struck := newLink(t)
			other := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
			origins := make(chan string, 2)
			origins <- "struck"
			origins <- "other"
			link.SetOriginLookup(func(_, _ netip.AddrPort) string { return <-origins })
			link.SetOriginFault("third", BlocksTraffic) // from now on connections wait until it is known who asks
			link.SetOriginBandwidth("other", nil, NewBandwidth(10000))
			assert.NilError(t, ask(link, struck))
			began := time.Now()
			assert.NilError(t, ask(link, other))
			assert.Assert(t, time.Since(began) >= time.Duration(len(body))*time.Millisecond/10)
			link.SetOriginFault("struck", c.harm)
			assert.Equal(t, ask(link, other) == nil, c.other)
			assert.Equal(t, ask(link, struck) == nil, c.struck)
		})
	}
}
