package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

func (r Result) write(output io.Writer) {
	fmt.Fprintf(output, "machine: %d processors, %s, load average %s\n", r.CPUs, r.Go, r.Load)
	fmt.Fprintf(output, "http adds %.0f B to a request, %.0f B to an answer, and costs each side %s of processor time\n",
		r.Overhead.RequestBytes, r.Overhead.ResponseBytes, r.Overhead.SideCPU)
	for _, fleet := range r.Fleets {
		fleet.write(output)
	}
	fmt.Fprintf(output, "\ntook %s\n", r.Took.Round(time.Millisecond))
}

func (f FleetResult) write(output io.Writer) {
	fmt.Fprintf(output, "\n%d nodes in %d cells of %d keyed, %d pool servers, %d gateways, %d slices\n",
		f.Nodes, f.Cells, f.Shape.Keyed, f.Shape.Pool, f.Shape.Machines, f.Shape.Slices)
	writeCosts(output, f.Costs)
	fmt.Fprintf(output, "load report %.0f B; %s for %s of emulated time; heap %.1f MB; process/charged CPU %.2f\n",
		f.LoadReportBytes, f.Took.Round(time.Millisecond), f.Emulated, float64(f.HeapBytes)/1e6, f.Collection)
}

// columns of a table of costs.
func writeCosts(output io.Writer, costs []Cost) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "role\tprocesses\tmsg/s\tsent B/s\trecv B/s\tcore %\twith HTTP %\t")
	for _, name := range componentNames[:partTick] {
		fmt.Fprintf(table, "%s B/s\t", name)
	}
	fmt.Fprintln(table)
	for _, each := range costs {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.0f\t%.0f\t%.2f\t%.2f\t",
			each.Role, each.Processes, each.Messages, each.Sent, each.Received, 100*each.Core, 100*each.CoreWithHTTP)
		for _, name := range componentNames[:partTick] {
			fmt.Fprintf(table, "%.0f\t", each.Parts[name])
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}
