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
func Propose(ctx context.Context, output Output, bundles *registry.Registry, by registry.Operator, path string) ExitCode {
	offered, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	return output.outcome(bundles.Propose(ctx, by, offered))
}

// Approve signs off the version that the file holds. The operator approves what
// stands in the file, never what the service says that was proposed.
func Approve(ctx context.Context, output Output, bundles *registry.Registry, by registry.Operator, path string) ExitCode {
	reviewed, err := readBundle(path)
	if err != nil {
		return output.Fail(err)
	}
	return output.outcome(bundles.Approve(ctx, by, reviewed))
}

// Roll puts an approved version into force.
func Roll(ctx context.Context, output Output, bundles *registry.Registry, by registry.Operator, team bundle.TeamName, version bundle.Version) ExitCode {
	return output.outcome(bundles.Roll(ctx, by, team, version))
}

// BundleStatus prints the newest version of a team.
func BundleStatus(ctx context.Context, output Output, bundles *registry.Registry, team bundle.TeamName) ExitCode {
	record, err := bundles.Read(ctx, team)
	if err != nil {
		return output.Fail(err)
	}
	latest, found := record.Head.Latest()
	if !found {
		return output.outcome(lifecycle.Outcome{Kind: lifecycle.NotFound, Message: fmt.Sprintf("team %s has no version", team)}, nil)
	}
	return output.bundle(record.Head.Status(latest))
}

// BundleHistory prints the versions of a team.
func BundleHistory(ctx context.Context, output Output, bundles *registry.Registry, team bundle.TeamName) ExitCode {
	record, err := bundles.Read(ctx, team)
	if err != nil {
		return output.Fail(err)
	}
	return output.history(record.Head.History())
}
