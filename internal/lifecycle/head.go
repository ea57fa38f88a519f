// Package lifecycle moves the versions of a team's bundle through their states:
// proposed, approved by another operator, rolling, and in force or refused.
//
// Each team has one Head, which is stored in the key-value service and changed only by
// compare-and-swap. Of two racing operators one succeeds, and the other gets an Outcome with
// the name of the first. The functions are pure: they take a head and return the next one and
// an Outcome. The caller writes the head, and each process that uses a version must verify its
// signatures.
//
//	proposed -> approved -> rolling -> in-force
//
// A proposed or approved version is replaced by the next proposal. A version
// may be proposed, approved and rolled while an earlier one is still rolling:
// versions only increase, so the cells adopt the highest, and the earlier one is
// replaced when the later one is in force. A version is refused only before a
// cell has adopted it, because a cell never returns to an older one.
package lifecycle

import (
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
)

// Limits of a head, which keep its stored record small.
const (
	// MaxEntries is the maximum number of versions in a head.
	MaxEntries = 32
	// MaxRolling is the maximum number of versions that are rolling at once.
	MaxRolling = 8
)

// Entry is the record of one version.
type Entry struct {
	Version    bundle.Version `json:"version"`
	State      State          `json:"state"`
	Digest     string         `json:"digest"`
	ProposedBy OperatorName   `json:"proposed_by"`
	ApprovedBy OperatorName   `json:"approved_by,omitempty"`
	// Signatures over the bundle, one for each step by an operator; see
	// bundle.Sign. A router verifies all of them before it uses the version.
	ProposalSignature []byte       `json:"proposal_signature,omitempty"`
	ApprovalSignature []byte       `json:"approval_signature,omitempty"`
	RollSignature     []byte       `json:"roll_signature,omitempty"`
	RolledBy          OperatorName `json:"rolled_by,omitempty"`
	// Reason is why the version was refused or replaced; empty in other states.
	Reason string `json:"reason,omitempty"`
}

// Head is the stored state of a team's latest versions, at most MaxEntries.
type Head struct {
	Team bundle.TeamName `json:"team"`
	// Entries are in ascending order of versions; the last is the newest. The version in
	// force is always among them.
	Entries []Entry `json:"entries"`
}

// Latest returns the newest version, and false if there is none yet.
func (h Head) Latest() (Entry, bool) {
	if len(h.Entries) == 0 {
		return Entry{}, false
	}
	return h.Entries[len(h.Entries)-1], true
}

// InForce returns the version in force, and false if there is none yet.
func (h Head) InForce() (Entry, bool) {
	return h.highestInState(StateInForce)
}

// Rolling returns the highest version that is rolling, and false if none is.
func (h Head) Rolling() (Entry, bool) {
	return h.highestInState(StateRolling)
}

// Find returns the entry of a version, and false if the head does not contain it.
func (h Head) Find(version bundle.Version) (Entry, bool) {
	index := h.index(version)
	if index < 0 {
		return Entry{}, false
	}
	return h.Entries[index], true
}

// Status returns the status of an entry, as shown to operators.
func (h Head) Status(entry Entry) Status {
	return Status{
		Team:       h.Team,
		Version:    entry.Version,
		State:      entry.State,
		Digest:     entry.Digest,
		ProposedBy: entry.ProposedBy,
		ApprovedBy: entry.ApprovedBy,
		RolledBy:   entry.RolledBy,
		Reason:     entry.Reason,
	}
}

// History returns the status of all versions in the head, in ascending order.
func (h Head) History() []Status {
	history := make([]Status, 0, len(h.Entries))
	for _, entry := range h.Entries {
		history = append(history, h.Status(entry))
	}
	return history
}

func (h Head) highestInState(state State) (Entry, bool) {
	for _, entry := range slices.Backward(h.Entries) {
		if entry.State == state {
			return entry, true
		}
	}
	return Entry{}, false
}

func (h Head) countRolling() int {
	count := 0
	for _, entry := range h.Entries {
		if entry.State == StateRolling {
			count++
		}
	}
	return count
}

func (h Head) index(version bundle.Version) int {
	return slices.IndexFunc(h.Entries, func(entry Entry) bool { return entry.Version == version })
}

// withEntry returns a head in which the entry replaces that of the same version. It does not
// change h.
func (h Head) withEntry(entry Entry) Head {
	h.Entries = slices.Clone(h.Entries)
	h.Entries[h.index(entry.Version)] = entry
	return h
}

// append returns a head with a new version. If there would be more than MaxEntries, it drops the
// oldest version that is not active.
func (h Head) append(entry Entry) Head {
	h.Entries = append(slices.Clone(h.Entries), entry)
	if len(h.Entries) > MaxEntries {
		oldest := slices.IndexFunc(h.Entries, func(e Entry) bool { return !isActive(e.State) })
		h.Entries = slices.Delete(h.Entries, oldest, oldest+1)
	}
	return h
}

// isActive reports whether a version in this state is in force or may still come into force. A
// head has at most MaxRolling+2 active versions, so append always finds one that is not.
func isActive(state State) bool {
	return state != StateRefused && state != StateReplaced
}
