package keyspace

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("keyspace")

// rangeTextLength is the length of a range as text: two numbers of 16
// hexadecimal digits and a dash.
const rangeTextLength = 33

// ParseSlice reads the form that Slice.String writes.
func ParseSlice(text string) (Slice, error) {
	rest, ranged, found := cutLast(text)
	service, partition, foundToo := cutLast(rest)
	if !found || !foundToo || service == "" || partition == "" {
		return Slice{}, Error.New("slice %q is not service/partition/range", text)
	}
	parsed, err := parseRange(ranged)
	if err != nil {
		return Slice{}, err
	}
	return Slice{Service: ServiceName(service), Partition: PartitionName(partition), Range: parsed}, nil
}

func cutLast(text string) (before, after string, found bool) {
	at := strings.LastIndexByte(text, '/')
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+1:], true
}

func parseRange(text string) (Range, error) {
	first, last, found := strings.Cut(text, "-")
	if len(text) != rangeTextLength || !found {
		return Range{}, Error.New("range %q is not two hashes of 16 digits", text)
	}
	low, err := strconv.ParseUint(first, 16, 64)
	if err != nil {
		return Range{}, Error.Wrap(err)
	}
	high, err := strconv.ParseUint(last, 16, 64)
	if err != nil {
		return Range{}, Error.Wrap(err)
	}
	if low > high {
		return Range{}, Error.New("range %q ends before it begins", text)
	}
	return Range{First: Hash(low), Last: Hash(high)}, nil
}
