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
	requested := func(wait time.Duration) Backoff { return Backoff{Status: BackoffRequested, Duration: wait} }
	for name, test := range map[string]struct {
		values []string
		date   string
		want   Backoff
	}{
		"none":                       {},
		"seconds":                    {values: []string{"3"}, want: requested(3 * time.Second)},
		"decimal number":             {values: []string{"0.25"}, want: requested(250 * time.Millisecond)},
		"with spaces":                {values: []string{" 3 "}, want: requested(3 * time.Second)},
		"zero":                       {values: []string{"0"}, want: requested(0)},
		"the maximum":                {values: []string{"86400"}, want: requested(24 * time.Hour)},
		"a date":                     {values: []string{date(5 * time.Second)}, want: requested(5 * time.Second)},
		"date by the worker's clock": {values: []string{date(65 * time.Second)}, date: date(time.Minute), want: requested(5 * time.Second)},
		"date in the past":           {values: []string{date(-time.Minute)}, want: requested(0)},
		"two headers":                {values: []string{"2", "7"}, want: requested(7 * time.Second)},
		"one of two valid":           {values: []string{"soon", "2"}, want: requested(2 * time.Second)},
		"empty":                      {values: []string{""}, want: Backoff{Status: UnreadableBackoff}},
		"not numeric":                {values: []string{"soon"}, want: Backoff{Status: UnreadableBackoff}},
		"not a number":               {values: []string{"NaN"}, want: Backoff{Status: UnreadableBackoff}},
		"below zero":                 {values: []string{"-1"}, want: Backoff{Status: UnreadableBackoff}},
		"infinite":                   {values: []string{"Inf"}, want: Backoff{Status: UnreadableBackoff}},
		"number beyond the maximum":  {values: []string{"1e300"}, want: Backoff{Status: UnreadableBackoff}},
		"date beyond the maximum":    {values: []string{date(48 * time.Hour)}, want: Backoff{Status: UnreadableBackoff}},
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

func TestParseLeaving(t *testing.T) {
	for name, test := range map[string]struct {
		values []string
		want   bool
	}{
		"none":                 {},
		"one":                  {values: []string{"1"}, want: true},
		"with spaces":          {values: []string{" 1 "}, want: true},
		"text, true":           {values: []string{"true"}, want: true},
		"malformed value":      {values: []string{"yes"}, want: true},
		"only the second true": {values: []string{"0", "1"}, want: true},
		"zero":                 {values: []string{"0"}},
		"text, false":          {values: []string{"false"}},
		"empty":                {values: []string{""}},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, ParseLeaving(test.values), test.want) })
	}
}

func TestNoticeIsOnlyReadFromTargetWorker(t *testing.T) {
	headers := Headers{Worker: "Worker", Limit: "Limit", Leaving: "Leaving", Load: "Load"}
	for name, test := range map[string]struct {
		status     int
		answeredBy string
		want       Notice
	}{
		"answer of the target":          {status: http.StatusOK, answeredBy: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true}},
		"rejection by the target":       {status: http.StatusServiceUnavailable, answeredBy: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true, Backoff: Backoff{Status: BackoffRequested, Duration: 3 * time.Second}}},
		"rejection without a worker ID": {status: http.StatusServiceUnavailable, want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true, Backoff: Backoff{Status: BackoffRequested, Duration: 3 * time.Second}}},
		"too many requests":             {status: http.StatusTooManyRequests, answeredBy: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true}},
		"misdirected, by the target":    {status: http.StatusMisdirectedRequest, answeredBy: "w", want: Notice{Limit: Limit{Status: Limited, PerSecond: 2}, Leaving: true}},
		"misdirected, by another":       {status: http.StatusMisdirectedRequest, answeredBy: "x"},
		"rejection by another worker":   {status: http.StatusServiceUnavailable, answeredBy: "x"},
		"answer of another worker":      {status: http.StatusOK, answeredBy: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: test.status, Header: http.Header{"Limit": {"2"}, "Leaving": {"1"}, "Retry-After": {"3"}}}
			if test.answeredBy != "" {
				response.Header.Set("Worker", test.answeredBy)
			}
			assert.Equal(t, headers.parseNotice(response, "w", time.Now()), test.want)
		})
	}
}
