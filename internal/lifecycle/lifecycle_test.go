package lifecycle_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lab/tracetest"
	"github.com/shalefork/shalefork/internal/lifecycle"
)

// step applies a line "verb version [operator [digest]]"; "refuse" takes a reason in place of the
// operator.
func step(head lifecycle.Head, line string) (lifecycle.Head, lifecycle.Outcome) {
	words := append(strings.Fields(line), "", "")
	number, _ := strconv.ParseUint(words[1], 10, 64)
	version := bundle.Version(number)
	operator := lifecycle.OperatorName(words[2])
	switch words[0] {
	case "propose":
		return lifecycle.Propose(head, lifecycle.Proposal{Version: version, Digest: words[3], Operator: operator})
	case "approve":
		approval := lifecycle.Approval{Version: version, Digest: words[3], Operator: operator, Signature: []byte("s")}
		return lifecycle.Approve(head, approval)
	case "roll":
		return lifecycle.Roll(head, version, operator, []byte("s"))
	case "refuse":
		return lifecycle.Refuse(head, version, words[2])
	case "in-force":
		return lifecycle.InForce(head, version)
	default:
		panic("unknown step " + line)
	}
}

func describe(head lifecycle.Head) string {
	var text strings.Builder
	for _, entry := range head.Entries {
		fmt.Fprintf(&text, "    %d %s %s by %s/%s/%s %s\n", entry.Version, entry.State, entry.Digest,
			entry.ProposedBy, entry.ApprovedBy, entry.RolledBy, entry.Reason)
	}
	return text.String()
}

func TestTraces(t *testing.T) {
	tracetest.RunScripts(t, func(_ *testing.T, script string) string {
		head := lifecycle.Head{Team: "tawila"}
		var trace strings.Builder
		for line := range strings.Lines(script) {
			var outcome lifecycle.Outcome
			head, outcome = step(head, line)
			fmt.Fprintf(&trace, "%s  -> %s %s\n%s", line, outcome.Kind, outcome.Message, describe(head))
		}
		return trace.String()
	})
}

// For any sequence of steps, versions increase, the version in force never decreases, at most one
// is in force, no operator approves their own proposal, and a version in force has been approved.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := lifecycle.Head{Team: "tawila"}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			before, _ := head.InForce()
			latest, _ := head.Latest()
			verb := rapid.SampledFrom([]string{"propose", "approve", "roll", "in-force", "refuse"}).Draw(t, "verb")
			version := int(latest.Version) + rapid.IntRange(-3, 2).Draw(t, "offset")
			operator := rapid.SampledFrom([]string{"amina", "karim"}).Draw(t, "operator")
			untouched := slices.Clone(head.Entries)
			next, outcome := step(head, fmt.Sprintf("%s %d %s digest", verb, max(0, version), operator))
			assert.DeepEqual(t, head.Entries, untouched)
			if outcome.Kind != lifecycle.Changed {
				assert.DeepEqual(t, next, head)
			}
			after, _ := next.InForce()
			assert.Assert(t, after.Version >= before.Version)
			checkHead(t, next)
			head = next
		}
	})
}

func checkHead(t *rapid.T, head lifecycle.Head) {
	inForce := 0
	previous := bundle.Version(0)
	for _, entry := range head.Entries {
		assert.Assert(t, entry.Version > previous)
		previous = entry.Version
		assert.Assert(t, entry.ApprovedBy != entry.ProposedBy)
		if entry.State == lifecycle.StateInForce {
			inForce++
			assert.Assert(t, entry.ApprovedBy != "" && entry.RolledBy != "")
		}
	}
	assert.Assert(t, inForce <= 1)
	assert.Assert(t, len(head.Entries) <= lifecycle.MaxEntries)
}
