package controller

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// A bundle whose table no gateway could read is refused before it is adopted: a
// cell never goes back from one.
func TestBundleThatMakesTheTableTooLongIsRefused(t *testing.T) {
	for _, test := range []struct {
		partitions int
		fits       bool
	}{{1, true}, {20, false}} {
		command := cellstate.Command{AdoptBundle: &cellstate.AdoptBundle{Bundle: manySlices(test.partitions)}}
		next, rejection := cellstate.Apply(cellstate.New("casa", 1), 1, command)
		assert.Equal(t, rejection, cellstate.Applied)
		assert.Equal(t, readable(t, cellstate.TableView{State: next}.Snapshot()), test.fits)
		assert.Equal(t, sizeProblem(cellstate.New("casa", 1), command) == "", test.fits)
	}
}

// readable reports whether a gateway can read the line.
func readable(t *testing.T, update wire.TableUpdate) bool {
	var buffer bytes.Buffer
	assert.NilError(t, wire.NewLineWriter(&buffer).Write(update))
	return wire.NewLineReader(&buffer).Read(&wire.TableUpdate{}) == nil
}

func manySlices(partitions int) bundle.Bundle {
	service := bundle.Service{Name: "s", Kind: bundle.KindKeyed, Placement: bundle.Placement{Slices: 4096}}
	for i := range partitions {
		name := fmt.Sprint("p", i)
		service.Partitions = append(service.Partitions, bundle.Partition{Name: keyspace.PartitionName(name), Prefix: name})
	}
	return bundle.Bundle{Team: "tawila", Version: 1, Cell: "casa", Services: []bundle.Service{service}}
}
