package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/platform"
)

// Changes lead to a new list and leave the one that the loop may be reading; a
// whole answer leaves nothing over.
func TestMachineListTakesChanges(t *testing.T) {
	held := machineList{"10.0.0.1": platform.MachineLive, "10.0.0.2": platform.MachineLive}
	leaving := platform.Machine{Address: "10.0.0.2", State: platform.MachineLeaving}
	next := held.with(platform.MachineChanges{Machines: []platform.Machine{leaving}, Removed: []string{"10.0.0.1"}})
	assert.DeepEqual(t, next, machineList{"10.0.0.2": platform.MachineLeaving})
	assert.Equal(t, len(held), 2)
	assert.DeepEqual(t, held.with(platform.MachineChanges{Whole: true, Machines: []platform.Machine{leaving}}), next)
	assert.Equal(t, len(held.with(platform.MachineChanges{Whole: true})), 0)
}
