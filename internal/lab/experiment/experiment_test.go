package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventful has every kind of event in a short time.
const eventful = `
name: eventful
about: every kind of event
deployment: tawila
seed: 7
duration: 24s
load:
  - {at: 0s, level: 0.1}
  - {at: 20s, level: 0.3}
popularity: {keys: 500, skew: 0.9, shift_every: 3s, shift_share: 0.1}
events:
  - {at: 1s, kind: lag, service: availability, lag: 2s}
  - {at: 2s, kind: platform-outage, lasting: 3s}
  - {at: 3s, kind: bundle}
  - {at: 3s, kind: hot-key, share: 0.2, lasting: 9s}
  - {at: 4s, kind: machine-loss, server: availability-03, lasting: 5s}
  - {at: 5s, kind: leader-loss}
  - {at: 6s, kind: zone-loss, zone: casa-b, lasting: 4s}
  - {at: 7s, kind: shed, server: booking-01, share: 0.5, lasting: 5s}
  - {at: 8s, kind: slow, server: host-lists-01, factor: 8.0, lasting: 5s}
  - {at: 8s, kind: lie, server: host-lists-01, lasting: 5s}
  - {at: 12s, kind: rolling-replacement, service: availability, each: 1s}
`

func writeScenario(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "scenario.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o644))
	return file
}

func TestSameSeedGivesTheSameFiles(t *testing.T) {
	file := writeScenario(t, eventful)
	var outputs [2]bytes.Buffer
	var files [2][]byte
	for i := range outputs {
		directory := t.TempDir()
		options := Options{
			Scenarios: []string{file}, Variants: []string{variantFull, variantStatic},
			Seeds: 2, Parallel: 1 + i, Directory: directory, Output: &outputs[i],
		}
		assert.NilError(t, Run(options))
		data, err := os.ReadFile(filepath.Join(directory, "results.json"))
		assert.NilError(t, err)
		files[i] = data
		plots, err := filepath.Glob(filepath.Join(directory, "*.svg"))
		assert.NilError(t, err)
		assert.Equal(t, len(plots), len(charts()))
	}
	assert.Equal(t, outputs[0].String(), outputs[1].String())
	assert.Equal(t, string(files[0]), string(files[1]))
}

func TestPlannedStopsCutNothingAndKeysComeBack(t *testing.T) {
	options := Options{Scenarios: []string{writeScenario(t, eventful)}, Seeds: 1, Variants: []string{variantFull}}
	results, err := play(options)
	assert.NilError(t, err)
	for _, result := range results {
		measured := result.Measures
		assert.Equal(t, measured.CutByPlannedStop, 0)
		assert.Assert(t, measured.Churn.Forced > 0)
		assert.Assert(t, measured.Unavailable.KeySeconds*10 < measured.Unavailable.AskedKeySeconds)
		for _, service := range measured.Services {
			assert.Assert(t, service.answeredShare() > 90, "%s: %.1f%%", service.Name, service.answeredShare())
		}
	}
}

func TestBuiltInScenariosAreValid(t *testing.T) {
	runs, err := planRuns(Options{Seeds: 1})
	assert.NilError(t, err)
	assert.Assert(t, len(runs) > 0)
}

func TestMistakesInScenariosAreAllReported(t *testing.T) {
	text := strings.ReplaceAll(eventful, "availability-03", "availability-99")
	text = strings.ReplaceAll(text, "casa-b", "casa-z")
	text = strings.ReplaceAll(text, "level: 0.3", "level: 9.3")
	_, err := parseScenario("scenario.yaml", []byte(text))
	assert.ErrorContains(t, err, "needs a server of the deployment")
	assert.ErrorContains(t, err, "needs a zone of the deployment")
	assert.ErrorContains(t, err, "at most 3")
}
