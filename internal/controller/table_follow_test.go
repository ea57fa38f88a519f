package controller

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// Standbys begin with all members alike, and each tries all of them in turn.
func TestStandbysSpreadOverTheMembers(t *testing.T) {
	voters := []consensus.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	const standbys = 300
	first := map[wire.Incarnation]int{}
	for number := range standbys {
		self := wire.Incarnation(fmt.Sprintf("standby-%d", number))
		tried := map[wire.Incarnation]bool{}
		for turn := range len(voters) {
			tried[memberToFollow(voters, self, turn).ID] = true
		}
		assert.Equal(t, len(tried), len(voters))
		first[memberToFollow(voters, self, 0).ID]++
	}
	for _, voter := range voters {
		assert.Assert(t, first[voter.ID] > standbys/4, "%v", first)
	}
}
