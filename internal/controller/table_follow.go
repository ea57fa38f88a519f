package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// followSilence ends a stream on which not even a heartbeat came.
const followSilence = 3 * tableHeartbeat

// followTable keeps the table of a standby up to date from a member's stream.
// A member has its own applied state and follows nobody. The leader has the most
// to send in any case, and its loss is when a table matters most, so it is
// followed only after all members have been asked to stand in for it.
func (c *Controller) followTable(ctx context.Context) error {
	refusals := 0
	for turn := 0; clock.Sleep(ctx, unsettledPoll); turn++ {
		current := c.view.Load()
		voters := votersOf(current.record.record.Members)
		if current.member || len(voters) == 0 {
			continue
		}
		refusals++
		if c.followMember(ctx, memberToFollow(voters, c.self(), turn), refusals <= len(voters)) {
			refusals = 0
		}
	}
	return nil
}

// memberToFollow spreads the standbys over the members, so that no member
// streams to all of them and the loss of one is noticed by few. Each further
// turn, after a stream has ended or was refused, takes the next member; half of
// the standbys go round the other way, so that those whom the leader refuses do
// not all turn to the same one.
func memberToFollow(voters []consensus.Member, self wire.Incarnation, turn int) consensus.Member {
	count := uint64(len(voters))
	hash := xxh3.HashString(string(self))
	step := uint64(1)
	if hash/count%2 == 1 {
		step = count - 1
	}
	return voters[(hash%count+uint64(turn)*step)%count]
}

// followMember passes on a member's table until the stream ends. It returns
// false if there was no stream.
func (c *Controller) followMember(ctx context.Context, member consensus.Member, spareLeader bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := "http://" + member.Address + wire.PathTable
	if spareLeader {
		target += "?" + querySpareLeader + "=true"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	silence := time.AfterFunc(followSilence, cancel)
	defer silence.Stop()
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	c.following.Store(true)
	defer c.following.Store(false)
	lines := wire.NewLineReader(response.Body)
	var follower cellstate.TableFollower
	for !c.view.Load().member {
		var update wire.TableUpdate
		if lines.Read(&update) != nil {
			return true
		}
		silence.Reset(followSilence)
		if !follower.Apply(update) {
			return true
		}
		c.tables.publish(follower.State())
	}
	return true
}
