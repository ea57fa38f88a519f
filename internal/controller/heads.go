package controller

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/platform"
)

// headTries bounds the tries to move a head against others who move it too.
const headTries = 4

// errContentMissing says that a version's content is not there, or is not what
// its digest says.
var errContentMissing = Error.New("the content of the version is missing")

// headStep gives the next head; see package lifecycle.
type headStep func(head lifecycle.Head) (lifecycle.Head, lifecycle.Outcome)

// moveHead applies a step to a team's head by compare-and-swap. If another
// write comes between, the step is decided anew on what that one left.
func (c *Controller) moveHead(ctx context.Context, team bundle.TeamName, step headStep) (lifecycle.Outcome, error) {
	for range headTries {
		head, revision, err := c.readHead(ctx, team)
		if err != nil {
			return lifecycle.Outcome{}, err
		}
		next, outcome := step(head)
		if outcome.Kind != lifecycle.Changed {
			return outcome, nil
		}
		_, err = c.swap(ctx, platform.HeadKey(c.settings.Cell, team), revision, next)
		if err == nil {
			return outcome, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return lifecycle.Outcome{}, err
		}
	}
	return lifecycle.Outcome{}, platform.ErrUnavailable
}

// readHead returns an empty head of revision zero for a new team.
func (c *Controller) readHead(ctx context.Context, team bundle.TeamName) (lifecycle.Head, platform.Revision, error) {
	entry, err := c.get(ctx, platform.HeadKey(c.settings.Cell, team))
	if errors.Is(err, platform.ErrNotFound) {
		return lifecycle.Head{Team: team}, 0, nil
	}
	if err != nil {
		return lifecycle.Head{}, 0, err
	}
	head, err := decodeHead(entry)
	return head, entry.Revision, err
}

func decodeHead(entry platform.Entry) (lifecycle.Head, error) {
	var head lifecycle.Head
	err := json.Unmarshal(entry.Value, &head)
	return head, Error.Wrap(err)
}

// readContent returns the content of a version. Only content with the digest
// that the head names is believed.
func (c *Controller) readContent(ctx context.Context, team bundle.TeamName, entry lifecycle.Entry) (bundle.Bundle, error) {
	stored, err := c.get(ctx, platform.BundleKey(c.settings.Cell, team, entry.Version, entry.Digest))
	if errors.Is(err, platform.ErrNotFound) {
		return bundle.Bundle{}, errContentMissing
	}
	if err != nil {
		return bundle.Bundle{}, err
	}
	var content bundle.Bundle
	if json.Unmarshal(stored.Value, &content) != nil {
		return bundle.Bundle{}, errContentMissing
	}
	digest, err := bundle.Digest(content)
	if err != nil || digest != entry.Digest {
		return bundle.Bundle{}, errContentMissing
	}
	return content, nil
}

// writeContent saves the content of a version before a head names it. The key
// holds the digest, so two who propose the same version never share one.
func (c *Controller) writeContent(ctx context.Context, content bundle.Bundle, digest string) error {
	canonical, err := bundle.Canonical(content)
	if err != nil {
		return err
	}
	key := platform.BundleKey(c.settings.Cell, content.Team, content.Version, digest)
	_, err = c.write(ctx, platform.Write{Key: key, Value: canonical})
	if errors.Is(err, platform.ErrConflict) {
		return nil // the same proposal was sent before
	}
	return err
}

// dropContent deletes content that lost the race for its version.
func (c *Controller) dropContent(ctx context.Context, team bundle.TeamName, version bundle.Version, digest string) {
	if entry, err := c.get(ctx, platform.BundleKey(c.settings.Cell, team, version, digest)); err == nil {
		c.remove(ctx, entry)
	}
}

// dropForgotten deletes the content of the version that the head has forgotten
// for the newest one, if any.
func (c *Controller) dropForgotten(ctx context.Context, team bundle.TeamName, newest bundle.Version) {
	if newest <= lifecycle.MaxEntries {
		return
	}
	forgotten := newest - lifecycle.MaxEntries
	head, _, err := c.readHead(ctx, team)
	if err != nil {
		return
	}
	if _, remembered := head.Find(forgotten); remembered {
		return
	}
	found, err := c.list(ctx, platform.BundleKey(c.settings.Cell, team, forgotten, ""))
	if err != nil {
		return
	}
	for _, entry := range found.Entries {
		c.remove(ctx, entry)
	}
}
