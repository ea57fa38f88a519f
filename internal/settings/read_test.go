package settings

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestReadReportsAllProblemsAtOnce(t *testing.T) {
	data := golden.Get(t, "router-bad.yaml")
	_, err := ReadRouter("router.yaml", data, []Override{{Field: "listen", Value: "nonsense"}})
	assert.Assert(t, err != nil)
	golden.Assert(t, err.Error()+"\n", "router-bad.golden")
}

func TestFlagsOverrideTheFile(t *testing.T) {
	read, err := ReadRouter("router.yaml", []byte(routerFile), []Override{TextOverride("listen", "127.0.0.1:7999")})
	assert.NilError(t, err)
	assert.Equal(t, read.Listen, "127.0.0.1:7999")
}

func TestInvalidYAMLIsReportedWithItsPosition(t *testing.T) {
	_, err := ReadRouter("router.yaml", []byte("node: [a\nzone: b"), nil)
	assert.ErrorContains(t, err, "router.yaml:2:1: expected YAML")
}

const (
	oneKey   = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	otherKey = "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
)

func TestOperators(t *testing.T) {
	for name, test := range map[string]struct {
		operators string
		problem   string
	}{
		"two":      {operators: "operators:\n  - {name: a, public_key: " + oneKey + "}\n  - {name: b, public_key: " + otherKey + ", teams: [tawila]}\n"},
		"one":      {operators: "operators:\n  - {name: a, public_key: " + oneKey + "}\n", problem: "nobody approves an own proposal"},
		"same key": {operators: "operators:\n  - {name: a, public_key: " + oneKey + "}\n  - {name: b, public_key: " + oneKey + "}\n", problem: "a key that no other operator has"},
		"bad key":  {operators: "operators:\n  - {name: a, public_key: " + oneKey + "}\n  - {name: b, public_key: AAAA}\n", problem: "operators[1].public_key"},
	} {
		t.Run(name, func(t *testing.T) {
			read, err := ReadRouter("router.yaml", []byte(routerFile+test.operators), nil)
			if test.problem != "" {
				assert.ErrorContains(t, err, test.problem)
				return
			}
			assert.NilError(t, err)
			_, err = read.Operators[1].Key()
			assert.NilError(t, err)
		})
	}
}
