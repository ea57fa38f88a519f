package ledgernode

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/shalefork/shalefork/internal/wire"
)

// maxMessageBytes bounds a message between gateways, an answer included.
const maxMessageBytes = wire.MaxLineBytes

// post sends a message to another process and decodes its answer.
func post[Response any](ctx context.Context, client *http.Client, address, path string, message any) (Response, error) {
	var decoded Response
	answer, err := open(ctx, client, address, path, message)
	if err != nil {
		return decoded, err
	}
	defer func() { _ = answer.Body.Close() }()
	body := http.MaxBytesReader(nil, answer.Body, maxMessageBytes)
	return decoded, Error.Wrap(json.NewDecoder(body).Decode(&decoded))
}

// open sends a message and returns the answer, whose body the caller closes.
func open(ctx context.Context, client *http.Client, address, path string, message any) (*http.Response, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		_ = answer.Body.Close()
		return nil, Error.New("%s%s answered %d", address, path, answer.StatusCode)
	}
	return answer, nil
}

// handle makes a handler of a function from message to answer.
func handle[Request, Response any](do func(context.Context, Request) Response) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		message, ok := decode[Request](writer, request)
		if !ok {
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(do(request.Context(), message))
	}
}

func decode[Request any](writer http.ResponseWriter, request *http.Request) (Request, bool) {
	var message Request
	body := http.MaxBytesReader(writer, request.Body, maxMessageBytes)
	if err := json.NewDecoder(body).Decode(&message); err != nil {
		http.Error(writer, "the message cannot be read", http.StatusBadRequest)
		return message, false
	}
	return message, true
}
