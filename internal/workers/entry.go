package workers

import "fmt"

// Reason says why an entry names no worker to use. Other writers than workers may write entries.
type Reason string

// Reasons why an entry names no worker.
const (
	// ReasonUnreadable: its bytes, or its key, can't be read.
	ReasonUnreadable Reason = "unreadable"
	// ReasonMissing: a field is missing.
	ReasonMissing Reason = "field-missing"
	// ReasonType: a field is of another type.
	ReasonType Reason = "wrong-type"
	// ReasonState: the state is none that workers have.
	ReasonState Reason = "unknown-state"
	// ReasonRange: a number, or a name, is none that a worker can have.
	ReasonRange Reason = "out-of-range"
	// ReasonAddress: the address is no IP address with a port.
	ReasonAddress Reason = "no-address"
)

// Reasons are all of them.
func Reasons() []Reason {
	return []Reason{ReasonUnreadable, ReasonMissing, ReasonType, ReasonState, ReasonRange, ReasonAddress}
}

// EntryError is the error of an entry that names no worker to use.
type EntryError struct {
	Reason Reason `json:"r"`
	// Field that is at fault, by the name it has in the entry; empty: all of it.
	Field string `json:"f,omitempty"`
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return string(e.Reason)
	}
	return fmt.Sprintf("%s: %s", e.Reason, e.Field)
}

// SetUnreadable sets all workers whose entries name no worker now. It is called before a list
// without them replaces the one before.
func (d *Directory) SetUnreadable(ids []ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreadable)
	for _, id := range ids {
		d.unreadable[id] = true
	}
}

// MarkUnreadable notes whether a worker's entry names no worker. It is called before the change
// itself.
func (d *Directory) MarkUnreadable(id ID, unreadable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreadable, id)
	if unreadable {
		d.unreadable[id] = true
	}
}

// Unreadable reports whether a worker's entry stands but names no worker. Such a worker counts as
// gone, and its own next entry brings it back.
func (d *Directory) Unreadable(id ID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.unreadable[id]
}
