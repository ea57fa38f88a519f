package demo

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
)

// drainLimit is how long a gateway may take to end once it is asked to.
const drainLimit = 8 * time.Second

// drainNonce names the slow pull during the drain.
const drainNonce = "pull-during-drain"

// drainGateway asks the last gateway to stop while it sends a slow body, and
// checks that the body arrives whole and that the gateway ends by itself.
func (c *cluster) drainGateway(ctx context.Context) error {
	response, err := c.beginPull(ctx)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// The first line has come, so the pull is in flight; its end has not.
	reader := bufio.NewReader(response.Body)
	if _, err := reader.Peek(1); err != nil {
		return Error.New("the slow pull did not begin: %v", err)
	}
	gateway := c.gateways[gatewayCount-1]
	if err := gateway.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	body, err := history.ReadBody(reader)
	if err != nil || body.Received != pullBytes || body.Nonce != drainNonce {
		return Error.New("the stop of a gateway cut a slow pull: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	if err := gateway.Wait(ctx); err != nil {
		return Error.New("the gateway did not stop cleanly: %v", err)
	}
	return nil
}

// beginPull asks the last gateway for a slow body, again while it is refused.
func (c *cluster) beginPull(ctx context.Context) (*http.Response, error) {
	service, err := c.pulled()
	if err != nil {
		return nil, err
	}
	var response *http.Response
	err = await(ctx, "the slow pull to begin", readyLimit, func(ctx context.Context) bool {
		request := load.NewRequest(service, c.config.address(gatewayPort+gatewayCount-1), load.Pull{
			Bytes:  pullBytes,
			Stream: c.pullStream(),
		})
		request.Header.Set(history.HeaderNonce, drainNonce)
		// The pull outlives the wait for its beginning.
		response, err = http.DefaultClient.Do(request.WithContext(context.WithoutCancel(ctx)))
		if err != nil {
			return false
		}
		if response.StatusCode == http.StatusOK {
			return true
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return false
	})
	return response, err
}

// pulled returns the service that slow bodies are pulled from.
func (c *cluster) pulled() (bundle.Service, error) {
	service, found := load.PullService(c.first)
	if !found {
		return service, Error.New("the bundle has no service to pull from")
	}
	return service, nil
}
