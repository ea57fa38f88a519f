package workers

import "fmt"

// Reason is why an entry does not describe a usable worker. Processes other than workers may write
// entries as well.
type Reason string

// Reasons why an entry does not describe a usable worker.
const (
	// ReasonUnreadable: the key or the value of the entry can't be decoded.
	ReasonUnreadable Reason = "unreadable"
	// ReasonMissing: a field is missing.
	ReasonMissing Reason = "field-missing"
	// ReasonType: a field has the wrong type.
	ReasonType Reason = "wrong-type"
	// ReasonState: the state is not one of a worker's states.
	ReasonState Reason = "unknown-state"
	// ReasonRange: a number or a name is not valid for a worker.
	ReasonRange Reason = "out-of-range"
	// ReasonAddress: the address is not an IP address with a port.
	ReasonAddress Reason = "no-address"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonUnreadable, ReasonMissing, ReasonType, ReasonState, ReasonRange, ReasonAddress}
}

// EntryError is the error of an entry that does not describe a usable worker.
type EntryError struct {
	Reason Reason `json:"r"`
	// Field is the name of the invalid field in the entry; empty: the whole entry is invalid.
	Field string `json:"f,omitempty"`
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return string(e.Reason)
	}
	return fmt.Sprintf("%s: %s", e.Reason, e.Field)
}

// SetUnreadable sets all workers whose entries do not describe a usable worker. It is called before
// a list without these workers replaces the previous one.
func (d *Directory) SetUnreadable(ids []ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreadable)
	for _, id := range ids {
		d.unreadable[id] = true
	}
}

// MarkUnreadable records whether a worker's entry does not describe a usable worker. It is called
// before the change itself is applied.
func (d *Directory) MarkUnreadable(id ID, unreadable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreadable, id)
	if unreadable {
		d.unreadable[id] = true
	}
}

// Unreadable reports whether a worker's entry exists but does not describe a usable worker. Such a
// worker counts as removed, and the next entry that it writes itself restores it.
func (d *Directory) Unreadable(id ID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.unreadable[id]
}
