package demo

import (
	"cmp"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/lab/load"
)

const (
	// stuckAfter is how long a key may be unserved with machines up.
	stuckAfter = 5 * time.Second
	// replacedAfter is how long the control group may take to replace a member.
	replacedAfter = 4 * time.Second
	// gatewayBack is how long a request may hang in a gateway that was paused.
	gatewayBack = time.Second
)

// interval of the clock of history.Now.
type interval struct {
	begin, end time.Duration
}

// stuck returns an error for each key that was unserved for too long while the
// faults of the time do not explain it.
func (s *soak) stuck(spans []load.Span) []error {
	excuses := excusesOf(s.struck)
	var found []error
	for _, span := range spans {
		if rest := longestOutside(interval{span.Begin, span.End}, excuses); rest > stuckAfter {
			found = append(found, Error.New("%s %s was unserved for %s, %s of it unexplained",
				span.Service, span.Key, span.Length(), rest))
		}
	}
	return found
}

// excusesOf returns the times in which keys may be unserved for long: a
// majority of the control group is away, or a gateway that callers wait for. Of
// faults that strike one controller or the platform's service, two must
// overlap. The result is ordered by begin.
func excusesOf(struck []struckTime) []interval {
	var excuses, single []interval
	for _, each := range struck {
		switch each.fault {
		case faultKillMajority, faultPauseMajority:
			excuses = append(excuses, interval{each.begin, each.end + replacedAfter})
		case faultKillControl, faultPauseControl, faultStopControl, faultKillLeader, faultPauseLeader,
			faultOutage, faultSlow, faultLoseAnswers:
			single = append(single, interval{each.begin, each.end + replacedAfter})
		case faultKillGateway, faultPauseGateway, faultStopGateway:
			excuses = append(excuses, interval{each.begin, each.end + gatewayBack})
		}
	}
	excuses = append(excuses, overlaps(single)...)
	slices.SortFunc(excuses, func(a, b interval) int { return cmp.Compare(a.begin, b.begin) })
	return excuses
}

func overlaps(intervals []interval) []interval {
	var found []interval
	for index, one := range intervals {
		for _, other := range intervals[index+1:] {
			begin := max(one.begin, other.begin)
			end := min(one.end, other.end)
			if begin < end {
				found = append(found, interval{begin, end})
			}
		}
	}
	return found
}

// longestOutside returns the longest stretch of whole that none of the excuses,
// ordered by begin, covers.
func longestOutside(whole interval, excuses []interval) time.Duration {
	longest := time.Duration(0)
	at := whole.begin
	for _, excuse := range excuses {
		if excuse.begin >= whole.end {
			break
		}
		longest = max(longest, excuse.begin-at)
		at = max(at, excuse.end)
	}
	return max(longest, whole.end-at)
}
