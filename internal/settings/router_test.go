package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
)

const routerFile = `node: r1
zone: z1
listen: "10.0.0.1:80"
ready_listen: "10.0.0.1:81"
peer_listen: "10.0.0.1:82"
metrics_listen: "10.0.0.1:83"
store: "10.0.0.9:90"
retry:
  ratio: 0.2
`

func TestStrength(t *testing.T) {
	for name, test := range map[string]struct {
		machine Machine
		want    float64
	}{
		"not known":  {want: 1},
		"strong":     {machine: Machine{Cores: 0.8, LinkMbps: 200}, want: 1},
		"weak":       {machine: Machine{Cores: 0.25, LinkMbps: 200}, want: 0.5},
		"narrow":     {machine: Machine{Cores: 4, LinkMbps: 10}, want: 0.1},
		"link alone": {machine: Machine{LinkMbps: 50}, want: 0.5},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.machine.Strength(), test.want) })
	}
}

func TestReadRouterFillsInDefaults(t *testing.T) {
	read, err := ReadRouter("router.yaml", []byte(routerFile), nil)
	assert.NilError(t, err)
	assert.Equal(t, read.MaxHold.Std(), DefaultMaxHold)
	assert.Equal(t, read.Retry.Ratio, 0.2)
	assert.Equal(t, read.Retry.Window.Std(), 10*time.Second)
}

func TestReadRouterNamesLineAndField(t *testing.T) {
	for change, expected := range map[string]string{
		`store: "10.0.0.9:90"|store: nowhere`:                                    "router.yaml:7",
		`  ratio: 0.2|  ratio: 3`:                                                "retry.ratio",
		`zone: z1|zone: ""`:                                                      "zone",
		`"10.0.0.1:82"|"10.0.0.1:80"`:                                            "another address than listen",
		`node: r1|nodes: r1`:                                                     "unknown field",
		`  ratio: 0.2|  window: "0s"`:                                            "retry.window",
		`store: "10.0.0.9:90"|max_hold: "soon"`:                                  "max_hold",
		`  ratio: 0.2|quota: {overshoot: 2}`:                                     "quota.overshoot",
		"zone: z1|zone: z1\nrevocation: never":                                   "revocation",
		"  ratio: 0.2|  ratio: 0.2\nrevocation: strict\nrevoke_within: \"2.4s\"": "revoke_within",
		`  ratio: 0.2|regions: {z2: r}`:                                          "the region of zone z1",
		`  ratio: 0.2|regions: {z1: r, z1: q}`:                                   "regions",
	} {
		before, after, _ := strings.Cut(change, "|")
		_, err := ReadRouter("router.yaml", []byte(strings.Replace(routerFile, before, after, 1)), nil)
		assert.ErrorContains(t, err, expected, change)
	}
}

// The template that the platform fills in names the fields of the settings.
func TestDeployTemplateHasTheSettingsFields(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	assert.NilError(t, err)
	// allGiven has the sections for optional values that are given, and noneGiven those for
	// optional values that are left out.
	allGiven := regexp.MustCompile(`(?s)\{\{\^[^}]*\}\}.*?\{\{/[^}]*\}\}|\{\{[#/][^}]*\}\}`).ReplaceAllString(string(text), "")
	noneGiven := regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}|\{\{[\^/][^}]*\}\}`).ReplaceAllString(string(text), "")
	fill := strings.NewReplacer(
		"{{nodeName|json}}", `"front-1"`, "{{zone|json}}", `"z"`, "{{listen.front|json}}", `"10.0.0.1:80"`,
		"{{listen.readiness|json}}", `"10.0.0.1:81"`, "{{ip}}", "10.0.0.1", "{{internalPortRange.0}}", "7540",
		"{{platform.address|json}}", `"10.0.0.9:90"`, "{{bounds.maxHoldS}}", "10", "{{platform.ttl_min_s}}", "1", "{{bounds.graceS}}", "6",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetSlack}}", "62", "{{bounds.drainS}}", "2.5", "{{bounds.contactS}}", "4", "{{bounds.evacuateS}}", "4", "{{limits.cpuShare}}", "0.16", "{{limits.linkMbps}}", "10.0", "{{bounds.retryWindowS}}", "10",
		"{{zones|json}}", `{"z":"r","y":"r"}`, "{{bounds.revokeS}}", "4", "{{limits.memoryMb}}", "184", "{{limits.maxFds}}", "4100", "{{bounds.quotaWindowS}}", "4",
		"{{bounds.quotaOvershoot}}", "0.2", "{{bounds.quotaSlack}}", "30",
	)
	read, err := ReadRouter("settings.yaml", []byte(fill.Replace(allGiven)), nil)
	assert.NilError(t, err)
	assert.Equal(t, read.Grace.Std(), 6*time.Second)
	assert.Equal(t, read.PeerListen, "10.0.0.1:7540")
	assert.Equal(t, read.Retry.Slack, 62.0)
	assert.Equal(t, read.Drain.Std(), 2500*time.Millisecond)
	assert.Equal(t, read.CatchUp.Std(), 4*time.Second)
	assert.Equal(t, read.Evacuate.Std(), 4*time.Second)
	assert.Equal(t, read.Machine, Machine{Cores: 0.16, LinkMbps: 10, MemoryMB: 184, Descriptors: 4100})
	assert.DeepEqual(t, read.Regions, map[string]string{"z": "r", "y": "r"})
	assert.Equal(t, read.Quota, QuotaLimits{Window: bundle.Duration(4 * time.Second), Overshoot: 0.2, Slack: 30})
	assert.Equal(t, read.Revocation, RevocationStrict)
	assert.Equal(t, read.RevokeWithin.Std(), 4*time.Second)
	defaults, err := ReadRouter("settings.yaml", []byte(fill.Replace(noneGiven)), nil)
	assert.NilError(t, err, "a deployment may leave out all limits")
	assert.Equal(t, defaults.MaxHold.Std(), DefaultMaxHold)
	assert.Equal(t, defaults.Retry.Window.Std(), DefaultRetryWindow)
	assert.Equal(t, defaults.CatchUp.Std(), DefaultCatchUp)
	assert.Equal(t, defaults.Evacuate.Std(), DefaultEvacuate)
	assert.Equal(t, defaults.Revocation, RevocationLenient)
	assert.Equal(t, defaults.Quota.Window.Std(), DefaultQuotaWindow)
	assert.Equal(t, defaults.Topology().RegionCount(), 1)
}

// A number that the platform wrote in another notation ended the start.
func TestNumbersAreReadInAnyNotation(t *testing.T) {
	for text, want := range map[string]Machine{
		"{memory_mb: 284.5}":                   {MemoryMB: 284.5},
		"{memory_mb: 1e+06}":                   {MemoryMB: 1e6},
		"{link_mbps: 1E3, cores: 5e-1}":        {LinkMbps: 1000, Cores: 0.5},
		"{cores: .5, memory_mb: 184.0}":        {Cores: 0.5, MemoryMB: 184},
		"{link_mbps: +1e1, descriptors: 4100}": {LinkMbps: 10, Descriptors: 4100},
	} {
		read, err := ReadRouter("router.yaml", []byte(routerFile+"machine: "+text+"\n"), nil)
		assert.NilError(t, err, text)
		assert.Equal(t, read.Machine, want, text)
	}
	for _, text := range []string{`{memory_mb: "1e3"}`, "{memory_mb: 1e}", "{memory_mb: 1e400}", "{memory_mb: nan}", "{memory_mb: inf}", "{memory_mb: 0x1p4}", "{memory_mb: -1e3}", "{memory_mb: .inf}"} {
		_, err := ReadRouter("router.yaml", []byte(routerFile+"machine: "+text+"\n"), nil)
		assert.ErrorContains(t, err, "machine.memory_mb", text)
	}
}
