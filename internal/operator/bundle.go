package operator

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/registry"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

// CheckBundle reads a bundle file and prints the bundle's digest, or all problems.
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

// Propose proposes the bundle in a file as the team's next version.
func Propose(ctx context.Context, output Output, bundles *registry.Registry, by registry.Operator, path string) ExitCode {
	proposed, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	return output.printOutcome(bundles.Propose(ctx, by, proposed))
}

// Approve approves the version in the file. The operator's approval covers the content of
// the file, not what the key-value service returns as the proposal.
func Approve(ctx context.Context, output Output, bundles *registry.Registry, by registry.Operator, path string) ExitCode {
	reviewed, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	return output.printOutcome(bundles.Approve(ctx, by, reviewed))
}

// Roll starts to put an approved version into force.
func Roll(ctx context.Context, output Output, bundles *registry.Registry, by registry.Operator, team bundle.TeamName, version bundle.Version) ExitCode {
	return output.printOutcome(bundles.Roll(ctx, by, team, version))
}

// BundleStatus prints the newest version of a team.
func BundleStatus(ctx context.Context, output Output, bundles *registry.Registry, team bundle.TeamName) ExitCode {
	record, err := bundles.Read(ctx, team)
	if err != nil {
		return output.Fail(err)
	}
	latest, found := record.Head.Latest()
	if !found {
		return output.printOutcome(lifecycle.Outcome{Kind: lifecycle.NotFound, Message: fmt.Sprintf("team %s has no version", team)}, nil)
	}
	return output.printBundle(record.Head.Status(latest))
}

// BundleHistory prints the versions of a team.
func BundleHistory(ctx context.Context, output Output, bundles *registry.Registry, team bundle.TeamName) ExitCode {
	record, err := bundles.Read(ctx, team)
	if err != nil {
		return output.Fail(err)
	}
	return output.printHistory(record.Head.History())
}
