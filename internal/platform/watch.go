package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// watchSilence is how long a watch hears nothing before it gives up.
const watchSilence = 3 * WatchHeartbeat

var errSilent = errors.New("watch stream is silent")

// Watch implements Store. The stream ends with ErrUnavailable when ctx ends,
// the service fails, or nothing is heard for three heartbeats; with
// ErrCompacted when the service has forgotten changes after from.
func (c *Client) Watch(ctx context.Context, prefix string, from Revision, handle func(Event)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(watchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	query := url.Values{"prefix": {prefix}, "from": {strconv.FormatUint(uint64(from), 10)}}
	response, err := c.send(ctx, http.MethodGet, PathWatch+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := wire.NewLineReader(response.Body)
	for {
		var line WatchLine
		if err := lines.Read(&line); err != nil {
			return watchError(ctx, err)
		}
		silence.Reset(watchSilence)
		if line.Failure != nil {
			return line.Failure.Err()
		}
		if line.Event != nil {
			handle(*line.Event)
		}
	}
}

func watchError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return unavailable(cause)
	}
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: watch stream ended", ErrUnavailable)
	}
	return unavailable(err)
}
