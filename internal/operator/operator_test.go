package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	testToken   = "0123456789abcdef"
	bundleFile  = "../../examples/tawila/bundle.yaml"
	nobodyThere = "127.0.0.1:1"
)

// console holds what a command wrote.
type console struct {
	result, complaint bytes.Buffer
}

func (c *console) output() Output {
	return Output{Result: &c.result, Complaint: &c.complaint}
}

func newIdentity(t *testing.T) Identity {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	made := &console{}
	assert.Equal(t, GenerateKey(made.output(), path), ExitOK)
	identity, err := LoadIdentity("salma", path)
	assert.NilError(t, err)
	return identity
}

// serve answers every call with a status and a body, and returns a client that
// first tries an address where nobody listens.
func serve(t *testing.T, status int, answer any, seen func(*http.Request)) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		seen(request)
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(answer)
	}))
	t.Cleanup(server.Close)
	return NewClient([]string{nobodyThere, strings.TrimPrefix(server.URL, "http://")}, testToken)
}

func ignore(*http.Request) {}

func TestKeyFileIsPrivateAndNeverOverwritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	made := &console{}
	assert.Equal(t, GenerateKey(made.output(), path), ExitOK)
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	assert.Equal(t, GenerateKey(made.output(), path), ExitInvalid)
	assert.NilError(t, os.Chmod(path, 0o640))
	_, err = LoadIdentity("salma", path)
	assert.ErrorContains(t, err, "can be read by others")
}

func TestWritesAreSignedOverPathAndBody(t *testing.T) {
	identity := newIdentity(t)
	client := serve(t, http.StatusOK, adminapi.BundleStatus{Team: "tawila", Version: 1, State: adminapi.StateProposed}, func(request *http.Request) {
		var signed adminapi.Signed
		assert.Check(t, json.NewDecoder(request.Body).Decode(&signed))
		message := append([]byte(adminapi.SignedPrefix+request.URL.Path+"\n"), signed.Body...)
		public := identity.Key.Public().(ed25519.PublicKey)
		assert.Check(t, ed25519.Verify(public, message, signed.Signature))
		assert.Check(t, request.Header.Get(peerauth.Header) == testToken)
	})
	shown := &console{}
	assert.Equal(t, Propose(context.Background(), shown.output(), client, identity, bundleFile), ExitOK, shown.complaint.String())
	golden.Assert(t, shown.result.String(), "proposed.golden")
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		code adminapi.FailureCode
		want ExitCode
	}{
		{adminapi.FailurePlatform, ExitUnreachable},
		{adminapi.FailureNoLeader, ExitUnreachable},
		{adminapi.FailureInvalid, ExitInvalid},
		{adminapi.FailureConflict, ExitRefused},
		{adminapi.FailureSameOperator, ExitRefused},
		{adminapi.FailureNotFound, ExitRefused},
	}
	for _, test := range cases {
		client := serve(t, http.StatusConflict, adminapi.Failure{Code: test.code, Message: "because", RetryAfter: 5}, ignore)
		shown := &console{}
		assert.Equal(t, BundleStatus(context.Background(), shown.output(), client, "tawila"), test.want)
		assert.Equal(t, shown.complaint.String(), string(test.code)+": because\ntry again in 5 s\n")
	}
	shown := &console{}
	assert.Equal(t, Status(context.Background(), shown.output(), NewClient([]string{nobodyThere}, testToken)), ExitUnreachable)
}

func TestLostAnswerOfAProposalIsNoConflict(t *testing.T) {
	read, problems := bundle.Read(bundleFile, golden.Get(t, "../"+bundleFile))
	assert.Equal(t, len(problems), 0)
	digest, err := bundle.Digest(read)
	assert.NilError(t, err)
	winner := &adminapi.BundleStatus{Team: "tawila", Version: 1, State: adminapi.StateProposed, Digest: digest, ProposedBy: "salma"}
	client := serve(t, http.StatusConflict, adminapi.Failure{Code: adminapi.FailureConflict, Winner: winner}, ignore)
	shown := &console{}
	identity := newIdentity(t)
	assert.Equal(t, Propose(context.Background(), shown.output(), client, identity, bundleFile), ExitOK)
	identity.Name = "youssef"
	assert.Equal(t, Propose(context.Background(), shown.output(), client, identity, bundleFile), ExitRefused)
	assert.Assert(t, strings.Contains(shown.complaint.String(), "version 1 by salma is proposed"))
}

func TestRollThatIsRefusedFails(t *testing.T) {
	refused := adminapi.BundleStatus{Team: "tawila", Version: 1, State: adminapi.StateRefused, Reason: "no-place"}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == adminapi.PathStatus {
			_ = json.NewEncoder(writer).Encode(adminapi.Status{Cell: "casablanca"})
			return
		}
		if request.URL.Path == adminapi.PathRoll {
			assert.Check(t, rollIn(t, request).Cell == "casablanca")
		}
		_ = json.NewEncoder(writer).Encode(refused)
	}))
	t.Cleanup(server.Close)
	client := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, testToken)
	roll := RollRequest{Team: "tawila", Version: 1, Wait: time.Minute}
	shown := &console{}
	assert.Equal(t, Roll(context.Background(), shown.output(), client, newIdentity(t), roll), ExitRefused)
	assert.Assert(t, strings.Contains(shown.result.String(), "no-place"))
}

func rollIn(t *testing.T, request *http.Request) adminapi.Roll {
	var signed adminapi.Signed
	var roll adminapi.Roll
	assert.Check(t, json.NewDecoder(request.Body).Decode(&signed))
	assert.Check(t, json.Unmarshal(signed.Body, &roll))
	return roll
}

func TestStatusTable(t *testing.T) {
	var status adminapi.Status
	assert.NilError(t, json.Unmarshal(golden.Get(t, "status.json"), &status))
	client := serve(t, http.StatusOK, status, ignore)
	shown := &console{}
	assert.Equal(t, Status(context.Background(), shown.output(), client), ExitOK)
	golden.Assert(t, shown.result.String(), "status.golden")
}

func TestStatusAsksTheLeaderAndNotAStandby(t *testing.T) {
	answer := func(group consensus.Status) string {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(writer).Encode(adminapi.Status{Group: group})
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	standby := answer(consensus.Status{Self: "s"})
	leader := answer(consensus.Status{Self: "m1", Leader: "m1"})
	group := consensus.Membership{Members: []consensus.Member{{ID: "m1", Address: leader}}}
	follower := answer(consensus.Status{Self: "m2", Leader: "m1", Membership: group})
	status, err := NewClient([]string{nobodyThere, standby, follower}, testToken).Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, status.Group.Self, wire.Incarnation("m1"))
	status, err = NewClient([]string{nobodyThere, standby}, testToken).Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, status.Group.Self, wire.Incarnation("s"))
}

func TestExamplesAreValid(t *testing.T) {
	for _, example := range []string{"tawila", "tweede-leven"} {
		directory := filepath.Join("..", "..", "examples", example)
		shown := &console{}
		assert.Equal(t, CheckConfig(shown.output(), filepath.Join(directory, "gateway.yaml"), RoleGateway), ExitOK, shown.complaint.String())
		assert.Equal(t, CheckConfig(shown.output(), filepath.Join(directory, "controller.yaml"), RoleController), ExitOK, shown.complaint.String())
		assert.Equal(t, CheckBundle(shown.output(), filepath.Join(directory, "bundle.yaml")), ExitOK, shown.complaint.String())
	}
	shown := &console{}
	assert.Equal(t, CheckConfig(shown.output(), bundleFile, RoleGateway), ExitInvalid)
	assert.Equal(t, CheckConfig(shown.output(), bundleFile, "cook"), ExitInvalid)
}
