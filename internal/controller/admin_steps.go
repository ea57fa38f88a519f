package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/platform"
)

// propose offers a new version of a team's bundle.
func (c *Controller) propose(request *http.Request, write signedWrite) (adminapi.BundleStatus, *adminapi.Failure) {
	var asked adminapi.Propose
	if err := json.Unmarshal(write.body, &asked); err != nil {
		return adminapi.BundleStatus{}, invalid("the proposal cannot be read: %v", err)
	}
	offered := asked.Bundle
	if failure := firstFailure(checkTime(asked.Time), write.checkTeam(offered.Team), c.checkBundle(offered)); failure != nil {
		return adminapi.BundleStatus{}, failure
	}
	digest, err := bundle.Digest(offered)
	if err != nil {
		return adminapi.BundleStatus{}, invalid("the bundle has no digest: %v", err)
	}
	return c.offer(request.Context(), offered, lifecycle.Proposal{
		Version:  offered.Version,
		Digest:   digest,
		Operator: write.operator,
	})
}

// offer saves the content, then moves the head: a version that the head names
// always has its content.
func (c *Controller) offer(ctx context.Context, offered bundle.Bundle, proposal lifecycle.Proposal) (adminapi.BundleStatus, *adminapi.Failure) {
	if err := c.writeContent(ctx, offered, proposal.Digest); err != nil {
		return adminapi.BundleStatus{}, c.storeFailure(err)
	}
	status, failure := c.step(ctx, offered.Team, func(head lifecycle.Head) (lifecycle.Head, lifecycle.Outcome) {
		return lifecycle.Propose(head, proposal)
	})
	if failure == nil {
		c.dropForgotten(ctx, offered.Team, offered.Version)
		return status, nil
	}
	if failure.Winner != nil && failure.Winner.Version == offered.Version && failure.Winner.Digest != proposal.Digest {
		c.dropContent(ctx, offered.Team, offered.Version, proposal.Digest)
	}
	return status, failure
}

// approve signs a version off, after checking the signature over its content.
func (c *Controller) approve(request *http.Request, write signedWrite) (adminapi.BundleStatus, *adminapi.Failure) {
	var asked adminapi.Approve
	if err := json.Unmarshal(write.body, &asked); err != nil {
		return adminapi.BundleStatus{}, invalid("the approval cannot be read: %v", err)
	}
	if failure := firstFailure(checkTime(asked.Time), write.checkTeam(asked.Team)); failure != nil {
		return adminapi.BundleStatus{}, failure
	}
	ctx := request.Context()
	content, err := c.contentOf(ctx, asked.Team, asked.Version)
	if err != nil {
		return adminapi.BundleStatus{}, c.storeFailure(err)
	}
	if err := bundle.Verify(write.known.key, content, asked.Signature); err != nil {
		return adminapi.BundleStatus{}, &adminapi.Failure{Code: adminapi.FailureBadSignature, Message: "the approval's signature is not over this version"}
	}
	return c.step(ctx, asked.Team, func(head lifecycle.Head) (lifecycle.Head, lifecycle.Outcome) {
		return lifecycle.Approve(head, lifecycle.Approval{
			Version:   asked.Version,
			Digest:    asked.Digest,
			Operator:  write.operator,
			Signature: asked.Signature,
		})
	})
}

// roll starts to put an approved version into force; the leader does the rest.
func (c *Controller) roll(request *http.Request, write signedWrite) (adminapi.BundleStatus, *adminapi.Failure) {
	var asked adminapi.Roll
	if err := json.Unmarshal(write.body, &asked); err != nil {
		return adminapi.BundleStatus{}, invalid("the request cannot be read: %v", err)
	}
	if failure := firstFailure(checkTime(asked.Time), write.checkTeam(asked.Team)); failure != nil {
		return adminapi.BundleStatus{}, failure
	}
	if asked.Cell != c.settings.Cell {
		return adminapi.BundleStatus{}, invalid("the request is for cell %q; this controller is of cell %q", asked.Cell, c.settings.Cell)
	}
	return c.step(request.Context(), asked.Team, func(head lifecycle.Head) (lifecycle.Head, lifecycle.Outcome) {
		return lifecycle.Roll(head, asked.Version, write.operator)
	})
}

// step moves a head and turns the outcome into an answer.
func (c *Controller) step(ctx context.Context, team bundle.TeamName, step headStep) (adminapi.BundleStatus, *adminapi.Failure) {
	outcome, err := c.moveHead(ctx, team, step)
	if err != nil {
		return adminapi.BundleStatus{}, c.storeFailure(err)
	}
	if !outcome.OK() {
		failure := outcome.Failure()
		return adminapi.BundleStatus{}, &failure
	}
	return *outcome.Status, nil
}

// checkBundle refuses a bundle that this cell could never serve.
func (c *Controller) checkBundle(offered bundle.Bundle) *adminapi.Failure {
	if reason := c.whyUnservable(offered); reason != "" {
		return invalid("%s", reason)
	}
	return nil
}

// whyUnservable returns why the cell cannot serve a bundle, or nothing.
func (c *Controller) whyUnservable(offered bundle.Bundle) string {
	if offered.Cell != c.settings.Cell {
		return fmt.Sprintf("the bundle is for cell %q, this is cell %q", offered.Cell, c.settings.Cell)
	}
	var problems []string
	for _, problem := range bundle.Check(offered) {
		problems = append(problems, problem.String())
	}
	return strings.Join(problems, "; ")
}

func firstFailure(failures ...*adminapi.Failure) *adminapi.Failure {
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// contentOf returns the content of a version that the head remembers.
func (c *Controller) contentOf(ctx context.Context, team bundle.TeamName, version bundle.Version) (bundle.Bundle, error) {
	head, _, err := c.readHead(ctx, team)
	if err != nil {
		return bundle.Bundle{}, err
	}
	entry, found := head.Find(version)
	if !found {
		return bundle.Bundle{}, platform.ErrNotFound
	}
	content, err := c.readContent(ctx, team, entry)
	if errors.Is(err, errContentMissing) {
		return bundle.Bundle{}, platform.ErrNotFound
	}
	return content, err
}

// serveBundle answers with the newest version of a team and its content.
func (c *Controller) serveBundle(writer http.ResponseWriter, request *http.Request) {
	team := bundle.TeamName(request.URL.Query().Get("team"))
	head, _, err := c.readHead(request.Context(), team)
	if err != nil {
		c.fail(writer, c.storeFailure(err))
		return
	}
	entry, found := head.Latest()
	if !found {
		c.fail(writer, c.storeFailure(platform.ErrNotFound))
		return
	}
	status := head.Status(entry)
	content, err := c.readContent(request.Context(), team, entry)
	if err == nil {
		status.Bundle = &content
	} else if !errors.Is(err, errContentMissing) {
		c.fail(writer, c.storeFailure(err))
		return
	}
	writeJSON(writer, http.StatusOK, status)
}

// serveHistory answers with all versions of a team that are remembered.
func (c *Controller) serveHistory(writer http.ResponseWriter, request *http.Request) {
	team := bundle.TeamName(request.URL.Query().Get("team"))
	head, _, err := c.readHead(request.Context(), team)
	if err != nil {
		c.fail(writer, c.storeFailure(err))
		return
	}
	writeJSON(writer, http.StatusOK, head.History())
}
