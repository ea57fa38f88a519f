package kv

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/platform"
	"github.com/shalefork/shalefork/internal/platform/memory"
)

// PathControl takes a Control by POST, and answers the store's counts to GET.
const PathControl = "/lab/control"

// Control changes the faults that are named and leaves the others.
type Control struct {
	Outage      *Outage      `json:"outage,omitempty"`
	Slow        *Slow        `json:"slow,omitempty"`
	LoseAnswers *LoseAnswers `json:"lose_answers,omitempty"`
	Rate        *Rate        `json:"rate,omitempty"`
	Machines    *Machines    `json:"machines,omitempty"`
}

// Outage makes all calls and watches fail.
type Outage struct {
	On bool `json:"on"`
	// For ends the outage by itself; zero means that it stays.
	For bundle.Duration `json:"for,omitempty"`
}

// Slow makes each call take at least Delay; zero ends it.
type Slow struct {
	Delay bundle.Duration `json:"delay"`
}

// LoseAnswers lets writes take effect without an answer.
type LoseAnswers struct {
	// Next writes lose their answers.
	Next int `json:"next,omitempty"`
	// Probability of any other write to lose its answer, in 0..1.
	Probability float64 `json:"probability,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

// Rate bounds the calls; PerSecond zero removes the bound.
type Rate struct {
	PerSecond float64 `json:"per_second"`
	Burst     int     `json:"burst"`
}

// Machines changes the machine list.
type Machines struct {
	// Lag, if given, delays these and later changes.
	Lag    *bundle.Duration   `json:"lag,omitempty"`
	Set    []platform.Machine `json:"set,omitempty"`
	Remove []string           `json:"remove,omitempty"`
}

// Check returns what is wrong with the message, nil for nothing.
func (c Control) Check() error {
	if c == (Control{}) {
		return errors.New("expected one of outage, slow, lose_answers, rate, machines")
	}
	if lose := c.LoseAnswers; lose != nil {
		if lose.Next < 0 || lose.Probability < 0 || lose.Probability > 1 {
			return errors.New("lose_answers: expected next of 0 or more and probability in 0..1")
		}
	}
	if c.Rate != nil && (c.Rate.PerSecond < 0 || (c.Rate.PerSecond > 0 && c.Rate.Burst < 1)) {
		return errors.New("rate: expected per_second of 0 or more and burst of 1 or more")
	}
	if c.Machines != nil {
		return c.Machines.check()
	}
	return nil
}

func (m Machines) check() error {
	for _, machine := range m.Set {
		if _, err := netip.ParseAddr(machine.Address); err != nil {
			return fmt.Errorf("machines.set: expected an IP number as address, found %q", machine.Address)
		}
		if machine.State != platform.MachineLive && machine.State != platform.MachineLeaving {
			return fmt.Errorf("machines.set: expected state live or leaving, found %q", machine.State)
		}
	}
	return nil
}

// Apply steers the store.
func (c Control) Apply(store *memory.Store) {
	if c.Outage != nil {
		c.Outage.apply(store)
	}
	if c.Slow != nil {
		store.SetDelay(c.Slow.Delay.Std())
	}
	if c.LoseAnswers != nil {
		store.LoseNextAnswers(c.LoseAnswers.Next)
		store.LoseAnswers(c.LoseAnswers.Probability, c.LoseAnswers.Seed)
	}
	if c.Rate != nil {
		store.LimitRate(c.Rate.PerSecond, c.Rate.Burst)
	}
	if c.Machines != nil {
		c.Machines.apply(store)
	}
}

func (o Outage) apply(store *memory.Store) {
	if o.On {
		store.StartOutage(o.For.Std())
		return
	}
	store.EndOutage()
}

func (m Machines) apply(store *memory.Store) {
	if m.Lag != nil {
		store.SetMachineLag(m.Lag.Std())
	}
	for _, machine := range m.Set {
		store.SetMachine(machine)
	}
	for _, address := range m.Remove {
		store.RemoveMachine(address)
	}
}

func (s *Server) control(writer http.ResponseWriter, request *http.Request) {
	var control Control
	if !decode(writer, request, &control) {
		return
	}
	if err := control.Check(); err != nil {
		fail(writer, platform.FailureMalformed, http.StatusBadRequest, err.Error())
		return
	}
	control.Apply(s.store)
	answer(writer, s.store.Counts(), nil)
}

func (s *Server) counts(writer http.ResponseWriter, _ *http.Request) {
	answer(writer, s.store.Counts(), nil)
}
