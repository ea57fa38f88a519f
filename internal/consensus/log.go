package consensus

import (
	"fmt"
	"slices"
)

// memoryLog holds the entries after its base, and the newest snapshot, which
// may stand for some of these entries too.
type memoryLog struct {
	base     logBase
	snapshot Snapshot
	// entries[0] has index base.index+1.
	entries []Entry
	commit  Index
	// memberships has the indexes of the membership entries held, in order.
	memberships []Index
}

// logBase is the last entry that is no longer held.
type logBase struct {
	index      Index
	term       Term
	membership Membership
}

func newMemoryLog(initial Snapshot) memoryLog {
	base := logBase{
		index:      initial.Index,
		term:       initial.Term,
		membership: initial.Membership,
	}
	return memoryLog{base: base, snapshot: initial, commit: initial.Index}
}

func (l *memoryLog) lastIndex() Index {
	return l.base.index + Index(len(l.entries))
}

func (l *memoryLog) lastTerm() Term {
	return l.term(l.lastIndex())
}

// term returns the term of an index from the base's to the last.
func (l *memoryLog) term(index Index) Term {
	if index == l.base.index {
		return l.base.term
	}
	return l.entry(index).Term
}

func (l *memoryLog) entry(index Index) Entry {
	if index <= l.base.index || index > l.lastIndex() {
		panic(fmt.Sprintf("consensus: entry %d outside log (%d, %d]", index, l.base.index, l.lastIndex()))
	}
	return l.entries[index-l.base.index-1]
}

// after returns a copy of the entries after index, up to about limit bytes of
// commands and at least one entry where there is any.
func (l *memoryLog) after(index Index, limit int) []Entry {
	var found []Entry
	size := 0
	for _, entry := range l.entries[index-l.base.index:] {
		size += len(entry.Command)
		if len(found) > 0 && size > limit {
			break
		}
		found = append(found, entry)
	}
	return found
}

func (l *memoryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.Kind == EntryMembership {
		l.memberships = append(l.memberships, entry.Index)
	}
}

// truncate drops the entries from index on.
func (l *memoryLog) truncate(index Index) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: truncate at %d would drop committed entries up to %d", index, l.commit))
	}
	l.entries = l.entries[:index-l.base.index-1]
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1] >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge appends a leader's entries that follow a matching one. Only entries
// that conflict are dropped, so a delayed message never shortens the log.
func (l *memoryLog) merge(entries []Entry) {
	for _, entry := range entries {
		if entry.Index <= l.commit {
			continue
		}
		if entry.Index <= l.lastIndex() {
			if l.term(entry.Index) == entry.Term {
				continue
			}
			l.truncate(entry.Index)
		}
		l.append(entry)
	}
}

// matches reports whether the log holds the entry that a leader named. All
// that is committed is held by every leader.
func (l *memoryLog) matches(index Index, term Term) bool {
	if index <= l.commit {
		return true
	}
	return index <= l.lastIndex() && l.term(index) == term
}

// isUpToDate compares another log's end with this one's (Raft, section 5.4.1).
func (l *memoryLog) isUpToDate(index Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// membership is the latest one in the log, committed or not: a change counts
// from the moment it is appended (Raft, section 4.1 of the dissertation).
func (l *memoryLog) membership() Membership {
	if len(l.memberships) == 0 {
		return l.base.membership
	}
	return *l.entry(l.memberships[len(l.memberships)-1]).Membership
}

// changePending reports whether a membership change is not yet committed.
func (l *memoryLog) changePending() bool {
	return len(l.memberships) > 0 && l.memberships[len(l.memberships)-1] > l.commit
}

func (l *memoryLog) membershipAt(index Index) Membership {
	at := l.base.membership
	for _, change := range l.memberships {
		if change <= index {
			at = *l.entry(change).Membership
		}
	}
	return at
}

// compact takes a snapshot of committed state and drops the entries it stands
// for, save the last keep of them.
func (l *memoryLog) compact(snapshot Snapshot, keep Index) {
	if snapshot.Index <= l.snapshot.Index || snapshot.Index > l.commit {
		return
	}
	snapshot.Term = l.term(snapshot.Index)
	snapshot.Membership = l.membershipAt(snapshot.Index).clone()
	l.snapshot = snapshot
	if snapshot.Index > l.base.index+keep {
		l.dropTo(snapshot.Index - keep)
	}
}

func (l *memoryLog) dropTo(index Index) {
	base := logBase{index: index, term: l.term(index), membership: l.membershipAt(index)}
	l.entries = slices.Clone(l.entries[index-l.base.index:])
	l.base = base
	l.memberships = slices.DeleteFunc(l.memberships, func(change Index) bool {
		return change <= index
	})
}

// restore replaces the log by a leader's snapshot ahead of the commit index.
// Entries after it stay if the log holds the snapshot's last entry.
func (l *memoryLog) restore(snapshot Snapshot) {
	if l.matches(snapshot.Index, snapshot.Term) {
		l.commit = snapshot.Index
		l.compact(snapshot, 0)
		return
	}
	*l = newMemoryLog(snapshot)
}
