// Package worker is a stand-in of a server in tests: it takes fenced grants,
// runs requests in slots, and misbehaves on command.
//
// Everything that it runs is recorded with package history, at a collector
// outside of its process.
package worker

import (
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/phuslu/log"
	"github.com/zeebo/errs"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// Error is the class of errors of this package.
var Error = errs.Class("worker")

// Distribution says how service times spread round their mean.
type Distribution string

// Distributions of service times.
const (
	// DistributionFixed takes the mean each time.
	DistributionFixed Distribution = "fixed"
	// DistributionExponential is memoryless.
	DistributionExponential Distribution = "exponential"
	// DistributionLogNormal has a long tail: a standard deviation of 1 of the
	// logarithm.
	DistributionLogNormal Distribution = "log-normal"
)

// Config of a worker.
type Config struct {
	// Name is "team/service/backend".
	Name    bundle.ServerName    `validate:"required"`
	Listen  string               `validate:"required,hostname_port"`
	Cell    bundle.CellName      `validate:"required"`
	Service keyspace.ServiceName `validate:"required"`
	Zone    bundle.Zone          `validate:"required"`
	Token   string               `validate:"required,min=16"`
	Kind    bundle.Kind          `validate:"oneof=keyed pool"`
	// Repeatable marks the executions in the history.
	Repeatable bool
	// Slots is how many requests run at once; Queue is how many wait for one.
	Slots int `validate:"gte=1"`
	Queue int `validate:"gte=0"`
	// Connections is the most that it accepts.
	Connections int `validate:"gte=1"`
	// ServiceTime is the mean time that a request holds a slot.
	ServiceTime  time.Duration `validate:"gte=0"`
	Distribution Distribution  `validate:"oneof=fixed exponential log-normal"`
	// ColdStart is the time in which service times fall from ColdFactor times
	// the mean to the mean.
	ColdStart  time.Duration `validate:"gte=0"`
	ColdFactor float64       `validate:"gte=1"`
	// BodyBytes is the padding of an answer, unless the request asks for other.
	BodyBytes int64 `validate:"gte=0"`
	// History is the URL of a history.Collector; empty keeps it in memory.
	History string `validate:"omitempty,url"`
	// DrainTimeout bounds the drain at a stop; zero waits without end.
	DrainTimeout time.Duration `validate:"gte=0"`
	// Logger may be nil.
	Logger *log.Logger
}

// DefaultConfig returns what flags start from.
func DefaultConfig() Config {
	return Config{
		Kind:         bundle.KindKeyed,
		Slots:        2,
		Queue:        4,
		Connections:  130,
		ServiceTime:  5 * time.Millisecond,
		Distribution: DistributionExponential,
		ColdFactor:   1,
		BodyBytes:    256,
	}
}

// Validate returns an error of class Error that names each wrong field.
func (c Config) Validate() error {
	return Error.Wrap(validator.New(validator.WithRequiredStructEnabled()).Struct(c))
}
