package demo

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/history"
	"github.com/shalefork/shalefork/internal/lab/load"
)

const (
	// stuckAfter is how long a key may be unserved with machines up.
	stuckAfter = 5 * time.Second
	// replacedAfter is how long the control group may take to replace a member.
	replacedAfter = 4 * time.Second
	// stillAsked is how far apart two failed requests for a key may be if the
	// key was unserved all the time between them.
	stillAsked = 2 * time.Second
	// gatewayBack is how long a request may hang in a gateway that was paused.
	gatewayBack = time.Second
)

// interval of the clock of history.Now.
type interval struct {
	begin, end time.Duration
}

// stuck returns an error for each key that was unserved for too long while the
// faults of the time do not explain it.
func (s *soak) stuck(failing []load.Span) []error {
	excuses := excusesOf(s.injected)
	var found []error
	for _, span := range failing {
		if rest := longestOutside(interval{span.Begin, span.End}, excuses); rest > stuckAfter {
			found = append(found, Error.New("%s %q was unserved for %s, %s of it unexplained",
				span.Service, span.Key, span.Length(), rest))
		}
	}
	return found
}

// callerKey is a key as its callers know it, empty for a whole pool.
type callerKey struct {
	service keyspace.ServiceName
	key     string
}

// failingSpans returns the times in which all requests for a key, or all to a
// pool, failed, from the first one sent to the last one answered. Unlike load.Spans it does not
// count a time in which nobody asked: callers lose patience, and a cold key may
// not be asked for again.
func failingSpans(calls []history.Call) []load.Span {
	open := map[callerKey]load.Span{}
	var spans []load.Span
	for _, call := range calls {
		id := callerKey{call.Service, call.Key}
		span, failing := open[id]
		switch {
		case call.Status == http.StatusOK && call.Whole:
			delete(open, id)
			if failing {
				spans = append(spans, span)
			}
		case failing && call.Sent-span.End <= stillAsked:
			span.End = max(span.End, call.Answered)
			open[id] = span
		default:
			if failing {
				spans = append(spans, span)
			}
			open[id] = load.Span{Service: call.Service, Key: call.Key, Begin: call.Sent, End: max(call.Sent, call.Answered)}
		}
	}
	for _, span := range open {
		spans = append(spans, span)
	}
	slices.SortFunc(spans, func(a, b load.Span) int {
		return cmp.Or(cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.Key, b.Key))
	})
	return spans
}

// excusesOf returns the times in which keys may be unserved for long: a
// majority of the control group is away, or a gateway that callers wait for. Of
// faults that hit one controller or the platform's service, two must
// overlap. The result is ordered by begin.
func excusesOf(injected []injectedFault) []interval {
	var excuses, single []interval
	for _, each := range injected {
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
