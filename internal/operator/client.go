package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/zeebo/errs"
)

// Limits of one call to a controller.
const (
	callTimeout      = 10 * time.Second
	maxResponseBytes = 64 << 20
)

// ErrUnreachable says that no controller gave an answer.
var ErrUnreachable = errs.New("no controller answered")

// FailureError is a controller's refusal.
type FailureError struct {
	Failure adminapi.Failure
}

// Error returns the code and the message.
func (e *FailureError) Error() string {
	return string(e.Failure.Code) + ": " + e.Failure.Message
}

// Client calls the administration API at the first controller that answers.
type Client struct {
	controllers []string
	http        *http.Client
}

// NewClient returns a client of controllers, given as host:port. The token
// admits the client to the controllers' ports.
func NewClient(controllers []string, token string) *Client {
	transport := &http.Transport{Proxy: nil, DisableKeepAlives: true}
	return &Client{
		controllers: controllers,
		http: &http.Client{
			Transport: &peerauth.Transport{Token: token, Base: transport},
			Timeout:   callTimeout,
		},
	}
}

// Bundle returns the newest version of a team and its state.
func (c *Client) Bundle(ctx context.Context, team bundle.TeamName) (adminapi.BundleStatus, error) {
	var status adminapi.BundleStatus
	err := c.read(ctx, adminapi.PathBundle+"?"+teamQuery(team), &status)
	return status, err
}

// History returns all versions of a team that are kept.
func (c *Client) History(ctx context.Context, team bundle.TeamName) ([]adminapi.BundleStatus, error) {
	var versions []adminapi.BundleStatus
	err := c.read(ctx, adminapi.PathHistory+"?"+teamQuery(team), &versions)
	return versions, err
}

// Status returns the view of the group's leader, which alone knows the leases.
// If no leader answers, it returns the view of a controller that knows of one,
// or else that of any controller, such as a standby.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var best adminapi.Status
	last := error(ErrUnreachable)
	answered := false
	for _, address := range c.controllers {
		status, err := c.statusOf(ctx, address)
		if err != nil {
			last = err
			continue
		}
		leader, known := leaderOf(status.Group)
		if known {
			return c.statusFrom(ctx, leader, status), nil
		}
		if !answered {
			best = status
			answered = true
		}
	}
	if answered {
		return best, nil
	}
	return best, last
}

func (c *Client) statusOf(ctx context.Context, address string) (adminapi.Status, error) {
	var status adminapi.Status
	err := c.call(ctx, http.MethodGet, "http://"+address+adminapi.PathStatus, nil, &status)
	return status, err
}

// statusFrom returns the leader's view, or the follower's if the leader does
// not answer.
func (c *Client) statusFrom(ctx context.Context, leader string, follower adminapi.Status) adminapi.Status {
	if follower.Group.Self == follower.Group.Leader {
		return follower
	}
	status, err := c.statusOf(ctx, leader)
	if err != nil {
		return follower
	}
	return status
}

func leaderOf(group consensus.Status) (string, bool) {
	for _, member := range group.Membership.Members {
		if member.ID == group.Leader {
			return member.Address, true
		}
	}
	return "", false
}

func teamQuery(team bundle.TeamName) string {
	return url.Values{"team": {string(team)}}.Encode()
}

func (c *Client) read(ctx context.Context, path string, answer any) error {
	return c.callAny(ctx, http.MethodGet, path, nil, answer)
}

// write signs the JSON of message and posts it.
func (c *Client) write(ctx context.Context, identity Identity, path string, message, answer any) error {
	signed, err := sign(identity, path, message)
	if err != nil {
		return err
	}
	body, err := json.Marshal(signed)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.callAny(ctx, http.MethodPost, path, body, answer)
}

func sign(identity Identity, path string, message any) (adminapi.Signed, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return adminapi.Signed{}, Error.Wrap(err)
	}
	signable := append([]byte(adminapi.SignedPrefix+path+"\n"), body...)
	return adminapi.Signed{
		Operator:  identity.Name,
		Body:      body,
		Signature: ed25519.Sign(identity.Key, signable),
	}, nil
}

// callAny asks one controller after the other until one answers. A controller
// that knows no leader counts as one that did not answer.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, answer any) error {
	last := error(ErrUnreachable)
	for _, address := range c.controllers {
		err := c.call(ctx, method, "http://"+address+path, body, answer)
		if err == nil || !tryNext(err) {
			return err
		}
		last = err
	}
	return last
}

func tryNext(err error) bool {
	var failure *FailureError
	if errors.As(err, &failure) {
		return failure.Failure.Code == adminapi.FailureNoLeader
	}
	return errors.Is(err, ErrUnreachable)
}

func (c *Client) call(ctx context.Context, method, address string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errs.Combine(ErrUnreachable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errs.Combine(ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return failureFrom(response.StatusCode, data)
	}
	return Error.Wrap(json.Unmarshal(data, answer))
}

// failureFrom reads the failure in an answer; an answer without one comes from
// something else than a controller's administration API.
func failureFrom(status int, data []byte) error {
	var failure adminapi.Failure
	if err := json.Unmarshal(data, &failure); err != nil || failure.Code == "" {
		return Error.New("status %d: %s", status, bytes.TrimSpace(data))
	}
	return &FailureError{Failure: failure}
}
