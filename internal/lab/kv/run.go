package kv

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/shalefork/shalefork/internal/platform/memory"
)

// Error is the class of errors of this package.
var Error = errs.Class("lab kv")

// readHeaderTimeout ends connections that never send a request.
const readHeaderTimeout = 10 * time.Second

// Config of one stand-in.
type Config struct {
	// Listen is the address to serve on, as IP:PORT.
	Listen string
	// Listener, if set, is served instead of Listen.
	Listener net.Listener
	// Initial faults and machines; the zero value is none.
	Initial Control
	Log     *log.Logger
}

// Run serves until ctx ends. It returns nil after a stop that ctx asked for.
func Run(ctx context.Context, config Config) error {
	listener, err := listen(config)
	if err != nil {
		return Error.Wrap(err)
	}
	store := memory.New()
	config.Initial.Apply(store)
	server := &http.Server{
		Handler:           NewServer(store),
		ReadHeaderTimeout: readHeaderTimeout,
		// Watches end with ctx, so that they don't hold up the stop.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	config.Log.Info().Str("address", listener.Addr().String()).Msg("key-value stand-in serves")
	return serve(ctx, server, listener)
}

func listen(config Config) (net.Listener, error) {
	if config.Listener != nil {
		return config.Listener, nil
	}
	return net.Listen("tcp", config.Listen)
}

func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return Error.Wrap(err)
	})
	group.Go(func() error {
		<-groupCtx.Done()
		return Error.Wrap(server.Close())
	})
	return group.Wait()
}
