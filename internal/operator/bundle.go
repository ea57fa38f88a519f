package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/shalefork/shalefork/internal/adminapi"
	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

// pollEvery is how often a roll asks whether the version is in force.
const pollEvery = 100 * time.Millisecond

// CheckBundle reads a bundle's file and prints its digest, or all problems.
func CheckBundle(output Output, path string) ExitCode {
	checked, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	digest, err := bundle.Digest(checked)
	if err != nil {
		return output.Fail(err)
	}
	fmt.Fprintf(output.Result, "%s version %d is valid, digest %s\n", checked.Team, checked.Version, digest)
	return ExitOK
}

func readBundle(path string) (bundle.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.Bundle{}, Error.Wrap(err)
	}
	read, problems := bundle.Read(path, data)
	if len(problems) > 0 {
		return bundle.Bundle{}, errors.New(strictyaml.Format(problems))
	}
	return read, nil
}

// Propose offers the bundle in a file as the team's next version.
func Propose(ctx context.Context, output Output, client *Client, identity Identity, path string) ExitCode {
	offered, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	digest, err := bundle.Digest(offered)
	if err != nil {
		return output.Fail(err)
	}
	var status adminapi.BundleStatus
	message := adminapi.Propose{Bundle: offered, Time: time.Now()}
	err = client.write(ctx, identity, adminapi.PathPropose, message, &status)
	if won := ownProposal(err, identity, digest); won != nil {
		status, err = *won, nil
	}
	return output.bundle(status, err)
}

// ownProposal returns the winner of a race if that is this very proposal: an
// earlier try took effect and its answer was lost.
func ownProposal(err error, identity Identity, digest string) *adminapi.BundleStatus {
	var failure *FailureError
	if !errors.As(err, &failure) {
		return nil
	}
	winner := failure.Failure.Winner
	if winner == nil || winner.Digest != digest || winner.ProposedBy != identity.Name {
		return nil
	}
	return winner
}

// Approve signs off the version that the file holds. The operator approves
// what stands in the file, never what a controller says that was proposed.
func Approve(ctx context.Context, output Output, client *Client, identity Identity, path string) ExitCode {
	reviewed, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	message, err := approval(identity, reviewed)
	if err != nil {
		return output.Fail(err)
	}
	var status adminapi.BundleStatus
	err = client.write(ctx, identity, adminapi.PathApprove, message, &status)
	return output.bundle(status, err)
}

func approval(identity Identity, reviewed bundle.Bundle) (adminapi.Approve, error) {
	digest, err := bundle.Digest(reviewed)
	if err != nil {
		return adminapi.Approve{}, err
	}
	signature, err := bundle.Sign(identity.Key, reviewed)
	return adminapi.Approve{
		Team:      reviewed.Team,
		Version:   reviewed.Version,
		Digest:    digest,
		Signature: signature,
		Time:      time.Now(),
	}, err
}

// RollRequest names the version to roll and how long to wait for it.
type RollRequest struct {
	Team    bundle.TeamName
	Version bundle.Version
	// Wait is how long to wait until the version is in force; zero not at all.
	Wait time.Duration
}

// Roll puts an approved version into force and waits for it.
func Roll(ctx context.Context, output Output, client *Client, identity Identity, roll RollRequest) ExitCode {
	cell, err := client.Status(ctx)
	if err != nil {
		return output.Fail(err)
	}
	message := adminapi.Roll{Cell: cell.Cell, Team: roll.Team, Version: roll.Version, Time: time.Now()}
	var status adminapi.BundleStatus
	if err := client.write(ctx, identity, adminapi.PathRoll, message, &status); err != nil {
		return output.Fail(err)
	}
	if roll.Wait > 0 {
		status = waitInForce(ctx, client, roll, status)
	}
	code := output.bundle(status, nil)
	if code == ExitOK && roll.Wait > 0 && status.State != adminapi.StateInForce {
		fmt.Fprintf(output.Complaint, "not in force after %s; ask again with: bundle status\n", roll.Wait)
		return ExitUnreachable
	}
	return code
}

// waitInForce asks until the version has come to an end state or time is up.
func waitInForce(ctx context.Context, client *Client, roll RollRequest, last adminapi.BundleStatus) adminapi.BundleStatus {
	ctx, cancel := context.WithTimeout(ctx, roll.Wait)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !settled(last.State) {
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
			last = look(ctx, client, roll, last)
		}
	}
	return last
}

// settled reports whether a version that was rolled stays in the state.
func settled(state adminapi.BundleState) bool {
	switch state {
	case adminapi.StateInForce, adminapi.StateRefused, adminapi.StateReplaced:
		return true
	default:
		return false
	}
}

// look returns what is known of the version now, or last if nobody answers. The
// history has the version also after another one became the newest.
func look(ctx context.Context, client *Client, roll RollRequest, last adminapi.BundleStatus) adminapi.BundleStatus {
	versions, err := client.History(ctx, roll.Team)
	if err != nil {
		return last
	}
	for _, version := range versions {
		if version.Version == roll.Version {
			return version
		}
	}
	return last
}

// BundleStatus prints the newest version of a team.
func BundleStatus(ctx context.Context, output Output, client *Client, team bundle.TeamName) ExitCode {
	status, err := client.Bundle(ctx, team)
	return output.bundle(status, err)
}

// BundleHistory prints the versions of a team.
func BundleHistory(ctx context.Context, output Output, client *Client, team bundle.TeamName) ExitCode {
	versions, err := client.History(ctx, team)
	if err != nil {
		return output.Fail(err)
	}
	return output.history(versions)
}
