package lifecycle

import (
	"fmt"
)

// OutcomeKind says what a step did.
type OutcomeKind string

// Kinds of outcomes.
const (
	// Changed: the head that was given back must be written.
	Changed OutcomeKind = "changed"
	// Unchanged: the same step by the same operator was done before, as after
	// a lost answer. It is a success.
	Unchanged OutcomeKind = "unchanged"
	// Conflict: the version is not the next one, or stands for other content.
	Conflict OutcomeKind = "conflict"
	// WrongState: the version is not in the state that the step starts from.
	WrongState OutcomeKind = "wrong-state"
	// SameOperator: the proposer can't approve.
	SameOperator OutcomeKind = "same-operator"
	// NotFound: the head does not remember the version.
	NotFound OutcomeKind = "not-found"
)

// Outcome of one step.
type Outcome struct {
	Kind OutcomeKind `json:"kind"`
	// Status of the version after the step; for a step that failed, of the
	// version that stands in its way, if there is one.
	Status *Status `json:"status,omitempty"`
	// Message for operators; empty for a success.
	Message string `json:"message,omitempty"`
}

// OK reports whether the step is done.
func (o Outcome) OK() bool {
	return o.Kind == Changed || o.Kind == Unchanged
}

func success(kind OutcomeKind, head Head, entry Entry) (Head, Outcome) {
	status := head.Status(entry)
	return head, Outcome{Kind: kind, Status: &status}
}

func failure(kind OutcomeKind, head Head, entry Entry, format string, arguments ...any) (Head, Outcome) {
	status := head.Status(entry)
	return head, Outcome{Kind: kind, Status: &status, Message: fmt.Sprintf(format, arguments...)}
}
