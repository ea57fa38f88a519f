package lifecycle

import (
	"fmt"
)

// OutcomeKind is the result of a step.
type OutcomeKind string

// Kinds of outcomes.
const (
	// Changed: the returned head must be written.
	Changed OutcomeKind = "changed"
	// Unchanged: the step was already done, by the same operator if an operator does it, as
	// when it is retried after its response was lost. It is a success.
	Unchanged OutcomeKind = "unchanged"
	// Conflict: the version is not the next one, or has other content.
	Conflict OutcomeKind = "conflict"
	// WrongState: the version is not in the state that the step starts from.
	WrongState OutcomeKind = "wrong-state"
	// SameOperator: the operator who proposed a version can't approve it.
	SameOperator OutcomeKind = "same-operator"
	// NotFound: the head does not contain the version.
	NotFound OutcomeKind = "not-found"
)

// Outcome is the outcome of one step.
type Outcome struct {
	Kind OutcomeKind `json:"kind"`
	// Status is that of the version after the step; for a step that failed, that of the
	// conflicting version, if there is one.
	Status *Status `json:"status,omitempty"`
	// Message describes a failure to operators; empty for a success.
	Message string `json:"message,omitempty"`
}

// OK reports whether the step succeeded.
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
