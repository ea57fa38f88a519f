package peerlink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/routing"
)

func TestLinesRoundTrip(t *testing.T) {
	near, far := net.Pipe()
	sent := Hello{Node: "r1", Term: 7}
	go func() {
		_ = writeLine(near, sent)
		_ = near.Close()
	}()
	reader := bufio.NewReader(far)
	var got Hello
	assert.NilError(t, readLine(reader, &got))
	assert.DeepEqual(t, got, sent)
	assert.Assert(t, errors.Is(readLine(reader, &got), io.EOF))
}

func TestLineOverTheLimitIsRejected(t *testing.T) {
	line := `"` + strings.Repeat("a", maxLine) + "\"\n"
	var got string
	assert.Assert(t, readLine(bufio.NewReader(strings.NewReader(line)), &got) != nil)
	long := `"` + strings.Repeat("a", maxLine/2) + `"`
	assert.NilError(t, readLine(bufio.NewReader(strings.NewReader(long+"\n")), &got))
	assert.Equal(t, len(got), maxLine/2)
}

// A process without requests, as all are at first, was considered lost because it sent no reports:
// its link was closed, and with it the links of its followers.
func TestIdleFollowerSendsEmptyReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		follower := Follower{TakeReport: func() Report { return Report{} }}
		done := make(chan struct{})
		go follower.report(near, &atomic.Int32{}, done)
		reader := bufio.NewReader(far)
		for range 5 {
			began := time.Now()
			var report Report
			assert.NilError(t, readLine(reader, &report))
			assert.Assert(t, time.Since(began) <= reportSilence/3, "%v", time.Since(began))
		}
		close(done)
	})
}

// FuzzReadLine checks that no input makes readLine panic.
func FuzzReadLine(f *testing.F) {
	f.Add([]byte(`{"l":true,"t":3,"s":[{"s":"tables","r":[[0,9,0,1]]}]}` + "\n"))
	f.Add([]byte(`{"l":`))
	f.Add([]byte("\n\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for {
			var update Update
			if err := readLine(reader, &update); errors.Is(err, io.EOF) || errors.Is(err, bufio.ErrBufferFull) {
				return
			}
		}
	})
}

// FuzzFollow checks that followers don't panic on any input from a leader or a relay, as one
// invalid line would otherwise end all of them.
func FuzzFollow(f *testing.F) {
	f.Add([]byte(`{"l":true,"t":3,"s":[{"s":"tables","w":true,"i":[{"i":"w1","a":"x"}],"r":[[0,9,0,1],[8,-3,0,0]]}]}` + "\n"))
	f.Add([]byte(`{"l":true,"t":3,"z":[{"s":"tables","w":true,"k":{"from":0,"to":9},"i":[{"i":"w1","a":"x"}],"r":[[0,9,0,1]]}]}` + "\n"))
	f.Add([]byte(`{"l":true,"t":3,"z":[{"s":"tables","m":true,"p":"AAAA"}],"g":{"t":2,"w":true,"n":"a","l":"b","m":true,"p":"AAAA"}}` + "\n"))
	f.Add([]byte(`{"l":true,"x":"AAAA"}` + "\n"))
	f.Add([]byte(`{"l":true,"q":"AAAA","e":{"f":1,"t":2,"p":"AAAA"},"c":{"r":1,"p":"AAAA"},"y":{"s":[{"r":"AAAA"}]}}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = near.Write(data)
			_ = near.Close()
		}()
		table := keytable.New()
		view := quarantine.NewView()
		hub := NewHub("process", nil, func() ReadState { return ReadState{} })
		follower := Follower{
			Table: table, Nodes: &atomic.Int32{}, OnFirstUpdate: func() {}, OnLeadershipUncertain: func() {}, OnOwnersApplied: func(routing.ServiceName) {},
			KeepFollowing: func(Update) bool { return true },
			OnUpdate: func(update Update) {
				for _, entries := range []*EntryChanges{update.Entries, update.Page} {
					if entries != nil {
						_, _ = entries.Decode(time.Unix(1000, 0))
					}
				}
				if update.Config != nil {
					_, _ = update.Config.Items()
				}
				if update.Delegation != nil {
					for _, holds := range update.Delegation.Services {
						_, _ = holds.Holds()
					}
				}
				if changes, included, _ := update.DecodeSuspects(); included {
					view.HandleUpdate(time.Unix(1000, 0), hub.ApplySuspects(changes))
				}
			},
		}
		assert.Assert(t, follower.receive(far, &atomic.Int32{}) != nil)
		for _, key := range []int{0, 9, 65535} {
			table.Lookup("tables", key)
		}
	})
}
