package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHoldEndsAreKnownByTerm(t *testing.T) {
	start := time.Unix(1000, 0)
	end := func(term Term, after time.Duration) HoldEnd { return HoldEnd{Term: term, At: start.Add(after)} }
	for name, test := range map[string]struct {
		added, kept []HoldEnd
		// before is the term asked for, and after the earliest end that is known for it; negative if none.
		before Term
		after  time.Duration
	}{
		"nothing is known": {before: 1, after: -1},
		"leaders in quick succession": {
			added: []HoldEnd{end(2, 3*time.Second), end(3, 9*time.Second), end(4, 11*time.Second)},
			kept:  []HoldEnd{end(2, 3*time.Second), end(3, 9*time.Second), end(4, 11*time.Second)}, before: 2, after: 3 * time.Second,
		},
		"a later leader knows an earlier end": {
			added: []HoldEnd{end(2, 9*time.Second), end(3, 4*time.Second)}, kept: []HoldEnd{end(3, 4*time.Second)}, before: 2, after: 4 * time.Second,
		},
		"an end that says nothing new": {
			added: []HoldEnd{end(3, 4*time.Second), end(2, 9*time.Second), end(3, 5*time.Second)}, kept: []HoldEnd{end(3, 4*time.Second)},
			before: 3, after: 4 * time.Second,
		},
		"an end is learnt more exactly": {
			added: []HoldEnd{end(2, 9*time.Second), end(2, 3*time.Second)}, kept: []HoldEnd{end(2, 3*time.Second)}, before: 1, after: 3 * time.Second,
		},
		"in another order": {
			added: []HoldEnd{end(4, 11*time.Second), end(2, 3*time.Second)}, kept: []HoldEnd{end(2, 3*time.Second), end(4, 11*time.Second)},
			before: 3, after: 11 * time.Second,
		},
		"only earlier terms are known": {added: []HoldEnd{end(2, 3*time.Second)}, kept: []HoldEnd{end(2, 3*time.Second)}, before: 3, after: -1},
	} {
		t.Run(name, func(t *testing.T) {
			var ends HoldEnds
			for _, end := range test.added {
				ends.Add(end.Term, end.At)
			}
			assert.DeepEqual(t, ends, HoldEnds(test.kept))
			at, known := ends.Before(test.before)
			assert.Equal(t, known, test.after >= 0)
			if known {
				assert.Equal(t, at.Sub(start), test.after)
			}
		})
	}
}

func TestHoldEndsAreBounded(t *testing.T) {
	var ends HoldEnds
	for term := range Term(3 * maxHoldEnds) {
		ends.Add(term, time.Unix(int64(term), 0))
	}
	assert.Equal(t, len(ends), maxHoldEnds)
	assert.Equal(t, ends[maxHoldEnds-1].Term, Term(3*maxHoldEnds-1), "the last terms are kept")
}
