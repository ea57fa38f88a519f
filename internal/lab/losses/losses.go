// Package losses reads the text report of a played day and tells where its worth was
// lost, so that the parts add up to what is missing to 1. It is for the lab only.
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

// Part is one reason for lost worth, as a share of the day's worth.
type Loss struct {
	Name   string
	Amount float64
}

// Ending is how many requests ended unserved in one way.
type Failure struct {
	Name  string
	Count int
}

// Window is a time of the day and the share of its credit that was earned.
type Window struct {
	StartSecond int
	Earned      float64
}

// Day is what a report tells of one day.
type Day struct {
	Name  string
	Worth float64
	// Parts of what is missing to 1, the largest first.
	Losses []Loss
	// Endings of requests that were not served, and Worst windows.
	Failures     []Failure
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

// maxWorstWindows is how many windows are told.
const maxWorstWindows = 5

// Read reads a report.
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

// read takes one line.
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

// readWorth takes the weighed parts of the credit.
func (d *Day) parseWorth(text string) {
	for _, one := range strings.Split(text, ", ") {
		if found := partText.FindStringSubmatch(one); found != nil {
			d.addLoss(found[1], parseNumber(found[3])*(1-parseNumber(found[2])))
		}
	}
}

func (d *Day) addLoss(name string, lost float64) {
	if lost > 0 {
		d.Losses = append(d.Losses, Loss{Name: name, Amount: lost})
	}
}

// number reads digits that a pattern has found.
func parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // the pattern takes numbers only
	}
	return value
}

// minListedLoss is the least part that is told apart.
const minListedLoss = 0.002

// Write writes the day as a table of Markdown.
func (d Day) Write(to io.Writer) error {
	text := fmt.Sprintf("| %s: worth %.3f | lost |\n|---|---|\n", d.Name, d.Worth)
	rest := 0.0
	total := 0.0
	for _, part := range d.Losses {
		total += part.Amount
		if part.Amount < minListedLoss {
			rest += part.Amount
			continue
		}
		text += fmt.Sprintf("| %s | %.4f |\n", part.Name, part.Amount)
	}
	text += fmt.Sprintf("| all smaller | %.4f |\n| sum | %.4f |\n\n", rest, total)
	for _, one := range d.Failures {
		text += fmt.Sprintf("- not served, %s: %d\n", one.Name, one.Count)
	}
	for _, one := range d.WorstWindows {
		text += fmt.Sprintf("- from second %d: %.3f of the credit\n", one.StartSecond, one.Earned)
	}
	_, err := io.WriteString(to, text)
	return Error.Wrap(err)
}
