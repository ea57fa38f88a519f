package topology

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDistance(t *testing.T) {
	two := New(map[Zone]Region{"a1": "a", "a2": "a", "b1": "b"})
	for name, test := range map[string]struct {
		zones    Map
		from, to Zone
		want     Distance
	}{
		"the same zone":                {two, "a1", "a1", SameZone},
		"a zone of the same region":    {two, "a1", "a2", SameRegion},
		"another region":               {two, "a1", "b1", OtherRegion},
		"an unknown zone":              {two, "a1", "c1", OtherRegion},
		"the same unknown zone":        {two, "c1", "c1", SameZone},
		"no zones are known":           {Map{}, "a1", "b1", SameRegion},
		"no zones are known, one zone": {Map{}, "a1", "a1", SameZone},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.zones.Distance(test.from, test.to), test.want) })
	}
}

func TestRegionCountAndKnownZones(t *testing.T) {
	assert.Equal(t, New(map[Zone]Region{"a1": "a", "a2": "a", "b1": "b"}).RegionCount(), 2)
	assert.Equal(t, Map{}.RegionCount(), 1)
	assert.Assert(t, !New(map[Zone]Region{"a1": "a"}).Known("b1"))
	assert.Assert(t, Map{}.Known("b1"))
}

func TestZonesInRegions(t *testing.T) {
	zones := New(map[Zone]Region{"a2": "a", "a1": "a", "b1": "b", "c1": "c"})
	assert.DeepEqual(t, zones.Zones([]Region{"a", "c"}), []Zone{"a1", "a2", "c1"})
	assert.Equal(t, len(zones.Zones([]Region{"d"})), 0)
}
