package lifecycle

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/bundle"
)

// Proposal is an operator's proposal of a version.
type Proposal struct {
	Version  bundle.Version
	Digest   string
	Operator OperatorName
	// Signature is over the bundle, for bundle.PurposeProposal.
	Signature []byte
}

// Approval is an operator's approval of a version.
type Approval struct {
	Version  bundle.Version
	Digest   string
	Operator OperatorName
	// Signature is over the bundle.
	Signature []byte
}

// Propose adds the next version. The newest version becomes replaced if it is only proposed or
// approved.
func Propose(head Head, proposal Proposal) (Head, Outcome) {
	latest, _ := head.Latest()
	if proposal.Version != latest.Version+1 {
		return handleOutOfOrder(head, latest, proposal)
	}
	if head.countRolling() >= MaxRolling {
		return failure(WrongState, head, latest, "%d versions are rolling; wait until one is in force", MaxRolling)
	}
	if latest.State == StateProposed || latest.State == StateApproved {
		head = head.withEntry(markReplaced(latest, proposal.Version))
	}
	entry := Entry{
		Version:    proposal.Version,
		State:      StateProposed,
		Digest:     proposal.Digest,
		ProposedBy: proposal.Operator,

		ProposalSignature: proposal.Signature,
	}
	return success(Changed, head.append(entry), entry)
}

// handleOutOfOrder handles a proposal of a version other than the next one. A repeated proposal
// succeeds; any other is a conflict.
func handleOutOfOrder(head Head, latest Entry, proposal Proposal) (Head, Outcome) {
	next := latest.Version + 1
	taken, found := head.Find(proposal.Version)
	switch {
	case found && taken.isRepeatOf(proposal):
		return success(Unchanged, head, taken)
	case found:
		return failure(Conflict, head, taken, "version %d was proposed by %s; the next is %d",
			taken.Version, taken.ProposedBy, next)
	case latest.Version == 0:
		return head, Outcome{Kind: Conflict, Message: "the first version is 1"}
	default:
		return failure(Conflict, head, latest, "expected version %d, found %d", next, proposal.Version)
	}
}

// isRepeatOf reports whether the entry results from the same proposal and is still active. If
// the version has been refused or replaced since, the operator must get a conflict and not a
// success.
func (e Entry) isRepeatOf(proposal Proposal) bool {
	return e.Digest == proposal.Digest && e.ProposedBy == proposal.Operator && isActive(e.State)
}

// Approve approves a proposed version. The operator must not be the one who proposed it.
func Approve(head Head, approval Approval) (Head, Outcome) {
	entry, found := head.Find(approval.Version)
	switch {
	case !found:
		return notFound(head, approval.Version)
	case entry.Digest != approval.Digest:
		return failure(Conflict, head, entry, "version %d has digest %s, the approval is for %s",
			entry.Version, entry.Digest, approval.Digest)
	case entry.ProposedBy == approval.Operator:
		return failure(SameOperator, head, entry, "version %d was proposed by %s: another operator must approve",
			entry.Version, entry.ProposedBy)
	case entry.ApprovedBy == approval.Operator && isActive(entry.State):
		return success(Unchanged, head, entry)
	case entry.State != StateProposed:
		return wrongState(head, entry, StateProposed)
	}
	entry.State = StateApproved
	entry.ApprovedBy = approval.Operator
	entry.ApprovalSignature = approval.Signature
	return success(Changed, head.withEntry(entry), entry)
}

// Roll starts to put an approved version into force. Any operator may do so. The signature is
// over the bundle.
func Roll(head Head, version bundle.Version, operator OperatorName, signature []byte) (Head, Outcome) {
	entry, found := head.Find(version)
	switch {
	case !found:
		return notFound(head, version)
	case entry.RolledBy == operator && isActive(entry.State):
		return success(Unchanged, head, entry)
	case entry.State != StateApproved:
		return wrongState(head, entry, StateApproved)
	}
	entry.State = StateRolling
	entry.RolledBy = operator
	entry.RollSignature = signature
	return success(Changed, head.withEntry(entry), entry)
}

// Refuse marks a version as refused, for a reason. The caller must make sure that no cell has
// adopted the version: an adopted version is never refused, only followed by a higher one.
func Refuse(head Head, version bundle.Version, reason string) (Head, Outcome) {
	entry, found := head.Find(version)
	switch {
	case !found:
		return notFound(head, version)
	case entry.State == StateRefused:
		return success(Unchanged, head, entry)
	case entry.State == StateInForce || entry.State == StateReplaced:
		return wrongState(head, entry, StateRolling)
	}
	entry.State = StateRefused
	entry.Reason = reason
	return success(Changed, head.withEntry(entry), entry)
}

// InForce records that routers use the version. The lower versions that are in force or rolling
// become replaced.
func InForce(head Head, version bundle.Version) (Head, Outcome) {
	entry, found := head.Find(version)
	switch {
	case !found:
		return notFound(head, version)
	case entry.State == StateInForce:
		return success(Unchanged, head, entry)
	case entry.State != StateRolling:
		return wrongState(head, entry, StateRolling)
	}
	entry.State = StateInForce
	return success(Changed, head.withEntry(entry).replaceBelow(version), entry)
}

// replaceBelow marks the lower versions that a cell may have adopted as replaced.
func (h Head) replaceBelow(version bundle.Version) Head {
	for _, entry := range h.Entries {
		wasAdopted := entry.State == StateInForce || entry.State == StateRolling
		if entry.Version < version && wasAdopted {
			h = h.withEntry(markReplaced(entry, version))
		}
	}
	return h
}

func markReplaced(entry Entry, version bundle.Version) Entry {
	entry.State = StateReplaced
	entry.Reason = fmt.Sprintf("replaced by version %d", version)
	return entry
}

func wrongState(head Head, entry Entry, expected State) (Head, Outcome) {
	return failure(WrongState, head, entry, "version %d is %s%s; expected %s",
		entry.Version, entry.State, lastOperator(entry), expected)
}

// lastOperator describes the last step on a version and its operator. In the message of a
// failed step it names the operator who was faster.
func lastOperator(entry Entry) string {
	switch {
	case entry.RolledBy != "":
		return ", rolled by " + string(entry.RolledBy)
	case entry.ApprovedBy != "":
		return ", approved by " + string(entry.ApprovedBy)
	default:
		return ", proposed by " + string(entry.ProposedBy)
	}
}

func notFound(head Head, version bundle.Version) (Head, Outcome) {
	return head, Outcome{
		Kind:    NotFound,
		Message: fmt.Sprintf("no version %d of team %s is remembered", version, head.Team),
	}
}
