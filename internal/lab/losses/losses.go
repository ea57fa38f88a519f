// Package losses reads the text report of a simulated day and lists where the day lost worth,
// which is 1 at most. The losses add up to the difference between 1 and the day's worth. It is for
// the lab only.
package losses

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("losses")

// Loss is the worth that was lost for one reason, as a share of the full worth of 1.
type Loss struct {
	Name   string
	Amount float64
}

// Failure is the number of requests that failed for one reason.
type Failure struct {
	Name  string
	Count int
}

// Window is a time window of the day and the share of its credit that was earned.
type Window struct {
	StartSecond int
	Earned      float64
}

// Day is the content of a report.
type Day struct {
	Name  string
	Worth float64
	// Losses are sorted by amount, largest first.
	Losses []Loss
	// Failures are the requests that were not served, by their last error.
	Failures []Failure
	// WorstWindows are the windows that earned the least, worst first.
	WorstWindows []Window
}

var (
	dayLine     = regexp.MustCompile(`^(\S.*?)\s+\d+/\d+\s+\d+\.\d+\s+(\d+\.\d+)\s`)
	worthLine   = regexp.MustCompile(`^worth \d+\.\d+ = (.*) less prices`)
	partText    = regexp.MustCompile(`(.+?) (\d+\.\d+) \(weight (\d+\.\d+)\)`)
	priceLine   = regexp.MustCompile(`^\s+-(\d+\.\d+)\s+-?\d+(?:\.\d+)?\s+(.+)$`)
	failureLine = regexp.MustCompile(`^not served, last try '(.+)': (\d+)`)
	windowLine  = regexp.MustCompile(`^(\d+)\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+(\d+\.\d+)\s`)
)

// maxWorstWindows is the number of windows that a Day lists.
const maxWorstWindows = 5

// Read parses a report.
func Read(report io.Reader) (Day, error) {
	var day Day
	scanner := bufio.NewScanner(report)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		day.parseLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return Day{}, Error.Wrap(err)
	}
	if day.Name == "" || len(day.Losses) == 0 {
		return Day{}, Error.New("the text is no report of a day")
	}
	slices.SortStableFunc(day.Losses, func(a, b Loss) int { return compare(b.Amount, a.Amount) })
	slices.SortStableFunc(day.WorstWindows, func(a, b Window) int { return compare(a.Earned, b.Earned) })
	day.WorstWindows = day.WorstWindows[:min(maxWorstWindows, len(day.WorstWindows))]
	return day, nil
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// parseLine parses one line. Lines of other kinds are ignored.
func (d *Day) parseLine(line string) {
	switch {
	case worthLine.MatchString(line):
		d.parseWorth(worthLine.FindStringSubmatch(line)[1])
	case priceLine.MatchString(line):
		found := priceLine.FindStringSubmatch(line)
		d.addLoss("price: "+found[2], parseNumber(found[1]))
	case failureLine.MatchString(line):
		found := failureLine.FindStringSubmatch(line)
		d.Failures = append(d.Failures, Failure{Name: found[1], Count: int(parseNumber(found[2]))})
	case windowLine.MatchString(line):
		found := windowLine.FindStringSubmatch(line)
		d.WorstWindows = append(d.WorstWindows, Window{StartSecond: int(parseNumber(found[1])), Earned: parseNumber(found[2])})
	case d.Name == "" && dayLine.MatchString(line):
		found := dayLine.FindStringSubmatch(line)
		d.Name, d.Worth = found[1], parseNumber(found[2])
	}
}

// parseWorth parses the weighted parts of the day's worth and adds what each of them lost.
func (d *Day) parseWorth(text string) {
	for _, part := range strings.Split(text, ", ") {
		if found := partText.FindStringSubmatch(part); found != nil {
			d.addLoss(found[1], parseNumber(found[3])*(1-parseNumber(found[2])))
		}
	}
}

func (d *Day) addLoss(name string, amount float64) {
	if amount > 0 {
		d.Losses = append(d.Losses, Loss{Name: name, Amount: amount})
	}
}

// parseNumber parses a number that a pattern has matched.
func parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // the patterns match only numbers
	}
	return value
}

// minListedLoss is the smallest loss that is listed separately.
const minListedLoss = 0.002

// Write writes the day as Markdown: a table of the losses, then the failures and the worst windows.
func (d Day) Write(to io.Writer) error {
	text := fmt.Sprintf("| %s: worth %.3f | lost |\n|---|---|\n", d.Name, d.Worth)
	smaller := 0.0
	total := 0.0
	for _, loss := range d.Losses {
		total += loss.Amount
		if loss.Amount < minListedLoss {
			smaller += loss.Amount
			continue
		}
		text += fmt.Sprintf("| %s | %.4f |\n", loss.Name, loss.Amount)
	}
	text += fmt.Sprintf("| all smaller | %.4f |\n| sum | %.4f |\n\n", smaller, total)
	for _, failure := range d.Failures {
		text += fmt.Sprintf("- not served, %s: %d\n", failure.Name, failure.Count)
	}
	for _, window := range d.WorstWindows {
		text += fmt.Sprintf("- from second %d: %.3f of the credit\n", window.StartSecond, window.Earned)
	}
	_, err := io.WriteString(to, text)
	return Error.Wrap(err)
}
