// Package keyspace divides the keys of a service into slices.
//
// A service has one or more partitions, chosen by the longest matching prefix
// of the key; each partition has its own rule of placement. Within a partition
// a key is hashed to 64 bits, and a slice is a closed range of those hashes.
// Nothing in the system is kept per key: only per slice.
package keyspace

import (
	"fmt"
	"math"

	"github.com/zeebo/xxh3"
)

// Hash is the position of a key in its partition.
type Hash uint64

// HashKey returns the position of a key in its partition.
func HashKey(key string) Hash {
	return Hash(xxh3.HashString(key))
}

// Range is a closed range of hashes: both ends belong to it.
type Range struct {
	First Hash `json:"first"`
	Last  Hash `json:"last"`
}

// FullRange covers every hash.
func FullRange() Range {
	return Range{First: 0, Last: math.MaxUint64}
}

// Contains reports whether h lies in the range.
func (r Range) Contains(h Hash) bool {
	return r.First <= h && h <= r.Last
}

// Overlaps reports whether the two ranges share a hash.
func (r Range) Overlaps(other Range) bool {
	return r.First <= other.Last && other.First <= r.Last
}

// Width is the number of hashes in the range, as a fraction of all.
func (r Range) Width() float64 {
	return (float64(r.Last-r.First) + 1) / math.Exp2(64)
}

// String returns the range as two hexadecimal numbers.
func (r Range) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(r.First), uint64(r.Last))
}

// ServiceName names a service within its team, as "team/service".
type ServiceName string

// PartitionName names a partition of a service.
type PartitionName string

// Slice is the unit of ownership: a range of hashes in one partition.
type Slice struct {
	Service   ServiceName   `json:"service"`
	Partition PartitionName `json:"partition"`
	Range     Range         `json:"range"`
}

// String returns the slice as service/partition/range, the form used in
// headers and logs.
func (s Slice) String() string {
	return fmt.Sprintf("%s/%s/%s", s.Service, s.Partition, s.Range)
}

// SamePartition reports whether both slices divide the same partition.
func (s Slice) SamePartition(other Slice) bool {
	return s.Service == other.Service && s.Partition == other.Partition
}

// Overlaps reports whether a key can belong to both slices.
func (s Slice) Overlaps(other Slice) bool {
	return s.SamePartition(other) && s.Range.Overlaps(other.Range)
}

// SplitEvenly divides all hashes into count adjacent ranges of equal width.
// It returns the full range alone for a count below two.
func SplitEvenly(count int) []Range {
	if count < 2 {
		return []Range{FullRange()}
	}
	step := math.MaxUint64/uint64(count) + 1
	ranges := make([]Range, 0, count)
	for i := range count {
		first := Hash(uint64(i) * step)
		last := Hash(uint64(i+1)*step - 1)
		if i == count-1 {
			last = math.MaxUint64
		}
		ranges = append(ranges, Range{First: first, Last: last})
	}
	return ranges
}
