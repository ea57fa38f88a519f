package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseLoad(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		want  Load
		valid bool
	}{
		"counts":            {text: "3,0,8", want: Load{Running: 3, Slots: 8}, valid: true},
		"with spaces":       {text: " 3, 1 ,8", want: Load{Running: 3, Waiting: 1, Slots: 8}, valid: true},
		"with a slowdown":   {text: "3,0,8,140", want: Load{Running: 3, Slots: 8, Slowdown: 1.4}, valid: true},
		"with a fraction":   {text: "3,0,8,87.5", want: Load{Running: 3, Slots: 8, Slowdown: 0.875}, valid: true},
		"additional fields": {text: "3,0,8,100,x", want: Load{Running: 3, Slots: 8, Slowdown: 1}, valid: true},
		"nothing":           {},
		"too few":           {text: "3,0"},
		"below zero":        {text: "3,-1,8"},
		"not a number":      {text: "3,a,8"},
		"empty slowdown":    {text: "3,0,8,"},
		"slowdown of zero":  {text: "3,0,8,0"},
		"negative slowdown": {text: "3,0,8,-5"},
		"infinite slowdown": {text: "3,0,8,Inf"},
		"slowdown of NaN":   {text: "3,0,8,NaN"},
	} {
		t.Run(name, func(t *testing.T) {
			load, ok := parseLoad(test.text)
			assert.Equal(t, ok, test.valid)
			assert.Equal(t, load, test.want)
		})
	}
}

func TestParseLimit(t *testing.T) {
	for name, test := range map[string]struct {
		values []string
		want   Limit
	}{
		"none":              {},
		"decimal number":    {values: []string{"2.5"}, want: Limit{Status: Limited, PerSecond: 2.5}},
		"with spaces":       {values: []string{" 5.1 "}, want: Limit{Status: Limited, PerSecond: 5.1}},
		"zero":              {values: []string{"0"}, want: Limit{Status: Limited}},
		"huge":              {values: []string{"1e300"}, want: Limit{Status: Limited, PerSecond: 1e300}},
		"two headers":       {values: []string{"7", "3"}, want: Limit{Status: Limited, PerSecond: 3}},
		"two in one header": {values: []string{"3, 7"}, want: Limit{Status: Limited, PerSecond: 3}},
		"one of two valid":  {values: []string{"x", "3"}, want: Limit{Status: Limited, PerSecond: 3}},
		"empty":             {values: []string{""}, want: Limit{Status: UnreadableLimit}},
		"not numeric":       {values: []string{"many"}, want: Limit{Status: UnreadableLimit}},
		"not a number":      {values: []string{"NaN"}, want: Limit{Status: UnreadableLimit}},
		"below zero":        {values: []string{"-1"}, want: Limit{Status: UnreadableLimit}},
		"infinite":          {values: []string{"Inf"}, want: Limit{Status: UnreadableLimit}},
		"out of range":      {values: []string{"1e400"}, want: Limit{Status: UnreadableLimit}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, parseLimit(test.values), test.want) })
	}
}
