package strictyaml_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/strictyaml"
)

type settings struct {
	Common `yaml:",inline"`
	Count  int     `yaml:"count" validate:"gte=1"`
	Limit  *limit  `yaml:"limit"`
	Limits []limit `yaml:"limits" validate:"dive"`
	Hidden string  `yaml:"-"`
}

// Common is exported, since an inlined struct must be.
type Common struct {
	Zone string `yaml:"zone" validate:"required"`
	Name string `yaml:"name" validate:"required,min=3"`
}

type limit struct {
	Rate float64 `yaml:"rate" validate:"gte=0,lte=1"`
}

func read(text string) (settings, string) {
	validator := strictyaml.NewValidator()
	var target settings
	problems := strictyaml.Read("s.yaml", []byte(text), &target, func() []strictyaml.Problem {
		return validator.Check(target)
	})
	return target, strictyaml.Format(problems)
}

func TestInlinedAndNestedFieldsAreSet(t *testing.T) {
	got, problems := read("name: gateway\nzone: casa-a\ncount: 2\nlimit: {rate: 1}\nlimits:\n  - rate: 0.5\n")
	assert.Equal(t, problems, "")
	assert.Equal(t, got.Name+" "+got.Zone, "gateway casa-a")
	assert.Equal(t, got.Count, 2)
	assert.Equal(t, got.Limit.Rate, 1.0)
	assert.Equal(t, got.Limits[0].Rate, 0.5)
}

func TestProblemsAreInFileOrder(t *testing.T) {
	_, problems := read("hidden: x\nlimits:\n  - rate: 3\n  - {rate: \"1\"}\nname: ab\nzone: casa-a\ncount: 0\n")
	assert.Equal(t, problems, `s.yaml:1:1: hidden: unknown field; expected one of count, limit, limits, name, zone
s.yaml:3:11: limits[0].rate: expected at most 1
s.yaml:4:12: limits[1].rate: expected a number
s.yaml:5:7: name: expected at least 3 characters
s.yaml:7:8: count: expected at least 1`)
}

func TestMissingFieldIsReportedAtItsParent(t *testing.T) {
	_, problems := read("zone: casa-a\ncount: 1\n")
	assert.Equal(t, problems, "s.yaml:1:1: name: expected a value")
}
