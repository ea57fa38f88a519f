package upstream

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseBackoff(t *testing.T) {
	now := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
	date := func(offset time.Duration) string { return now.Add(offset).Format(http.TimeFormat) }
	asked := func(wait time.Duration) Backoff { return Backoff{Status: BackoffRequested, Duration: wait} }
	for name, test := range map[string]struct {
		values []string
		date   string
		want   Backoff
	}{
		"none":                            {},
		"seconds":                         {values: []string{"3"}, want: asked(3 * time.Second)},
		"a fraction":                      {values: []string{"0.25"}, want: asked(250 * time.Millisecond)},
		"with blanks":                     {values: []string{" 3 "}, want: asked(3 * time.Second)},
		"zero":                            {values: []string{"0"}, want: asked(0)},
		"a day":                           {values: []string{"86400"}, want: asked(24 * time.Hour)},
		"a date":                          {values: []string{date(5 * time.Second)}, want: asked(5 * time.Second)},
		"a date by the worker's own time": {values: []string{date(65 * time.Second)}, date: date(time.Minute), want: asked(5 * time.Second)},
		"a date that has passed":          {values: []string{date(-time.Minute)}, want: asked(0)},
		"two headers":                     {values: []string{"2", "7"}, want: asked(7 * time.Second)},
		"one of two readable":             {values: []string{"soon", "2"}, want: asked(2 * time.Second)},
		"empty":                           {values: []string{""}, want: Backoff{Status: UnreadableBackoff}},
		"no number":                       {values: []string{"soon"}, want: Backoff{Status: UnreadableBackoff}},
		"not a number":                    {values: []string{"NaN"}, want: Backoff{Status: UnreadableBackoff}},
		"below zero":                      {values: []string{"-1"}, want: Backoff{Status: UnreadableBackoff}},
		"infinite":                        {values: []string{"Inf"}, want: Backoff{Status: UnreadableBackoff}},
		"longer than anybody means":       {values: []string{"1e300"}, want: Backoff{Status: UnreadableBackoff}},
		"a date that far off":             {values: []string{date(48 * time.Hour)}, want: Backoff{Status: UnreadableBackoff}},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			if test.values != nil {
				header[retryAfterHeader] = test.values
			}
			if test.date != "" {
				header.Set(dateHeader, test.date)
			}
			assert.Equal(t, parseBackoff(header, now), test.want)
		})
	}
}

func TestSaysLeaving(t *testing.T) {
	for name, test := range map[string]struct {
		values []string
		want   bool
	}{
		"none":            {},
		"one":             {values: []string{"1"}, want: true},
		"with blanks":     {values: []string{" 1 "}, want: true},
		"a word":          {values: []string{"true"}, want: true},
		"another word":    {values: []string{"yes"}, want: true},
		"the later says":  {values: []string{"0", "1"}, want: true},
		"zero":            {values: []string{"0"}},
		"a word that not": {values: []string{"false"}},
		"empty":           {values: []string{""}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, ParseLeaving(test.values), test.want) })
	}
}

func TestWhoseAnswerSaysSomethingOfItsWorker(t *testing.T) {
	headers := Headers{Worker: "Worker", Limit: "Limit", Leaving: "Leaving", Load: "Load"}
	for name, test := range map[string]struct {
		status int
		by     string
		want   Notice
	}{
		"the worker's answer":        {status: http.StatusOK, by: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true}},
		"its refusal":                {status: http.StatusServiceUnavailable, by: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true, Backoff: Backoff{Status: BackoffRequested, Duration: 3 * time.Second}}},
		"one that names no worker":   {status: http.StatusServiceUnavailable, want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true, Backoff: Backoff{Status: BackoffRequested, Duration: 3 * time.Second}}},
		"too many requests":          {status: http.StatusTooManyRequests, by: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true}},
		"not the key's owner":        {status: http.StatusMisdirectedRequest, by: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true}},
		"another worker's":           {status: http.StatusMisdirectedRequest, by: "x"},
		"another worker's 503":       {status: http.StatusServiceUnavailable, by: "x"},
		"another worker's, answered": {status: http.StatusOK, by: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: test.status, Header: http.Header{"Limit": {"2"}, "Leaving": {"1"}, "Retry-After": {"3"}}}
			if test.by != "" {
				response.Header.Set("Worker", test.by)
			}
			assert.Equal(t, headers.notice(response, "w", time.Now()), test.want)
		})
	}
}
