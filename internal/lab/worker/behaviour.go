package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/shalefork/shalefork/internal/bundle"
)

// PathControl takes a Change by POST and answers the Behaviour after it; GET
// answers the present one.
const PathControl = "/lab/control"

// Corruption is a way to spoil an answer.
type Corruption string

// Corruptions of answers. All come after the effect was kept.
const (
	CorruptNothing Corruption = "none"
	// CorruptLate answers CorruptDelay later, whatever the deadline.
	CorruptLate Corruption = "late"
	// CorruptCrossed answers with another request's id and body.
	CorruptCrossed Corruption = "crossed"
	// CorruptShort declares the whole length and sends half of it.
	CorruptShort Corruption = "short"
	// CorruptDoubled sends the answer twice on the connection.
	CorruptDoubled Corruption = "doubled"
	// CorruptEndless sends a body that never ends.
	CorruptEndless Corruption = "endless"
)

// Health is what a health endpoint says.
type Health string

// Health states. HealthTrue in a Behaviour means to tell the truth.
const (
	HealthTrue     Health = "true"
	HealthOK       Health = "ok"
	HealthDraining Health = "draining"
	HealthFailing  Health = "failing"
)

// Behaviour is how a worker behaves.
type Behaviour struct {
	// ServiceTime replaces the mean service time.
	ServiceTime bundle.Duration `json:"service_time" validate:"gte=0"`
	// Shed is the share of requests refused as overloaded.
	Shed float64 `json:"shed" validate:"gte=0,lte=1"`
	// Health is what the health endpoint claims, HealthLag how old it is.
	Health    Health          `json:"health" validate:"oneof=true ok draining failing"`
	HealthLag bundle.Duration `json:"health_lag" validate:"gte=0"`
	// LoadLag is how old the load endpoint's figures are; LoadClaim, when not
	// negative, is the load that is claimed instead.
	LoadLag   bundle.Duration `json:"load_lag" validate:"gte=0"`
	LoadClaim int             `json:"load_claim" validate:"gte=-1"`
	// Connections is the most that are accepted.
	Connections int `json:"connections" validate:"gte=1"`
	// IgnoreFences runs every request whatever the grants say. It breaks the
	// rule on purpose, to show that the checker sees it.
	IgnoreFences bool `json:"ignore_fences"`
	// Corruption spoils CorruptShare of the answers.
	Corruption   Corruption      `json:"corruption" validate:"oneof=none late crossed short doubled endless"`
	CorruptShare float64         `json:"corrupt_share" validate:"gte=0,lte=1"`
	CorruptDelay bundle.Duration `json:"corrupt_delay" validate:"gte=0"`
}

// Change is what a control request sets; absent fields stay as they are.
type Change struct {
	*Behaviour
	// Freeze stops the worker from taking or answering anything for a time,
	// after which it goes on as if nothing had happened.
	Freeze bundle.Duration `json:"freeze" validate:"gte=0"`
	// Cold starts the time of slow answers again.
	Cold bool `json:"cold"`
}

// controls holds the behaviour of a running worker.
type controls struct {
	mu        sync.Mutex
	behaviour Behaviour
	// drainingSince is zero before the drain.
	drainingSince time.Time
	check         *validator.Validate
	// freeze and cold carry out the one-time parts of a change.
	freeze func(time.Duration)
	cold   func()
}

func newControls(config Config) *controls {
	return &controls{
		check: validator.New(validator.WithRequiredStructEnabled()),
		behaviour: Behaviour{
			ServiceTime: bundle.Duration(config.ServiceTime),
			Health:      HealthTrue,
			LoadClaim:   -1,
			Connections: config.Connections,
			Corruption:  CorruptNothing,
		},
	}
}

func (c *controls) current() Behaviour {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behaviour
}

func (c *controls) noteDraining(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince = now
}

// health is the claim, or the truth as it was HealthLag ago.
func (c *controls) health(now time.Time) Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behaviour.Health != HealthTrue {
		return c.behaviour.Health
	}
	seen := now.Add(-c.behaviour.HealthLag.Std())
	if c.drainingSince.IsZero() || seen.Before(c.drainingSince) {
		return HealthOK
	}
	return HealthDraining
}

// ServeHTTP answers control requests.
func (c *controls) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var change Change
	switch request.Method {
	case http.MethodGet:
	case http.MethodPost:
		var err error
		change, err = c.apply(request.Body)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.Error(writer, "control takes GET and POST", http.StatusMethodNotAllowed)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(c.current())
	// The answer goes out before a freeze can hold it back.
	_ = http.NewResponseController(writer).Flush()
	c.once(change)
}

// once carries out the one-time parts of a change.
func (c *controls) once(change Change) {
	if change.Cold {
		c.cold()
	}
	if change.Freeze > 0 {
		c.freeze(change.Freeze.Std())
	}
}

// apply changes nothing unless the whole change is valid.
func (c *controls) apply(body io.Reader) (Change, error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.behaviour
	change := Change{Behaviour: &next}
	if err := decoder.Decode(&change); err != nil {
		return Change{}, Error.Wrap(err)
	}
	if err := c.check.Struct(change); err != nil {
		return Change{}, Error.Wrap(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Change{}, Error.New("more than one JSON value")
	}
	c.behaviour = next
	return change, nil
}
