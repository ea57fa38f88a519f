package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// jsonCall is one request of JSON to another process, answered with JSON.
type jsonCall struct {
	url      string
	body     any
	answer   any
	limit    int64
	deadline time.Duration
	header   http.Header
}

// postJSON sends the call's body and decodes an answer of status 200.
func (c *Controller) postJSON(ctx context.Context, call jsonCall) error {
	encoded, err := json.Marshal(call.body)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.doJSON(ctx, http.MethodPost, call, bytes.NewReader(encoded))
}

// getJSON decodes an answer of status 200.
func (c *Controller) getJSON(ctx context.Context, call jsonCall) error {
	return c.doJSON(ctx, http.MethodGet, call, http.NoBody)
}

func (c *Controller) doJSON(ctx context.Context, method string, call jsonCall, body io.Reader) error {
	ctx, cancel := context.WithTimeout(ctx, call.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, call.url, body)
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("User-Agent", "")
	for name, values := range call.header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Error.New("%s answered %s", call.url, response.Status)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(response.Body, call.limit)).Decode(call.answer))
}
