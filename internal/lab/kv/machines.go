package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/shalefork/shalefork/internal/platform"
)

// maxFailureBytes bounds what is read of a refusal.
const maxFailureBytes = 4096

// Steer sends a control message to the stand-in at baseURL.
func Steer(ctx context.Context, client *http.Client, baseURL string, control Control) error {
	body, err := json.Marshal(control)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+PathControl, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	complaint, _ := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
	return Error.New("the stand-in answered %s: %s", response.Status, bytes.TrimSpace(complaint))
}

// ParseMachine reads a machine as ADDRESS=STATE or ADDRESS=STATE@ZONE, where the
// state is live or leaving. The machine is named by its address.
func ParseMachine(text string) (platform.Machine, error) {
	address, rest, found := strings.Cut(text, "=")
	if !found {
		return platform.Machine{}, Error.New("expected ADDRESS=STATE or ADDRESS=STATE@ZONE, found %q", text)
	}
	state, zone, _ := strings.Cut(rest, "@")
	machine := platform.Machine{Address: address, Name: address, Zone: zone, State: platform.MachineState(state)}
	return machine, Error.Wrap(Machines{Set: []platform.Machine{machine}}.check())
}
