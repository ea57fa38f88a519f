package operator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/shalefork/shalefork/internal/lifecycle"
)

// printBundle prints the status of one version. For a version that is refused or replaced it
// returns ExitRefused.
func (o Output) printBundle(status lifecycle.Status) ExitCode {
	if o.JSON {
		o.printJSON(status)
	} else {
		o.printBundleText(status)
	}
	switch status.State {
	case lifecycle.StateRefused, lifecycle.StateReplaced:
		return ExitRefused
	default:
		return ExitOK
	}
}

func (o Output) printBundleText(status lifecycle.Status) {
	fmt.Fprintf(o.Result, "%s version %d is %s\n", status.Team, status.Version, status.State)
	fmt.Fprintf(o.Result, "  digest       %s\n", status.Digest)
	fmt.Fprintf(o.Result, "  proposed by  %s\n", orDash(status.ProposedBy))
	fmt.Fprintf(o.Result, "  approved by  %s\n", orDash(status.ApprovedBy))
	fmt.Fprintf(o.Result, "  rolled by    %s\n", orDash(status.RolledBy))
	if status.Reason != "" {
		fmt.Fprintf(o.Result, "  reason       %s\n", status.Reason)
	}
}

func orDash[T ~string](text T) T {
	return cmp.Or(text, "-")
}

func (o Output) printHistory(versions []lifecycle.Status) ExitCode {
	if o.JSON {
		o.printJSON(versions)
		return ExitOK
	}
	table := newTable(o.Result)
	fmt.Fprintln(table, "VERSION\tSTATE\tPROPOSED BY\tAPPROVED BY\tROLLED BY\tDIGEST\tREASON")
	for _, version := range versions {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%.12s\t%s\n",
			version.Version, version.State, orDash(version.ProposedBy), orDash(version.ApprovedBy),
			orDash(version.RolledBy), version.Digest, orDash(version.Reason))
	}
	table.Flush()
	return ExitOK
}

func (o Output) printJSON(value any) {
	encoder := json.NewEncoder(o.Result)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(o.Errors, err)
	}
}

func newTable(writer io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(writer, 0, 0, padding, ' ', 0)
}
