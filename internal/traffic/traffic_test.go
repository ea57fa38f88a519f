package traffic

import (
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/topology"
)

func TestBytesAreCountedByKindAndDistance(t *testing.T) {
	zoneMap := topology.New(map[topology.Zone]topology.Region{"a1": "a", "a2": "a", "b1": "b"})
	registry := prometheus.NewRegistry()
	c := NewCounter("a1", zoneMap, registry)
	c.Add(Keyed, "b1", 5)
	c.Add(Keyed, "b1", 2)
	c.Add(Keyed, "a2", 11)
	families, err := registry.Gather()
	assert.NilError(t, err)
	counts := map[string]float64{}
	for _, one := range families[0].GetMetric() {
		for _, label := range one.GetLabel() {
			if label.GetName() == "distance" {
				counts[label.GetValue()] = one.GetCounter().GetValue()
			}
		}
	}
	assert.DeepEqual(t, counts, map[string]float64{"same-region": 11, "other-region": 7})
	var none *Counter
	none.Add(Keyed, "b1", 5)
}

func TestConnCountsBothDirections(t *testing.T) {
	near, far := net.Pipe()
	counted := &Conn{Conn: near}
	total := 0
	exchange := func() {
		go func() { _, _ = io.WriteString(far, "abc") }()
		_, err := io.ReadFull(counted, make([]byte, 3))
		assert.NilError(t, err)
		go func() { _, _ = io.ReadFull(far, make([]byte, 2)) }()
		_, err = io.WriteString(counted, "de")
		assert.NilError(t, err)
	}
	exchange()
	counted.OnBytes(func(bytes int) { total += bytes })
	exchange()
	assert.Equal(t, total, 5)
}
