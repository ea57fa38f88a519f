package keyspace

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestParseSliceReadsWhatStringWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hashes := rapid.SliceOfN(rapid.Uint64(), 2, 2).Draw(t, "hashes")
		name := rapid.StringMatching(`[a-z][a-z0-9-]*`)
		slice := Slice{
			Service:   ServiceName(name.Draw(t, "team") + "/" + name.Draw(t, "service")),
			Partition: PartitionName(name.Draw(t, "partition")),
			Range:     Range{First: Hash(min(hashes[0], hashes[1])), Last: Hash(max(hashes[0], hashes[1]))},
		}
		parsed, err := ParseSlice(slice.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, slice)
	})
}

func TestParseSliceRefusesOtherForms(t *testing.T) {
	const good = "0000000000000000-000000000000000f"
	for _, text := range []string{"", "t/s", good, "s/" + good, "/p/" + good, "t/s//" + good, "t/s/p/1-2",
		"t/s/p/000000000000000f-0000000000000000", "t/s/p/-000000000000000-000000000000000f", "t/s/p/" + good + "0"} {
		_, err := ParseSlice(text)
		assert.Assert(t, err != nil, text)
	}
}
