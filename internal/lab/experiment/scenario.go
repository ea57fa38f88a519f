package experiment

import (
	"embed"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

//go:embed scenarios/*.yaml
var builtIn embed.FS

// Scenario is one run's traffic and faults, read strictly from YAML.
type Scenario struct {
	Name string `yaml:"name" validate:"required"`
	// About says what the scenario shows.
	About      string `yaml:"about" validate:"required"`
	Deployment string `yaml:"deployment" validate:"required,oneof=tawila tweede-leven"`
	// Seed of the first run; further runs count on from it.
	Seed     int             `yaml:"seed" validate:"gte=0"`
	Duration bundle.Duration `yaml:"duration" validate:"required"`
	// MeasureFrom leaves out the time before it.
	MeasureFrom bundle.Duration `yaml:"measure_from"`
	// Load in rising order of time; levels between are interpolated.
	Load       []LoadPoint `yaml:"load" validate:"required,min=1,dive"`
	Popularity Popularity  `yaml:"popularity"`
	Events     []Event     `yaml:"events" validate:"dive"`
	// Slices that each partition of the keyed service starts with; zero means
	// as many as the deployment has.
	Slices int `yaml:"slices" validate:"gte=0,lte=4096"`
	// Variants to run; none means all.
	Variants []string `yaml:"variants"`
}

// LoadPoint sets the load level at a time; level 1 is the evening peak.
type LoadPoint struct {
	At    bundle.Duration `yaml:"at"`
	Level float64         `yaml:"level" validate:"gte=0,lte=3"`
}

// Popularity says how the keys share the traffic.
type Popularity struct {
	Keys int `yaml:"keys" validate:"gte=1,lte=100000"`
	// Skew is the exponent of the Zipf distribution.
	Skew float64 `yaml:"skew" validate:"gte=0,lte=2"`
	// ShiftEvery is how often ShiftShare of the keys change their rank.
	ShiftEvery bundle.Duration `yaml:"shift_every"`
	ShiftShare float64         `yaml:"shift_share" validate:"gte=0,lte=1"`
}

// EventKind names a change or a fault.
type EventKind string

// Kinds of events.
const (
	// EventHotKey gives Share of the keyed traffic to one key for Lasting.
	EventHotKey EventKind = "hot-key"
	// EventMachineLoss loses Server's machine without a sign for Lasting.
	EventMachineLoss EventKind = "machine-loss"
	// EventZoneLoss loses all machines of Zone for Lasting.
	EventZoneLoss EventKind = "zone-loss"
	// EventLeaderLoss loses the leading controller.
	EventLeaderLoss EventKind = "leader-loss"
	// EventReplacement drains and restarts each server of Service, one Each.
	EventReplacement EventKind = "rolling-replacement"
	// EventPlatformOutage keeps new bundle versions out for Lasting.
	EventPlatformOutage EventKind = "platform-outage"
	// EventBundle rolls the next bundle version.
	EventBundle EventKind = "bundle"
	// EventShed makes Server refuse Share of its requests for Lasting.
	EventShed EventKind = "shed"
	// EventSlow makes Server slower by Factor for Lasting.
	EventSlow EventKind = "slow"
	// EventLie makes Server report no load for Lasting.
	EventLie EventKind = "lie"
	// EventLag makes the reports of all servers of Service older by Lag.
	EventLag EventKind = "lag"
)

// Event is one change at a time. Which fields count depends on the kind.
type Event struct {
	At      bundle.Duration `yaml:"at"`
	Kind    EventKind       `yaml:"kind" validate:"required,oneof=hot-key machine-loss zone-loss leader-loss rolling-replacement platform-outage bundle shed slow lie lag"`
	Lasting bundle.Duration `yaml:"lasting"`
	// Server and Service are short names, such as availability-03.
	Server  string          `yaml:"server"`
	Service string          `yaml:"service"`
	Zone    bundle.Zone     `yaml:"zone"`
	Share   float64         `yaml:"share" validate:"gte=0,lte=1"`
	Factor  float64         `yaml:"factor" validate:"gte=0"`
	Each    bundle.Duration `yaml:"each"`
	Lag     bundle.Duration `yaml:"lag"`
}

// readScenarios reads the files, or the built-in scenarios if there are none.
func readScenarios(files []string) ([]Scenario, error) {
	var scenarios []Scenario
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		scenario, err := parseScenario(file, data)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	if len(files) > 0 {
		return scenarios, nil
	}
	return readBuiltIn()
}

func readBuiltIn() ([]Scenario, error) {
	entries, err := builtIn.ReadDir("scenarios")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var scenarios []Scenario
	for _, entry := range entries {
		data, err := builtIn.ReadFile("scenarios/" + entry.Name())
		if err != nil {
			return nil, Error.Wrap(err)
		}
		scenario, err := parseScenario(entry.Name(), data)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

func parseScenario(file string, data []byte) (Scenario, error) {
	var scenario Scenario
	problems := strictyaml.Read(file, data, &scenario, func() []strictyaml.Problem {
		found := strictyaml.NewValidator().Check(scenario)
		return append(found, scenario.check()...)
	})
	if len(problems) > 0 {
		return Scenario{}, Error.New("%s", strictyaml.Format(problems))
	}
	return scenario, nil
}

// check finds what single fields do not show.
func (s Scenario) check() []strictyaml.Problem {
	var problems []strictyaml.Problem
	for i := 1; i < len(s.Load); i++ {
		if s.Load[i].At <= s.Load[i-1].At {
			problems = append(problems, strictyaml.Problem{
				Field:   fmt.Sprintf("load[%d].at", i),
				Message: "is not after the point before it",
			})
		}
	}
	for i, event := range s.Events {
		if message := s.checkEvent(event); message != "" {
			problems = append(problems, strictyaml.Problem{Field: fmt.Sprintf("events[%d].kind", i), Message: message})
		}
	}
	return problems
}

// checkEvent returns what is wrong with an event, empty for nothing.
func (s Scenario) checkEvent(event Event) string {
	d := deployments[s.Deployment]
	switch event.Kind {
	case EventMachineLoss, EventShed, EventSlow, EventLie:
		if !d.hasServer(event.Server) {
			return "needs a server of the deployment"
		}
	case EventReplacement, EventLag:
		if !d.hasService(event.Service) {
			return "needs a service of the deployment"
		}
	case EventZoneLoss:
		if !slices.Contains(d.zones, event.Zone) {
			return "needs a zone of the deployment"
		}
	}
	return ""
}

func (d deployment) hasService(name string) bool {
	return slices.ContainsFunc(d.workloads, func(w workload) bool { return w.name == name })
}

func (d deployment) hasServer(name string) bool {
	for _, described := range d.bundle(1, allMechanisms()).Services {
		for _, backend := range described.Backends {
			if backend.Name == name {
				return true
			}
		}
	}
	return false
}

// level returns the load level at a time.
func (s Scenario) level(at time.Duration) float64 {
	before := s.Load[0]
	for _, point := range s.Load {
		if point.At.Std() > at {
			span := float64(point.At - before.At)
			if span <= 0 {
				return point.Level
			}
			part := float64(at-before.At.Std()) / span
			return before.Level + part*(point.Level-before.Level)
		}
		before = point
	}
	return before.Level
}
