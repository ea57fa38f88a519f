package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
	"github.com/shalefork/shalefork/internal/wire"
)

// awaitServing waits until every gateway has answered a request of every
// service, so that the measures do not count the start of the cell.
func (c *cluster) awaitServing(ctx context.Context) error {
	for _, address := range c.config.addresses(gatewayPort, gatewayCount) {
		for _, service := range c.first.Services {
			if err := c.awaitService(ctx, address, service); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) awaitService(ctx context.Context, address string, service bundle.Service) error {
	try := 0
	return await(ctx, service.Name+" through "+address, readyLimit, func(ctx context.Context) bool {
		try++
		// A name used before would be answered from the ledger.
		name := fmt.Sprintf("ready-%s-%s-%d-%d", address, service.Name, try, history.Now())
		request := load.NewRequest(service, address, load.Pull{}).WithContext(ctx)
		request.Header.Set(history.HeaderNonce, name)
		if !service.Repeatable {
			request.Header.Set(wire.HeaderIdempotencyKey, name)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}
