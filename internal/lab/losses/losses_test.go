package losses

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestDayTable(t *testing.T) {
	report, err := os.ReadFile("testdata/day.report")
	assert.NilError(t, err)
	day, err := Read(bytes.NewReader(report))
	assert.NilError(t, err)
	lost := 0.0
	for _, loss := range day.Losses {
		lost += loss.Amount
	}
	assert.Assert(t, lost > 1-day.Worth-0.002 && lost < 1-day.Worth+0.002, "the losses must add up: %f of %f", lost, 1-day.Worth)
	var text strings.Builder
	assert.NilError(t, day.Write(&text))
	golden.Assert(t, text.String(), "day.golden")
}

func TestOtherTextIsRejected(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "a log": "1.2 r1 {\"kind\":\"start\"}\n"} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(text))
			assert.ErrorContains(t, err, "no report")
		})
	}
}
