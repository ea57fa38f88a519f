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
type Part struct {
	Name string
	Lost float64
}

// Ending is how many requests ended unserved in one way.
type Ending struct {
	Name  string
	Count int
}

// Window is a time of the day and the share of its credit that was earned.
type Window struct {
	From   int
	Earned float64
}

// Day is what a report tells of one day.
type Day struct {
	Name  string
	Worth float64
	// Parts of what is missing to 1, the largest first.
	Parts []Part
	// Endings of requests that were not served, and Worst windows.
	Endings []Ending
	Worst   []Window
}

var (
	dayLine    = regexp.MustCompile(`^(\S.*?)\s+\d+/\d+\s+\d+\.\d+\s+(\d+\.\d+)\s`)
	worthLine  = regexp.MustCompile(`^worth \d+\.\d+ = (.*) less prices`)
	partText   = regexp.MustCompile(`(.+?) (\d+\.\d+) \(weight (\d+\.\d+)\)`)
	priceLine  = regexp.MustCompile(`^\s+-(\d+\.\d+)\s+-?\d+(?:\.\d+)?\s+(.+)$`)
	endingLine = regexp.MustCompile(`^not served, last try '(.+)': (\d+)`)
	windowLine = regexp.MustCompile(`^(\d+)\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+\d+\s+(\d+\.\d+)\s`)
)

// worstWindows is how many windows are told.
const worstWindows = 5

// Read reads a report.
func Read(report io.Reader) (Day, error) {
	var day Day
	scanner := bufio.NewScanner(report)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		day.read(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return Day{}, Error.Wrap(err)
	}
	if day.Name == "" || len(day.Parts) == 0 {
		return Day{}, Error.New("the text is no report of a day")
	}
	slices.SortStableFunc(day.Parts, func(a, b Part) int { return compare(b.Lost, a.Lost) })
	slices.SortStableFunc(day.Worst, func(a, b Window) int { return compare(a.Earned, b.Earned) })
	day.Worst = day.Worst[:min(worstWindows, len(day.Worst))]
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
func (d *Day) read(line string) {
	switch {
	case worthLine.MatchString(line):
		d.readWorth(worthLine.FindStringSubmatch(line)[1])
	case priceLine.MatchString(line):
		found := priceLine.FindStringSubmatch(line)
		d.lose("price: "+found[2], number(found[1]))
	case endingLine.MatchString(line):
		found := endingLine.FindStringSubmatch(line)
		d.Endings = append(d.Endings, Ending{Name: found[1], Count: int(number(found[2]))})
	case windowLine.MatchString(line):
		found := windowLine.FindStringSubmatch(line)
		d.Worst = append(d.Worst, Window{From: int(number(found[1])), Earned: number(found[2])})
	case d.Name == "" && dayLine.MatchString(line):
		found := dayLine.FindStringSubmatch(line)
		d.Name, d.Worth = found[1], number(found[2])
	}
}

// readWorth takes the weighed parts of the credit.
func (d *Day) readWorth(text string) {
	for _, one := range strings.Split(text, ", ") {
		if found := partText.FindStringSubmatch(one); found != nil {
			d.lose(found[1], number(found[3])*(1-number(found[2])))
		}
	}
}

func (d *Day) lose(name string, lost float64) {
	if lost > 0 {
		d.Parts = append(d.Parts, Part{Name: name, Lost: lost})
	}
}

// number reads digits that a pattern has found.
func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // the pattern takes numbers only
	}
	return value
}

// leastTold is the least part that is told apart.
const leastTold = 0.002

// Write writes the day as a table of Markdown.
func (d Day) Write(to io.Writer) error {
	text := fmt.Sprintf("| %s: worth %.3f | lost |\n|---|---|\n", d.Name, d.Worth)
	rest := 0.0
	total := 0.0
	for _, part := range d.Parts {
		total += part.Lost
		if part.Lost < leastTold {
			rest += part.Lost
			continue
		}
		text += fmt.Sprintf("| %s | %.4f |\n", part.Name, part.Lost)
	}
	text += fmt.Sprintf("| all smaller | %.4f |\n| sum | %.4f |\n\n", rest, total)
	for _, one := range d.Endings {
		text += fmt.Sprintf("- not served, %s: %d\n", one.Name, one.Count)
	}
	for _, one := range d.Worst {
		text += fmt.Sprintf("- from second %d: %.3f of the credit\n", one.From, one.Earned)
	}
	_, err := io.WriteString(to, text)
	return Error.Wrap(err)
}
